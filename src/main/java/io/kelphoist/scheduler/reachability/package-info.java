/**
 * The communication between the leader and one machine's worker: the order of its messages, the
 * times of the last heartbeat and the last response, and whether it receives what is sent to it.
 *
 * <p>{@link io.kelphoist.scheduler.reachability.WorkerContact} and {@link
 * io.kelphoist.scheduler.reachability.MachineReachability} own that state. Whether a machine's
 * lease has expired is decided in {@code lifecycle}. The package depends only on {@code model}.
 */
package io.kelphoist.scheduler.reachability;
