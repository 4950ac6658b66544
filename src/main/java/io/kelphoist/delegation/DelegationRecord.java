package io.kelphoist.delegation;

/**
 * A write to the state store about the delegation of one controller, which the next leader reads.
 *
 * @param peerName the controller that may hold the delegation
 * @param startsAtSeconds latest possible start of the delegation on the leader's monotonic clock,
 *     in seconds; NaN if the stored record is to be cleared
 */
public record DelegationRecord(String peerName, double startsAtSeconds) {
    /**
     * Returns a write that clears the stored record. Without a record, the next leader assumes that
     * a delegation of the controller started with the next leader's own term at the latest.
     */
    static DelegationRecord cleared(String peerName) {
        return new DelegationRecord(peerName, Double.NaN);
    }

    /** Whether this write clears the stored record. */
    public boolean isCleared() {
        return Double.isNaN(startsAtSeconds);
    }
}
