/**
 * The contact between the leader and one machine's worker: the order of its messages, when it was
 * last heard and answered, and whether it receives what is sent to it.
 *
 * <p>{@link io.kelphoist.scheduler.reachability.WorkerContact} and {@link
 * io.kelphoist.scheduler.reachability.MachineReachability} own that state, and draw no conclusions
 * for the machine: whether a lease has expired is decided in {@code lifecycle}. The package depends
 * on {@code model} alone.
 */
package io.kelphoist.scheduler.reachability;
