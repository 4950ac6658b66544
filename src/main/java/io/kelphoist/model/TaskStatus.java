package io.kelphoist.model;

/**
 * Status of one task attempt in a heartbeat.
 *
 * @param exitReason null if the task has not exited
 * @param checkpointSaved whether the task saved a checkpoint before it exited
 */
public record TaskStatus(
        String jobId,
        int taskIndex,
        long attemptId,
        TaskPhase phase,
        ExitReason exitReason,
        boolean checkpointSaved) {}
