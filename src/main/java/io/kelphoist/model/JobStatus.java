package io.kelphoist.model;

/** Status of a job in its record. DONE and CANCELLED are final. */
public enum JobStatus {
    /** Accepted and not yet ended. */
    ACTIVE,
    /** All tasks are done. */
    DONE,
    /** Cancelled by a user, or because a dependency was cancelled. */
    CANCELLED;

    /** Returns whether the job has ended. */
    public boolean isFinal() {
        return this != ACTIVE;
    }
}
