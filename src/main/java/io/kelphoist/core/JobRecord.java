package io.kelphoist.core;

/**
 * A job as stored. {@code spec} is dropped once the job is done.
 *
 * @param atMs when it was accepted; of a done job, when that was stored (0: not on record)
 * @param version revision of the record's last change at the state service
 */
public record JobRecord(String id, JobSpec spec, JobStatus status, long atMs, long version) { }
