package io.kelphoist.model;

/** A command to a worker for one task attempt. */
public sealed interface WorkerCommand {
    /** Returns the id of the task's job. */
    String jobId();

    /** Returns the index of the task in its job. */
    int taskIndex();

    /** Returns the id of the attempt, unique among all attempts of all terms. */
    long attemptId();

    /** Starts the attempt, unless the worker already has it. */
    record Start(String jobId, int taskIndex, long attemptId) implements WorkerCommand {}

    /**
     * Stops the attempt.
     *
     * @param graceSeconds time to save a checkpoint; 0 for no grace period
     */
    record Stop(String jobId, int taskIndex, long attemptId, double graceSeconds)
            implements WorkerCommand {}

    /**
     * Makes the worker discard an exited attempt, which then no longer appears in its heartbeats.
     */
    record Forget(String jobId, int taskIndex, long attemptId) implements WorkerCommand {}
}
