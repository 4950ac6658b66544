package io.kelphoist.delegation;

/**
 * A write of one controller's delegation record in the state store: stores or clears the latest
 * possible start of the lease delegation that the controller may hold. The next leader reads the
 * record.
 *
 * @param controllerName the controller that may hold the delegation; the local controller only in a
 *     write that clears its record
 * @param latestStartAtSeconds latest possible start of the delegation on the monotonic clock of the
 *     leader that writes, in seconds; NaN to clear the record. The record contains wall-clock time,
 *     to which {@code leadership} converts this value, because the next leader cannot read this
 *     clock
 */
public record DelegationRecordWrite(String controllerName, double latestStartAtSeconds) {
    /**
     * Returns a write that clears a controller's record. Without a start in the record, the next
     * leader assumes that the delegation that the controller may hold started when the next
     * leader's own term started, at the latest.
     */
    static DelegationRecordWrite clearing(String controllerName) {
        return new DelegationRecordWrite(controllerName, Double.NaN);
    }

    /** Whether this write clears the record instead of storing a start. */
    public boolean clearsRecord() {
        return Double.isNaN(latestStartAtSeconds);
    }
}
