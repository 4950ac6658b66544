package io.kelphoist.admission;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.TaskCounts;
import java.util.EnumMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends users the responses that report a job's state and those that defer a request. Owns the
 * counts of deferred requests. Every job state in a response to a user is made by {@link
 * #prepareJobState}.
 */
final class JobResponder {
    private static final Logger LOG = LoggerFactory.getLogger(JobResponder.class);
    private static final int RETRY_AFTER_SECONDS = 1;

    private final JobLookup lookup;
    private final Admission.ClusterView clusterView;
    private final Consumer<JobRecord> beforeResponse;

    /** Written on the event loop, read by the metrics thread; guarded by itself. */
    private final EnumMap<AdmissionResult.DeferralReason, Long> deferralCounts =
            new EnumMap<>(AdmissionResult.DeferralReason.class);

    JobResponder(
            JobLookup lookup,
            Admission.ClusterView clusterView,
            Consumer<JobRecord> beforeResponse) {
        this.lookup = lookup;
        this.clusterView = clusterView;
        this.beforeResponse = beforeResponse;
    }

    /** Responds with the job's state according to its record. */
    void respondWithState(JobRecord record, Consumer<AdmissionResult> callback) {
        callback.accept(new AdmissionResult.Found(prepareJobState(record)));
    }

    /**
     * Returns a job's state for a response to a user. Before that, records it as reported and calls
     * the {@code beforeResponse} listener.
     */
    AdmissionResult.JobStateView prepareJobState(JobRecord record) {
        lookup.recordResponse(record);
        TaskCounts counts =
                record.status() == JobStatus.ACTIVE
                        ? clusterView.taskCounts(record.id()).orElse(TaskCounts.NONE)
                        : TaskCounts.NONE;
        beforeResponse.accept(record);
        return new AdmissionResult.JobStateView(
                record.id(),
                record.owner(),
                phase(record.status(), counts),
                counts.doneTasks(),
                counts.runningTasks(),
                record.timestampMillis(),
                record.version());
    }

    private static AdmissionResult.Phase phase(JobStatus status, TaskCounts counts) {
        return switch (status) {
            case DONE -> AdmissionResult.Phase.DONE;
            case CANCELLED -> AdmissionResult.Phase.CANCELLED;
            case ACTIVE ->
                    counts.runningTasks() > 0
                            ? AdmissionResult.Phase.RUNNING
                            : AdmissionResult.Phase.QUEUED;
        };
    }

    /**
     * Reads a job's record. Passes it to {@code ifPresent}, or runs {@code ifAbsent} if the job has
     * no record. If the record can't be read or decoded, the request is deferred.
     */
    void withRecord(
            String jobId,
            Consumer<JobRecord> ifPresent,
            Runnable ifAbsent,
            Consumer<AdmissionResult> callback) {
        lookup.read(
                jobId,
                result -> {
                    if (result instanceof JobReadResult.Present present) {
                        ifPresent.accept(present.record());
                    } else if (result instanceof JobReadResult.Absent) {
                        ifAbsent.run();
                    } else {
                        defer(jobId, AdmissionResult.DeferralReason.UNSURE, callback);
                    }
                });
    }

    /** Responds that the user should repeat the request after {@link #RETRY_AFTER_SECONDS}. */
    void defer(
            String jobId,
            AdmissionResult.DeferralReason reason,
            Consumer<AdmissionResult> callback) {
        synchronized (deferralCounts) {
            deferralCounts.merge(reason, 1L, Long::sum);
        }
        LOG.debug("request deferred: job={} reason={}", jobId, reason);
        callback.accept(new AdmissionResult.RetryLater(reason, RETRY_AFTER_SECONDS));
    }

    /**
     * Returns how many requests were deferred for this reason since the process started. May be
     * called on any thread.
     */
    long deferralCount(AdmissionResult.DeferralReason reason) {
        synchronized (deferralCounts) {
            return deferralCounts.getOrDefault(reason, 0L);
        }
    }
}
