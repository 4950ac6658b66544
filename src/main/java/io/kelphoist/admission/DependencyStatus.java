package io.kelphoist.admission;

/** The result of checking the jobs that a job depends on, directly or through other jobs. */
enum DependencyStatus {
    /**
     * None of the visited dependencies is cancelled. One without a record, or with a record that
     * can't be decoded, counts as not cancelled.
     */
    NONE_CANCELLED,
    /** A dependency is cancelled, so that the job can never run. */
    CANCELLED,
    /**
     * The record of a dependency can't be read from the state store at this time, or what was read
     * may be outdated.
     */
    UNAVAILABLE
}
