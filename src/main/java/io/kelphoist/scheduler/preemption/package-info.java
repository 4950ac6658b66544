/**
 * Preemption: stops tasks of lower priority or, for a job of a team within its guarantee, tasks of
 * teams that use more than theirs, to free resources for a job that could not be placed, or that
 * would otherwise wait longer for its image. Holds the machines for the job meanwhile; the holds
 * belong to {@code cluster}.
 *
 * <p>{@link io.kelphoist.scheduler.preemption.PreemptionSearch} finds the tasks that could be
 * stopped, {@link io.kelphoist.scheduler.preemption.PreemptionPlan} holds one result, and {@link
 * io.kelphoist.scheduler.preemption.Preemptor} decides whether to preempt, and does so. Depends on
 * {@code lifecycle} and {@code placement}, and must not depend on {@code allocation}, which calls
 * it.
 */
package io.kelphoist.scheduler.preemption;
