package io.kelphoist.admission;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.statestore.GroupCommitter;
import java.util.function.Consumer;

/**
 * Cancels jobs. A job is reported as cancelled only after its cancellation is stored, so that no
 * controller can report an older state afterwards.
 */
final class CancellationHandler {
    private static final int MAX_WRITE_ATTEMPTS = 3;

    private final JobLookup lookup;
    private final JobRecordWriter writer;
    private final JobResponder responder;

    CancellationHandler(JobLookup lookup, JobRecordWriter writer, JobResponder responder) {
        this.lookup = lookup;
        this.writer = writer;
        this.responder = responder;
    }

    /**
     * Cancels a job, unless its status is final already. Responds with its state, or with {@link
     * AdmissionResult.NotFound}; defers the request unless it is certain that the cancellation is
     * stored.
     */
    void cancel(String jobId, Consumer<AdmissionResult> callback) {
        readAndCancel(jobId, MAX_WRITE_ATTEMPTS, callback);
    }

    /** Cancels a job whose record the caller has just read, unless its status is final already. */
    void cancel(JobRecord job, Consumer<AdmissionResult> callback) {
        cancel(job, MAX_WRITE_ATTEMPTS, callback);
    }

    private void readAndCancel(String jobId, int attemptsLeft, Consumer<AdmissionResult> callback) {
        responder.withRecord(
                jobId,
                job -> cancel(job, attemptsLeft, callback),
                () -> callback.accept(new AdmissionResult.NotFound()),
                callback);
    }

    private void cancel(JobRecord job, int attemptsLeft, Consumer<AdmissionResult> callback) {
        if (job.status().isFinal()) {
            responder.respondWithState(job, callback);
            return;
        }
        JobRecord cancelled = cancelledRecord(job, job.version());
        writer.write(
                writer.encode(cancelled),
                (outcome, revision) ->
                        onOutcome(cancelled, outcome, revision, attemptsLeft, callback));
    }

    private void onOutcome(
            JobRecord cancelled,
            GroupCommitter.Outcome outcome,
            long revision,
            int attemptsLeft,
            Consumer<AdmissionResult> callback) {
        switch (outcome) {
            case STORED -> {
                JobRecord stored = cancelledRecord(cancelled, revision);
                lookup.onWritten(stored);
                responder.respondWithState(stored, callback);
            }
            case CONFLICT, UNKNOWN -> {
                if (attemptsLeft > 1) {
                    readAndCancel(cancelled.id(), attemptsLeft - 1, callback);
                } else {
                    deferNotStored(cancelled.id(), callback);
                }
            }
            case NOT_EXECUTED, TOO_LARGE -> deferNotStored(cancelled.id(), callback);
        }
    }

    private static JobRecord cancelledRecord(JobRecord job, long revision) {
        return new JobRecord(
                job.id(), job.spec(), JobStatus.CANCELLED, job.timestampMillis(), revision);
    }

    private void deferNotStored(String jobId, Consumer<AdmissionResult> callback) {
        responder.defer(jobId, AdmissionResult.DeferralReason.NOT_STORED, callback);
    }
}
