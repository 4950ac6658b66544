package io.kelphoist.admission;

/** What is known of the jobs that a job depends on, directly or through others. */
enum DependencyStatus {
    /** None of those that were visited is cancelled. */
    NONE_CANCELLED,
    /** One of them is cancelled, so that the job can never run. */
    CANCELLED,
    /** The record of one of them can't be read now. */
    UNAVAILABLE
}
