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
 * Reconciles the jobs that are worked on with their records, so that no accepted job is lost.
 * Nothing should ever be found. What is found is logged as an error, counted and repaired.
 */
public final class JobReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(JobReconciler.class);
    private final JobRegistry jobs;
    private final JobFactory jobFactory;

    /** Unfinished jobs with a record that are not worked on, and since when. */
    private final Map<String, Double> missingSinceSeconds = new HashMap<>();

    private long repairCount;

    /** Creates the reconciler of a term's jobs. */
    public JobReconciler(JobRegistry jobs, JobFactory jobFactory) {
        this.jobs = jobs;
        this.jobFactory = jobFactory;
    }

    /** How many jobs and tasks were found lost so far. */
    public long repairCount() {
        return repairCount;
    }

    /**
     * Requeues lost tasks and finds lost jobs.
     *
     * @param unfinished the records of all unfinished jobs
     * @param knownUntilSeconds all changes of records before this time are in {@code unfinished}. A
     *     job that ended a moment ago may still be there as unfinished; it must not be started
     *     again.
     * @return the records of lost jobs, to be applied again
     */
    public List<JobRecord> reconcile(
            Collection<JobRecord> unfinished, double knownUntilSeconds, double nowSeconds) {
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
            if (knownUntilSeconds
                    > missingSinceSeconds.computeIfAbsent(record.id(), id -> nowSeconds)) {
                LOG.error("lost job found, it is applied again: job={}", record.id());
                repairCount++;
                lostRecords.add(record);
            }
        }
        missingSinceSeconds.keySet().retainAll(missingJobIds);
        lostRecords.forEach(record -> missingSinceSeconds.remove(record.id()));
        return lostRecords;
    }

    /** Each task of an active job is pending, done or attempted. */
    private void requeueLostTasks(Job job, double nowSeconds) {
        if (!job.isActive() || job.tasks().isComplete()) {
            return;
        }
        for (int taskIndex = job.tasks().nextLost(0);
                taskIndex >= 0;
                taskIndex = job.tasks().nextLost(taskIndex + 1)) {
            LOG.error(
                    "lost task found, it is requeued: job={} task={}", job.spec().id(), taskIndex);
            repairCount++;
            job.requeueLostTask(taskIndex, nowSeconds);
        }
    }
}
