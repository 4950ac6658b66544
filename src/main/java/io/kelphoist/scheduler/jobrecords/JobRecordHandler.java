package io.kelphoist.scheduler.jobrecords;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import io.kelphoist.scheduler.records.ProgressRecords;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import io.kelphoist.scheduler.spi.TaskEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies job records as they are read, or as they change at the state service: new jobs,
 * cancellations, and ends that are stored. A record that is older than the newest one seen of its
 * job is ignored.
 */
public final class JobRecordHandler {
    private static final Logger LOG = LoggerFactory.getLogger(JobRecordHandler.class);

    private final JobRegistry jobs;
    private final JobDependencies jobDependencies;
    private final JobFactory jobFactory;
    private final AttemptLifecycle attempts;
    private final ProgressRecords progressRecords;
    private final SchedulerOutput output;

    /** Records of an earlier term are being read. */
    private boolean loading = true;

    /** Creates the handler of a term's job records. */
    public JobRecordHandler(
            JobRegistry jobs,
            JobDependencies jobDependencies,
            JobFactory jobFactory,
            AttemptLifecycle attempts,
            ProgressRecords progressRecords,
            SchedulerOutput output) {
        this.jobs = jobs;
        this.jobDependencies = jobDependencies;
        this.jobFactory = jobFactory;
        this.attempts = attempts;
        this.progressRecords = progressRecords;
        this.output = output;
    }

    /** All records of earlier terms have been read. */
    public void onRecordsLoaded() {
        loading = false;
        jobs.removeCancelledWithoutAttempts();
    }

    /**
     * Creates or updates the job of a record.
     *
     * @param ageSeconds how long ago the job was accepted; of a done job, how long ago that was
     *     stored
     */
    public void onRecord(JobRecord record, double ageSeconds, double nowSeconds) {
        Job job = jobs.get(record.id());
        if (job == null) {
            onUnknownJob(record, nowSeconds - ageSeconds, nowSeconds);
        } else if (record.version() >= job.recordVersion()) {
            job.updateRecordVersion(record.version());
            onKnownJob(job, record, nowSeconds - ageSeconds, nowSeconds);
        }
    }

    private void onUnknownJob(JobRecord record, double recordedAtSeconds, double nowSeconds) {
        if (record.status().isFinal()) {
            onEndRecorded(record, recordedAtSeconds, nowSeconds);
        }
        if (!isRelevant(record)) {
            return;
        }
        Job job = jobFactory.create(record, recordedAtSeconds, nowSeconds);
        if (job == null) {
            LOG.warn(
                    "job ignored, its team is not configured: job={} team={}",
                    record.id(),
                    record.spec().team());
            return;
        }
        jobs.add(job);
        if (record.status() == JobStatus.CANCELLED) {
            job.transitionTo(Job.State.CANCELLED);
            return;
        }
        jobDependencies.onJobAdded(job, nowSeconds);
        if (job.state() == Job.State.WAITING) {
            output.publishEvent(job, new TaskEvent.WaitingForDependencies());
        }
    }

    /**
     * Whether an unknown job has, or may have, tasks on machines or to run. A cancelled one matters
     * only while records are loaded: its tasks may still be on machines.
     */
    private boolean isRelevant(JobRecord record) {
        if (record.status() == JobStatus.DONE || record.spec() == null) {
            return false;
        }
        return record.status() == JobStatus.CANCELLED
                ? loading
                : !jobDependencies.isCancelled(record.id());
    }

    private void onKnownJob(
            Job job, JobRecord record, double recordedAtSeconds, double nowSeconds) {
        if (record.status().isFinal()) {
            onEndRecorded(record, recordedAtSeconds, nowSeconds);
        }
        if (record.status() == JobStatus.CANCELLED && job.transitionTo(Job.State.CANCELLED)) {
            LOG.info(
                    "job cancelled: job={} attemptsToStop={}",
                    job.spec().id(),
                    job.tasks().attemptCount());
            attempts.stopAll(job, 0, nowSeconds);
            releaseEndedJob(job, false);
        } else if (record.status() == JobStatus.DONE && job.transitionTo(Job.State.DONE)) {
            LOG.info(
                    "job done: job={} durationSeconds={}",
                    job.spec().id(),
                    Math.round(nowSeconds - job.acceptedAtSeconds()));
            releaseEndedJob(job, true);
        }
    }

    private void onEndRecorded(JobRecord record, double recordedAtSeconds, double nowSeconds) {
        jobDependencies.onJobEnded(
                record.id(), record.status() == JobStatus.DONE, recordedAtSeconds, nowSeconds);
    }

    private void releaseEndedJob(Job job, boolean done) {
        progressRecords.onJobEnded(job);
        jobs.removeIfOver(job);
        output.publishEvent(job, new TaskEvent.JobEnded(done));
    }

    /** The end of a job could not be stored, or nobody knows whether it was: it is stored again. */
    public void onEndNotStored(String jobId) {
        Job job = jobs.get(jobId);
        if (job != null && job.endBeingStored()) {
            job.onEndNotStored();
            jobDependencies.onCancellationNotStored(job);
        }
    }
}
