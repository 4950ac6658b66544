/**
 * Selection of the machine for a task: which machines are allowed, what placing the task on each of
 * them costs, and which of thousands of machines is cheapest.
 *
 * <p>Owns the ranking of machines during one run of the allocator; modifies no job, and of a
 * machine only its index among the candidates. Depends on {@code cluster}, {@code images} and
 * {@code model}, and must not depend on the packages that start or stop attempts. This is the
 * scheduler's hot path.
 */
package io.kelphoist.scheduler.placement;
