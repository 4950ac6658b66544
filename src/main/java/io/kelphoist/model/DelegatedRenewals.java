package io.kelphoist.model;

/**
 * Upper bound of when a controller other than the leader may have renewed a machine's worker lease.
 * For a zone that is partitioned from the leader, the leader delegates renewals to a controller in
 * that zone.
 */
public interface DelegatedRenewals {
    /** The bound if no lease delegation exists: no lease was renewed by a delegate. */
    DelegatedRenewals NONE = (machine, zone, nowSeconds) -> Double.NEGATIVE_INFINITY;

    /**
     * Returns the latest time at which a controller other than the leader may have renewed a
     * machine's lease, in seconds of the monotonic clock; never later than {@code nowSeconds}.
     */
    double latestRenewalAtSeconds(String machineName, String zone, double nowSeconds);
}
