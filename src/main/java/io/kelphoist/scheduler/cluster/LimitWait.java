package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.Priority;

/**
 * How long one job has waited for its team's limit. A job below production priority that was
 * refused at the limit, and has started nothing for {@link #MAX_WAIT_SECONDS}, is overdue: within
 * its team it precedes all jobs below production that are not overdue, and overdue jobs follow each
 * other by the length of their waits. Each start ends the wait and begins the next one, so that a
 * job with many tasks and a gang take turns.
 */
public final class LimitWait {
    private static final double MAX_WAIT_SECONDS = 90;

    private boolean refusedSinceLastStart;
    private double lastStartAtSeconds = Double.NEGATIVE_INFINITY;
    private double waitingSinceSeconds;
    private boolean overdue;

    /** Called when a task of the job was not started because of the team's limit. */
    public void onRefused() {
        refusedSinceLastStart = true;
    }

    /** Called when a task of the job starts, or when a new leader learns that one has started. */
    public void onTaskStarted(double startedAtSeconds) {
        lastStartAtSeconds = startedAtSeconds;
        refusedSinceLastStart = false;
        overdue = false;
    }

    /** Updates whether the job is overdue, which depends on the time. */
    void update(Priority priority, double readyAtSeconds, double nowSeconds) {
        waitingSinceSeconds = Math.max(readyAtSeconds, lastStartAtSeconds);
        overdue =
                refusedSinceLastStart
                        && priority != Priority.PRODUCTION
                        && nowSeconds > waitingSinceSeconds + MAX_WAIT_SECONDS;
    }

    /** Whether the job was overdue at the last {@link #update} and has started nothing since. */
    public boolean isOverdue() {
        return overdue;
    }

    /** When the job became ready or last started a task, whichever is later. */
    public double waitingSinceSeconds() {
        return waitingSinceSeconds;
    }
}
