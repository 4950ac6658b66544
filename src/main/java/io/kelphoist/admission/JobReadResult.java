package io.kelphoist.admission;

import io.kelphoist.model.JobRecord;

/** The result of reading one job's record. */
sealed interface JobReadResult {
    /** The job has this record. */
    record Present(JobRecord record) implements JobReadResult {}

    /** The job has no record: it was never accepted. */
    record Absent() implements JobReadResult {}

    /**
     * The job has a record that this version can't decode. Its state is unknown; {@link
     * DependencyWalk} treats it as not cancelled.
     */
    record Undecodable() implements JobReadResult {}

    /**
     * The record can't be read from the state store at this time, or what was read may be outdated.
     */
    record Unavailable() implements JobReadResult {}
}
