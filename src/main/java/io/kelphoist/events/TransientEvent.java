package io.kelphoist.events;

/**
 * An event of a job that only the leader observes and that is not stored: for example, the start or
 * stop of a task.
 *
 * @param doneTasks number of the job's tasks that are done after the event
 * @param runningTasks number of the job's tasks that run after the event
 * @param atMillis time of the event in ms since the epoch
 */
public record TransientEvent(
        String jobId, JobEventType type, int doneTasks, int runningTasks, long atMillis) {}
