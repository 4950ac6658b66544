package io.kelphoist.scheduler.allocation;

import io.kelphoist.model.Resources;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.preemption.PreemptionSearch;
import io.kelphoist.scheduler.preemption.Preemptor;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks how long jobs wait for their first task to start, and logs long waits with their reasons.
 * Large jobs wait longest, because the resources for them become free slowly. Three mechanisms
 * shorten their wait, but guarantee no maximum: the {@link Preemptor} frees resources for jobs, but
 * not for job arrays beyond their team's guarantee; {@link GangReservations} keep resources for
 * gangs; and {@link Job#isAged aged} jobs are placed before others of their team and priority.
 */
public final class QueueWaitTracker {
    private static final Logger LOG = LoggerFactory.getLogger(QueueWaitTracker.class);
    private static final double RUN_INTERVAL_SECONDS = 5;

    /** A job is logged once it has waited for longer than this, and again at this interval. */
    private static final double LONG_WAIT_SECONDS = 90;

    private static final int MAX_LOGGED_JOBS_PER_RUN = 5;

    private final JobRegistry jobs;
    private final Map<Job, Double> loggedAtSeconds = new HashMap<>();
    private double nextRunAtSeconds;
    private double longestWaitSeconds;

    /** Creates a tracker for the jobs of one leader's term. */
    public QueueWaitTracker(JobRegistry jobs) {
        this.jobs = jobs;
    }

    /**
     * The longest wait of an active job that has not started any task, in seconds, as of the last
     * update; 0 if no job waits.
     */
    public double longestWaitSeconds() {
        return longestWaitSeconds;
    }

    /**
     * Updates the longest wait and logs long waits, unless it did so less than {@link
     * #RUN_INTERVAL_SECONDS} ago.
     *
     * @param unplacedJobs jobs that still have pending tasks after the allocator's run, most urgent
     *     first
     */
    public void run(List<Job> unplacedJobs, double nowSeconds) {
        if (nowSeconds < nextRunAtSeconds) {
            return;
        }
        nextRunAtSeconds = nowSeconds + RUN_INTERVAL_SECONDS;
        longestWaitSeconds = 0;
        for (Job job : jobs.all()) {
            if (job.isActive() && !job.hasBegun()) {
                longestWaitSeconds =
                        Math.max(longestWaitSeconds, nowSeconds - job.readyAtSeconds());
            }
        }
        loggedAtSeconds.keySet().removeIf(job -> !job.isActive() || job.hasBegun());
        int loggedJobCount = 0;
        for (Job job : unplacedJobs) {
            if (!job.hasBegun()
                    && nowSeconds - job.readyAtSeconds() > LONG_WAIT_SECONDS
                    && nowSeconds
                            > loggedAtSeconds.getOrDefault(job, Double.NEGATIVE_INFINITY)
                                    + LONG_WAIT_SECONDS
                    && loggedJobCount++ < MAX_LOGGED_JOBS_PER_RUN) {
                loggedAtSeconds.put(job, nowSeconds);
                LOG.warn(
                        "job waiting to start: job={} class={} tasks={} resourcesPerTask={} waitSeconds={} reason={}",
                        job.spec().id(),
                        job.spec().jobClass(),
                        job.spec().tasks(),
                        job.spec().resourcesPerTask(),
                        Math.round(nowSeconds - job.readyAtSeconds()),
                        waitReason(job, nowSeconds));
            }
        }
    }

    /** Describes for the log why the job is not started. */
    private String waitReason(Job job, double nowSeconds) {
        Resources required = PreemptionSearch.minimumDemand(job);
        if (job.isSuspectedFaulty()) {
            return "tasks failed on several machines";
        } else if (!job.team().isWithinLimit(required)) {
            return "job would exceed the team's limit: demand "
                    + required
                    + ", used "
                    + job.team().used()
                    + ", reserved for gangs "
                    + job.team().reservedForGangs()
                    + ", limit "
                    + job.team().team().limit();
        } else if (job.capacityAcquisition().hasHeldMachines()) {
            return "resources still to be freed on "
                    + job.capacityAcquisition().heldMachineCount()
                    + " machines held for the job";
        } else if (job.capacityAcquisition().reservedUntilSeconds() > nowSeconds) {
            return "not enough free resources for the whole gang, resources for some of its tasks may be reserved";
        }
        return job.team().isWithinGuarantee(required)
                ? "not enough free resources, although with this job the team stays within its guarantee"
                : "not enough free resources, and with this job the team exceeds its guarantee";
    }
}
