/**
 * The scheduler of one leader's term: its entry point and the composition of its components.
 *
 * <p>{@link io.kelphoist.scheduler.SchedulerState} is the entry point: it receives input events
 * with their times, and sends requests through {@link io.kelphoist.scheduler.spi.SchedulerOutput}.
 * {@code SchedulerComponents} creates the components, and {@code StateRecovery} restores the
 * records of earlier terms. The components are in subpackages, each of which uses only lower ones:
 * state in {@code cluster}, {@code images} and {@code reachability}; the interfaces that the
 * scheduler requires of its environment in {@code spi}; the records that it stores in {@code
 * records}; decisions in {@code placement}, {@code preemption}, {@code allocation} and {@code
 * autoscaling}; the handling of input events in {@code lifecycle}, {@code jobrecords} and {@code
 * heartbeats}. No subpackage uses this package. {@code ArchitectureTest} lists the subpackages from
 * the lowest up.
 *
 * <p>This package and its subpackages use no I/O, no clock and no randomness, so that a simulation
 * with the same inputs gives the same outputs. They depend only on {@code model} and {@code
 * records}. All code runs on the event loop; no class is thread-safe.
 */
package io.kelphoist.scheduler;
