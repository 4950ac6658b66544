/**
 * Allocation of free resources: {@link io.kelphoist.scheduler.allocation.Allocator} offers them to
 * teams by their weighted share, and the scheduler of each kind of job ({@code ArrayScheduler},
 * {@code GangScheduler}, {@code ServiceScheduler}) starts tasks on them.
 *
 * <p>Owns the reservations for gangs ({@code GangReservations}) and the queue wait times ({@link
 * io.kelphoist.scheduler.allocation.QueueWaitTracker}). Depends on {@code placement}, {@code
 * preemption} and {@code lifecycle}; must not depend on {@code autoscaling}, which adds machines
 * for the jobs that were not placed.
 */
package io.kelphoist.scheduler.allocation;
