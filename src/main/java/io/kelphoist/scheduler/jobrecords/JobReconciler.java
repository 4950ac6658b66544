package io.kelphoist.scheduler.jobrecords;

import io.kelphoist.model.JobRecord;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.JobRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the jobs that are registered with the scheduler with the stored job records, so that
 * no accepted job is lost. No difference should ever occur; each one that is found is logged as an
 * error, counted and repaired.
 */
public final class JobReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(JobReconciler.class);
    private final JobRegistry jobs;
    private final JobFactory jobFactory;

    /** When each unfinished job with a record was first found not to be registered. */
    private final Map<String, Double> missingSinceSecondsByJobId = new HashMap<>();

    private long repairCount;

    /** Creates the reconciler of the jobs of a term. */
    public JobReconciler(JobRegistry jobs, JobFactory jobFactory) {
        this.jobs = jobs;
        this.jobFactory = jobFactory;
    }

    /** How many lost jobs and lost tasks were found and repaired so far. */
    public long repairCount() {
        return repairCount;
    }

    /**
     * Requeues lost tasks and finds lost jobs.
     *
     * @param unfinished the records of all unfinished jobs; those without a spec or of a team that
     *     is not configured are ignored
     * @param changesReadUntilSeconds {@code unfinished} reflects all record changes before this
     *     time. A job that ended shortly before now may still be in it as unfinished and must not
     *     be started again; so a job is lost only if it was found to be missing before this time.
     * @return the records of lost jobs, to be applied again
     */
    public List<JobRecord> reconcile(
            Collection<JobRecord> unfinished, double changesReadUntilSeconds, double nowSeconds) {
        jobs.all().forEach(job -> requeueLostTasks(job, nowSeconds));
        List<JobRecord> lostRecords = new ArrayList<>();
        Set<String> missingJobIds = new HashSet<>();
        for (JobRecord record : unfinished) {
            if (jobs.contains(record.id())
                    || record.spec() == null
                    || !jobFactory.teamsByName().containsKey(record.spec().team())) {
                continue;
            }
            missingJobIds.add(record.id());
            if (changesReadUntilSeconds
                    > missingSinceSecondsByJobId.computeIfAbsent(record.id(), id -> nowSeconds)) {
                LOG.error("lost job found, applying its record again: job={}", record.id());
                repairCount++;
                lostRecords.add(record);
            }
        }
        missingSinceSecondsByJobId.keySet().retainAll(missingJobIds);
        lostRecords.forEach(record -> missingSinceSecondsByJobId.remove(record.id()));
        return lostRecords;
    }

    /**
     * Requeues the tasks of an active job that are neither pending nor done and have no attempt:
     * each task must be one of the three.
     */
    private void requeueLostTasks(Job job, double nowSeconds) {
        if (!job.isActive() || job.tasks().areAllTracked()) {
            return;
        }
        for (int taskIndex = job.tasks().nextLost(0);
                taskIndex >= 0;
                taskIndex = job.tasks().nextLost(taskIndex + 1)) {
            LOG.error("lost task found, requeuing it: job={} task={}", job.spec().id(), taskIndex);
            repairCount++;
            job.requeueLostTask(taskIndex, nowSeconds);
        }
    }
}
