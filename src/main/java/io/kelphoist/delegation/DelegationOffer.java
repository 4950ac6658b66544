package io.kelphoist.delegation;

import com.google.common.collect.ImmutableSet;

/**
 * An offer, renewal or revocation of a delegation, sent by the leader to another controller with a
 * grant request. The receiver may renew the worker leases in its zone for {@link
 * DelegationTiming#delegationSeconds} from {@code startsAtSeconds}.
 *
 * @param term the leader's term, which is the fencing token that the workers hold
 * @param incarnation the process of the receiver that reported the clock value on which {@code
 *     startsAtSeconds} is based; any other process ignores the offer. 0 and not checked in an offer
 *     of the leader to itself
 * @param sequenceNumber increases with every offer of a term, so that a delayed offer cannot
 *     replace a newer one
 * @param startsAtSeconds start of the delegation on the receiver's own monotonic clock, in seconds.
 *     It is derived from a clock value that the receiver reported, so that an offer that is
 *     delivered minutes late has already expired
 * @param excludedMachines machines of the receiver's zone whose leases it must not renew: machines
 *     whose heartbeats are missing, and machines that may run tasks of cancelled jobs
 */
public record DelegationOffer(
        long term,
        long incarnation,
        long sequenceNumber,
        double startsAtSeconds,
        ImmutableSet<String> excludedMachines) {
    /**
     * Start time in an offer that revokes the delegation: such a delegation has expired by any
     * clock.
     */
    public static final double REVOKED_START_SECONDS = -1e12;
}
