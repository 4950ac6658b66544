/**
 * Lease delegation: the leader allows other controllers to renew the worker leases in their own
 * zone for a bounded time, in case a network partition separates a zone from the leader. The leader
 * also offers a delegation to itself, for the time after it has lost its authorization. See {@code
 * docs/LEASE-DELEGATION.md}.
 *
 * <p>{@link io.kelphoist.delegation.LeaseDelegations} is used by the leader and {@link
 * io.kelphoist.delegation.HeldDelegation} by the delegate, the controller that holds a delegation.
 * Both own their state. The package performs no I/O, does not depend on message formats and reads
 * no clock: {@code leadership} passes events and times in. It depends only on {@code model}. All
 * state is confined to the controller's event loop.
 */
package io.kelphoist.delegation;
