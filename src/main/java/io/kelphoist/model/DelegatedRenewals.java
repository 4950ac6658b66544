package io.kelphoist.model;

/**
 * Upper bound of when a machine's worker lease may have been renewed under a lease delegation. The
 * leader delegates to each controller the renewals in that controller's zone, in case the zone
 * becomes partitioned from the leader.
 */
public interface DelegatedRenewals {
    /** The bound if no lease delegation exists: no lease was renewed by a delegate. */
    DelegatedRenewals NONE = (machine, zone, nowSeconds) -> Double.NEGATIVE_INFINITY;

    /**
     * Returns the latest time at which a machine's lease may have been renewed under a delegation,
     * by another controller or by this one while it was not authorized to act as the leader. In
     * seconds of the monotonic clock; never later than {@code nowSeconds}; negative infinity if no
     * such renewal is possible.
     */
    double latestRenewalAtSeconds(String machineName, String zone, double nowSeconds);
}
