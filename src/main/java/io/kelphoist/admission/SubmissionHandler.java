package io.kelphoist.admission;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.MachineType;
import io.kelphoist.statestore.GroupCommitter;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts and rejects submissions. Submissions are idempotent: a job that is stored already keeps
 * its state and is reported as found, even if the repeated submission is invalid, because after a
 * rejection the user would assume that the job does not exist.
 */
final class SubmissionHandler {
    private static final Logger LOG = LoggerFactory.getLogger(SubmissionHandler.class);

    /** The version in a write that requires that the record does not exist. */
    private static final long ABSENT_VERSION = 0;

    private final AdmissionRules rules;
    private final JobLookup lookup;
    private final JobRecordWriter writer;
    private final JobResponder responder;
    private final QueryHandler queries;
    private final Clocks clocks;

    /**
     * Time sources for submissions.
     *
     * @param loop provides the monotonic time, which orders reads and responses
     * @param wallClockMillis time of day in ms since the epoch, which is stored as the time of
     *     acceptance
     */
    record Clocks(EventLoop loop, LongSupplier wallClockMillis) {}

    SubmissionHandler(
            AdmissionRules rules,
            JobLookup lookup,
            JobRecordWriter writer,
            JobResponder responder,
            QueryHandler queries,
            Clocks clocks) {
        this.rules = rules;
        this.lookup = lookup;
        this.writer = writer;
        this.responder = responder;
        this.queries = queries;
        this.clocks = clocks;
    }

    /**
     * Accepts a job, or rejects it if it could never run or is too large to be stored. Defers the
     * submission if the state of a dependency is unknown, or unless it is certain that the job is
     * stored.
     *
     * @param machineTypes all machine types that the cloud offers; empty until they are loaded, in
     *     which case the submission is deferred
     */
    void submit(
            JobSpec job, Collection<MachineType> machineTypes, Consumer<AdmissionResult> callback) {
        if (machineTypes.isEmpty()) {
            responder.defer(job.id(), AdmissionResult.DeferralReason.TYPES_UNKNOWN, callback);
            return;
        }
        Optional<String> rejection = rules.findRejectionReason(job, machineTypes);
        if (rejection.isPresent()) {
            rejectUnsatisfiable(job, rejection.get(), callback);
        } else if (job.dependencies().isEmpty()) {
            accept(job, JobStatus.ACTIVE, callback);
        } else {
            // Reads the current records, not recent ones: the user may have just received the
            // response that a dependency is cancelled.
            lookup.readAll(
                    job.dependencies(),
                    dependencies -> acceptWithDependencies(job, dependencies, callback));
        }
    }

    /**
     * Rejects a submission of which only the job id could be decoded, unless that job is stored.
     */
    void rejectMalformed(String jobId, String reason, Consumer<AdmissionResult> callback) {
        queries.respondIfStored(
                jobId,
                () -> {
                    LOG.debug("submission rejected as malformed: job={} reason={}", jobId, reason);
                    callback.accept(malformed(reason));
                },
                callback);
    }

    private void acceptWithDependencies(
            JobSpec job, List<JobReadResult> dependencies, Consumer<AdmissionResult> callback) {
        boolean anyCancelled = false;
        boolean anyStateUnknown = false;
        for (int i = 0; i < dependencies.size(); i++) {
            JobReadResult dependency = dependencies.get(i);
            Optional<String> rejection = findRejectionReason(job.dependencies().get(i), dependency);
            if (rejection.isPresent()) {
                rejectUnsatisfiable(job, rejection.get(), callback);
                return;
            }
            if (dependency instanceof JobReadResult.Present present) {
                anyCancelled |= present.record().status() == JobStatus.CANCELLED;
            } else {
                anyStateUnknown = true;
            }
        }
        if (anyStateUnknown) {
            respondIfStoredElseDefer(job, AdmissionResult.DeferralReason.UNSURE, callback);
        } else {
            // A job with a cancelled dependency can never run; it is stored as cancelled.
            accept(job, anyCancelled ? JobStatus.CANCELLED : JobStatus.ACTIVE, callback);
        }
    }

