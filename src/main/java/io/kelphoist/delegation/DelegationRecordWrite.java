package io.kelphoist.delegation;

/**
 * A write to the state store about the delegation of one controller, which the next leader reads.
 *
 * @param controllerName the controller that may hold the delegation
 * @param latestStartAtSeconds latest possible start of the delegation on the leader's monotonic
 *     clock, in seconds; NaN if the stored record is to be cleared
 */
public record DelegationRecordWrite(String controllerName, double latestStartAtSeconds) {
    /**
     * Returns a write that clears the stored record. Without a record, the next leader assumes that
     * a delegation of the controller started with the next leader's own term at the latest.
     */
    static DelegationRecordWrite clearing(String peerName) {
        return new DelegationRecordWrite(peerName, Double.NaN);
    }

    /** Whether this write clears the stored record. */
    public boolean clearsRecord() {
        return Double.isNaN(latestStartAtSeconds);
    }
}
