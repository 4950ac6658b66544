/**
 * Preemption: stops tasks of lower priority, or of teams that use more than their guarantee, to
 * free resources for a job that could not be placed, or that would otherwise wait longer for its
 * image.
 *
 * <p>{@link io.kelphoist.scheduler.preemption.PreemptionSearch} finds the tasks that could be
 * stopped, {@link io.kelphoist.scheduler.preemption.PreemptionPlan} holds one result, and {@link
 * io.kelphoist.scheduler.preemption.Preemptor} decides whether to preempt, and does so. Depends on
 * {@code lifecycle} and {@code placement}, and must not depend on {@code allocation}, which calls
 * it.
 */
package io.kelphoist.scheduler.preemption;
