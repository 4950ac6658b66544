package io.kelphoist.model;

/** Numbers of the done and the running tasks of a job, for display to users. */
public record TaskCounts(int doneTasks, int runningTasks) {
    /** Counts of a job that has no done and no running task. */
    public static final TaskCounts NONE = new TaskCounts(0, 0);
}
