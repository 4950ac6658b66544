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
 * Tracks how long jobs wait of which nothing has begun, and logs the longest waits with their
 * reasons. The largest jobs wait longest, as room for them comes together slowly; {@link
 * Preemptor}, {@link GangScheduler} and {@link Job#isAged} bound that.
 */
public final class QueueWaitTracker {
    private static final Logger LOG = LoggerFactory.getLogger(QueueWaitTracker.class);
    private static final double RUN_INTERVAL_SECONDS = 5;

    /** A job that waits for so long is logged, and again after as long. */
    private static final double LONG_WAIT_SECONDS = 90;

    /** How many jobs are logged in one run. */
    private static final int MAX_LOGGED_JOBS = 5;

    private final JobRegistry jobs;
    private final Map<Job, Double> loggedAtSeconds = new HashMap<>();
    private double nextRunAtSeconds;
    private double longestWaitSeconds;

    /** Creates a tracker of the jobs that a term works on. */
    public QueueWaitTracker(JobRegistry jobs) {
        this.jobs = jobs;
    }

    /** The longest time that a job waits of which nothing has begun, in seconds; 0: none waits. */
    public double longestWaitSeconds() {
        return longestWaitSeconds;
    }

    /**
     * Updates the longest wait and logs long ones, if the last time was long enough ago.
     *
     * @param unplacedJobs jobs with work that found no room
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
                    && loggedJobCount++ < MAX_LOGGED_JOBS) {
                loggedAtSeconds.put(job, nowSeconds);
                LOG.warn(
                        "job waits for room: job={} class={} tasks={} resourcesPerTask={} waitSeconds={} reason={}",
                        job.spec().id(),
                        job.spec().jobClass(),
                        job.spec().tasks(),
                        job.spec().resourcesPerTask(),
                        Math.round(nowSeconds - job.readyAtSeconds()),
                        waitReason(job, nowSeconds));
            }
        }
    }

    private String waitReason(Job job, double nowSeconds) {
        Resources required = PreemptionSearch.minimumDemand(job);
        if (job.isSuspectedFaulty()) {
            return "fails on every machine";
        } else if (!job.team().isWithinLimit(required)) {
            return "team limit, used " + job.team().used();
        } else if (job.capacityAcquisition().hasHeldMachines()) {
            return job.capacityAcquisition().heldMachineCount() + " machines held";
        } else if (job.capacityAcquisition().reservedUntilSeconds() > nowSeconds) {
            return "room reserved";
        }
        return job.team().isWithinGuarantee(required)
                ? "no room, within the team's guarantee"
                : "no room, beyond the team's guarantee";
    }
}
