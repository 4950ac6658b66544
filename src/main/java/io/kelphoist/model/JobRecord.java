package io.kelphoist.model;

/**
 * A job as stored in the state store.
 *
 * @param spec null if the job is done, because the spec is then no longer stored, or if it was
 *     removed by {@link #withoutSpec}
 * @param timestampMillis when the job was accepted, or for a done job when its end was stored, by
 *     the wall clock; 0 if the record has no timestamp
 * @param version revision of the state store at which the record was last changed
 * @param owner null if the record has none, because the job ended before owners were stored
 */
public record JobRecord(
        String id,
        JobSpec spec,
        JobStatus status,
        long timestampMillis,
        long version,
        JobOwner owner) {
    /** Creates a record whose owner is taken from the spec; without a spec the owner is null. */
    public JobRecord(
            String id, JobSpec spec, JobStatus status, long timestampMillis, long version) {
        this(id, spec, status, timestampMillis, version, spec == null ? null : spec.owner());
    }

    /** Returns this record without the spec, for caches of many records. */
    public JobRecord withoutSpec() {
        return new JobRecord(id, null, status, timestampMillis, version, owner);
    }
}
