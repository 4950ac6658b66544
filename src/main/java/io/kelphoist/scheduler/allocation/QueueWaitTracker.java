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
 * Large jobs wait longest, because the resources for them become free slowly; {@link Preemptor},
 * {@link GangScheduler} and {@link Job#isAged} bound their wait.
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
     * The longest current wait of a job that has not started any task, in seconds; 0 if no job
     * waits.
     */
    public double longestWaitSeconds() {
        return longestWaitSeconds;
    }

    /**
     * Updates the longest wait and logs long waits, unless it did so less than {@link
     * #RUN_INTERVAL_SECONDS} ago.
     *
     * @param unplacedJobs jobs with pending tasks that the allocator did not start, most urgent
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
                        "job waiting for resources: job={} class={} tasks={} resourcesPerTask={} waitSeconds={} reason={}",
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
            return "job would exceed the team's limit, used " + job.team().used();
        } else if (job.capacityAcquisition().hasHeldMachines()) {
            return job.capacityAcquisition().heldMachineCount() + " machines held for the job";
        } else if (job.capacityAcquisition().reservedUntilSeconds() > nowSeconds) {
            return "resources reserved for part of the gang";
        }
        return job.team().isWithinGuarantee(required)
                ? "not enough free resources, within the team's guarantee"
                : "not enough free resources, beyond the team's guarantee";
    }
}
