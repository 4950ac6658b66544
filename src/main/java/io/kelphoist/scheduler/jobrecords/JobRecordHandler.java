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
 * Applies job records as they are read from the state store, or as they change there: new jobs,
 * cancellations and stored ends. A record of a registered job is ignored if it is older than the
 * newest record received of that job.
 */
public final class JobRecordHandler {
    private static final Logger LOG = LoggerFactory.getLogger(JobRecordHandler.class);

    private final JobRegistry jobs;
    private final JobDependencies jobDependencies;
    private final JobFactory jobFactory;
    private final AttemptLifecycle attempts;
    private final ProgressRecords progressRecords;
    private final SchedulerOutput output;

    /** Whether the records that earlier terms stored are still being read. */
    private boolean loading = true;

    /** Creates the handler of the job records that the leader of a term reads. */
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

    /** Handles the end of loading: all records of earlier terms have been read. */
    public void onRecordsLoaded() {
        loading = false;
        jobs.removeCancelledWithoutAttempts();
    }

    /**
     * Creates, updates or ends the job of a record. No job is created if the record is of a done
     * job, has no spec, or names a team that is not configured; if a cancellation of the job was
     * received and is still cached; or, once all records of earlier terms are loaded, if the job is
     * cancelled.
     *
     * @param ageSeconds seconds since the job was accepted; for a done job, since its end was
     *     stored
     */
    public void onRecord(JobRecord record, double ageSeconds, double nowSeconds) {
        Job job = jobs.get(record.id());
        if (job == null) {
            onUnregisteredJob(record, nowSeconds - ageSeconds, nowSeconds);
        } else if (record.version() >= job.recordState().version()) {
            job.recordState().onNewerVersion(record.version());
            onRegisteredJob(job, record, nowSeconds - ageSeconds, nowSeconds);
        }
    }

    private void onUnregisteredJob(JobRecord record, double recordedAtSeconds, double nowSeconds) {
        if (record.status().isFinal()) {
            onEndStored(record, recordedAtSeconds, nowSeconds);
        }
        if (!isRelevant(record)) {
            return;
        }
        Job job = jobFactory.create(record, recordedAtSeconds, nowSeconds);
        if (job == null) {
            LOG.warn(
                    "job ignored because its team is not configured: job={} team={}",
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
     * Whether an unregistered job has, or may have, tasks on machines or tasks left to run. A
     * cancelled job is relevant only while records are loaded: its tasks may still be on machines.
     */
    private boolean isRelevant(JobRecord record) {
        if (record.status() == JobStatus.DONE || record.spec() == null) {
            return false;
        }
        return record.status() == JobStatus.CANCELLED
                ? loading
                : !jobDependencies.isCancelled(record.id());
    }

    private void onRegisteredJob(
            Job job, JobRecord record, double recordedAtSeconds, double nowSeconds) {
        if (record.status().isFinal()) {
            onEndStored(record, recordedAtSeconds, nowSeconds);
        }
        if (record.status() == JobStatus.CANCELLED && job.transitionTo(Job.State.CANCELLED)) {
            LOG.info(
                    "job cancelled: job={} attemptsToStop={}",
                    job.spec().id(),
                    job.tasks().attemptCount());
            attempts.stopAll(job, /* graceSeconds= */ 0, nowSeconds);
            releaseEndedJob(job, /* done= */ false);
        } else if (record.status() == JobStatus.DONE && job.transitionTo(Job.State.DONE)) {
            LOG.info(
                    "job done: job={} durationSeconds={}",
                    job.spec().id(),
                    Math.round(nowSeconds - job.acceptedAtSeconds()));
            releaseEndedJob(job, /* done= */ true);
        }
    }

    private void onEndStored(JobRecord record, double recordedAtSeconds, double nowSeconds) {
        jobDependencies.onJobEnded(
                record.id(), record.status() == JobStatus.DONE, recordedAtSeconds, nowSeconds);
    }

    private void releaseEndedJob(Job job, boolean done) {
        progressRecords.onJobEnded(job);
        jobs.removeIfEnded(job);
        output.publishEvent(job, new TaskEvent.JobEnded(done));
    }

    /** Handles a write of a job's end that failed or has an unknown outcome: it is repeated. */
    public void onEndNotStored(String jobId) {
        Job job = jobs.get(jobId);
        if (job != null && job.recordState().isEndBeingStored()) {
            LOG.info(
                    "end of a job not stored, repeating the write: job={} state={}",
                    jobId,
                    job.state());
            job.recordState().onEndNotStored();
            jobDependencies.onCancellationNotStored(job);
        }
    }
}
