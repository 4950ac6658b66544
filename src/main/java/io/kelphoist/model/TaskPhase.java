package io.kelphoist.model;

/** Phase of a task attempt, as its worker reports it. */
public enum TaskPhase {
    /** Waits until its image is fetched. */
    FETCHING,
    /** Task of a gang: waits for the other tasks of its attempt. */
    WAITING,
    /** Is running. */
    RUNNING,
    /** Received a stop command and saves a checkpoint. */
    SAVING,
    /** Has ended; see {@link ExitReason}. */
    EXITED
}
