package io.kelphoist.leadership;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.TaskCounts;
import io.kelphoist.peer.GrantRequest;
import io.kelphoist.scheduler.SchedulerState;
import io.kelphoist.scheduler.cluster.Job;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Replicates the numbers of done and running tasks of each job, which are shown to users. The
 * leader counts them and sends them to the other controllers with its grant requests. Owns the
 * counts; runs on the event loop.
 */
public final class TaskCountReplication {
    private static final int MAX_COUNTED_JOBS = 1000;
    private static final double PUBLISH_INTERVAL_SECONDS = 1.0;

    /**
     * A leader sends the grant requests of one round, one to each peer, within this time. All of
     * them carry the same counts.
     */
    private static final double GRANT_ROUND_SECONDS = 0.05;

    private double nextPublishAtSeconds;
    private Map<String, TaskCounts> countsByJob = new HashMap<>();

    /**
     * Returns the counts of a job as they were last counted here or received from the leader; empty
     * if those contain no counts of this job, because it has no done or running task or more jobs
     * have such tasks than are counted.
     */
    public Optional<TaskCounts> countsOf(String jobId) {
        return Optional.ofNullable(countsByJob.get(jobId));
    }

    /** Counts the tasks for a grant request of the leader; empty if no counts are due. */
    Optional<Map<String, TaskCounts>> dueCounts(
            SchedulerState schedulerState, EventLoop eventLoop) {
        if (eventLoop.nowSeconds() < nextPublishAtSeconds) {
            return Optional.empty();
        }
        eventLoop.schedule(
                GRANT_ROUND_SECONDS,
                () -> nextPublishAtSeconds = eventLoop.nowSeconds() + PUBLISH_INTERVAL_SECONDS);
        recount(schedulerState);
        return Optional.of(countsByJob);
    }

    private void recount(SchedulerState schedulerState) {
        Map<String, TaskCounts> newCounts = new HashMap<>();
        for (Job job : schedulerState.jobs()) {
            if (job.doneTaskCount() + job.runningTaskCount() > 0
                    && newCounts.size() < MAX_COUNTED_JOBS) {
                newCounts.put(
                        job.spec().id(),
                        new TaskCounts(job.doneTaskCount(), job.runningTaskCount()));
            }
        }
        countsByJob = newCounts;
    }

    /**
     * Replaces all counts by those in a leader's grant request. Keeps them if it has no such field.
     */
    void onGrantRequest(GrantRequest request) {
        request.state().taskCounts().ifPresent(received -> countsByJob = received);
    }
}