    private static Optional<String> findRejectionReason(
            String dependencyId, JobReadResult dependency) {
        if (dependency instanceof JobReadResult.Absent) {
            return Optional.of("it needs " + dependencyId + ", which was never accepted");
        }
        if (dependency instanceof JobReadResult.Present present && isService(present.record())) {
            return Optional.of("it needs " + dependencyId + ", a service");
        }
        return Optional.empty();
    }

    private static boolean isService(JobRecord job) {
        return job.spec() != null && job.spec().kind() == JobKind.SERVICE;
    }

    private void accept(JobSpec job, JobStatus status, Consumer<AdmissionResult> callback) {
        JobRecord accepted =
                new JobRecord(
                        job.id(),
                        job,
                        status,
                        clocks.wallClockMillis().getAsLong(),
                        ABSENT_VERSION);
        JobRecordWriter.EncodedRecord encoded = writer.encode(accepted);
        if (!writer.fits(encoded)) {
            rejectTooLarge(job, callback);
            return;
        }
        double sentAtSeconds = clocks.loop().nowSeconds();
        writer.write(
                encoded,
                (outcome, revision) -> {
                    if (outcome == GroupCommitter.Outcome.STORED) {
                        onStored(withVersion(accepted, revision), sentAtSeconds, callback);
                    } else {
                        onNotStored(job, outcome, callback);
                    }
                });
    }

    private static JobRecord withVersion(JobRecord record, long revision) {
        return new JobRecord(
                record.id(), record.spec(), record.status(), record.timestampMillis(), revision);
    }

    private void onStored(
            JobRecord stored, double sentAtSeconds, Consumer<AdmissionResult> callback) {
        lookup.onWritten(stored);
        LOG.debug(
                "job accepted: job={} durationMillis={}",
                stored.id(),
                clocks.wallClockMillis().getAsLong() - stored.timestampMillis());
        // The outcome may have arrived late: another controller may have cancelled the job since,
        // and this controller may have reported that.
        JobReadResult current =
                lookup.ensureMonotonic(
                        stored.id(), new JobReadResult.Present(stored), sentAtSeconds);
        if (current instanceof JobReadResult.Present present) {
            callback.accept(
                    new AdmissionResult.Accepted(responder.prepareJobState(present.record())));
        } else {
            responder.defer(stored.id(), AdmissionResult.DeferralReason.UNSURE, callback);
        }
    }

    private void onNotStored(
            JobSpec job, GroupCommitter.Outcome outcome, Consumer<AdmissionResult> callback) {
        switch (outcome) {
            // The job exists or may exist: the stored record determines the response.
            case CONFLICT, UNKNOWN ->
                    respondIfStoredElseDefer(
                            job, AdmissionResult.DeferralReason.NOT_STORED, callback);
            case TOO_LARGE -> rejectTooLarge(job, callback);
            default ->
                    responder.defer(job.id(), AdmissionResult.DeferralReason.NOT_STORED, callback);
        }
    }

    private void respondIfStoredElseDefer(
            JobSpec job,
            AdmissionResult.DeferralReason reason,
            Consumer<AdmissionResult> callback) {
        queries.respondIfStored(
                job.id(), () -> responder.defer(job.id(), reason, callback), callback);
    }

    private void rejectTooLarge(JobSpec job, Consumer<AdmissionResult> callback) {
        rejectUnlessStored(job, malformed("its description is too large to be stored"), callback);
    }

    private void rejectUnsatisfiable(
            JobSpec job, String message, Consumer<AdmissionResult> callback) {
        rejectUnlessStored(
                job,
                new AdmissionResult.Rejected(
                        AdmissionResult.Rejected.Reason.UNSATISFIABLE, message),
                callback);
    }

    private void rejectUnlessStored(
            JobSpec job, AdmissionResult.Rejected rejected, Consumer<AdmissionResult> callback) {
        queries.respondIfStored(
                job.id(),
                () -> {
                    LOG.info("submission rejected: job={} reason={}", job.id(), rejected.message());
                    callback.accept(rejected);
                },
                callback);
    }

    private static AdmissionResult.Rejected malformed(String message) {
        return new AdmissionResult.Rejected(AdmissionResult.Rejected.Reason.MALFORMED, message);
    }
}
