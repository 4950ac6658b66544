package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.Priority;

/**
 * How long one job has waited for its team's limit. A job below production priority that was
 * refused at the limit, and of which nothing has started for {@link #MAX_WAIT_SECONDS}, is overdue:
 * within its team it precedes all jobs below production that are not overdue, and overdue jobs
 * follow each other by the length of their waits. Its first start ends that.
 */
public final class LimitWait {
    private static final double MAX_WAIT_SECONDS = 90;

    private boolean refused;
    private boolean overdue;

    /** Called when a task of the job was not started because of the team's limit. */
    public void onRefused() {
        refused = true;
    }

    /** Called when a task of the job starts, or when a new leader learns that one has started. */
    public void onTaskStarted() {
        refused = false;
        overdue = false;
    }

    /** Updates whether the job is overdue, which depends on the time. */
    void update(Job job, double nowSeconds) {
        overdue =
                refused
                        && !job.hasBegun()
                        && job.priority() != Priority.PRODUCTION
                        && nowSeconds > job.readyAtSeconds() + MAX_WAIT_SECONDS;
    }

    /** Whether the job was overdue at the last {@link #update} and has started nothing since. */
    public boolean isOverdue() {
        return overdue;
    }
}
