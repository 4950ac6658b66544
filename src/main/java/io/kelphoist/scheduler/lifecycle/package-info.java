/**
 * The lifecycles of attempts and machines: only {@link
 * io.kelphoist.scheduler.lifecycle.AttemptLifecycle} starts, stops and removes attempts, {@link
 * io.kelphoist.scheduler.lifecycle.MachineLifecycle} handles expired leases, restarted workers and
 * terminated machines, and {@link io.kelphoist.scheduler.lifecycle.LeaseMonitor} finds leases that
 * have expired, holds that must end, and stops that are due before a termination or are overdue.
 *
 * <p>Owns the set of machines for which commands may be due ({@code CommandDispatcher}). The
 * packages {@code allocation} and {@code preemption} decide which task starts on which machine, and
 * {@code heartbeats} handles the messages of workers; this package must not depend on them. It
 * depends on {@code placement}, {@code records} and the packages below them.
 */
package io.kelphoist.scheduler.lifecycle;
