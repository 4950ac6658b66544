package io.kelphoist.core;

/**
 * A job as stored. {@code spec} is dropped once the job is done.
 *
 * @param version revision of the record's last change at the state service
 */
public record JobRecord(String id, JobSpec spec, JobStatus status, long acceptedAtMs, long version) { }
