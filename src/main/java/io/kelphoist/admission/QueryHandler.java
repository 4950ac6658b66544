package io.kelphoist.admission;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles queries for a job's state. If the job depends on a cancelled job and no task of it has
 * started as far as this controller knows, the query cancels the job first, so that it is not
 * reported as queued.
 */
final class QueryHandler {
    private static final Logger LOG = LoggerFactory.getLogger(QueryHandler.class);

    private final JobLookup lookup;
    private final JobResponder responder;
    private final CancellationHandler cancellations;
    private final Admission.ClusterView clusterView;
    private final EventLoop loop;
    private final UnansweredJobs unansweredJobs = new UnansweredJobs();

    QueryHandler(
            JobLookup lookup,
            JobResponder responder,
            CancellationHandler cancellations,
            Admission.ClusterView clusterView,
            EventLoop loop) {
        this.lookup = lookup;
        this.responder = responder;
        this.cancellations = cancellations;
        this.clusterView = clusterView;
        this.loop = loop;
    }

    /** Responds with a job's state, or with {@link AdmissionResult.NotFound}. */
    void query(String jobId, Consumer<AdmissionResult> callback) {
        Consumer<AdmissionResult> tracked = result -> trackAndRespond(jobId, result, callback);
        if (clusterView.isOverloaded()) {
            responder.defer(jobId, AdmissionResult.DeferralReason.BUSY, tracked);
            return;
        }
        respondIfStored(jobId, () -> tracked.accept(new AdmissionResult.NotFound()), tracked);
    }

    private void trackAndRespond(
            String jobId, AdmissionResult result, Consumer<AdmissionResult> callback) {
        if (!(result instanceof AdmissionResult.RetryLater)) {
            unansweredJobs.onQueryAnswered(jobId);
        } else if (unansweredJobs.onQueryDeferred(jobId, loop.nowSeconds())) {
            // If queries for other jobs succeed, the cause may be the cached record of this job.
            // Without it, the next query reads the record from the state store.
            LOG.warn(
                    "queries deferred repeatedly, cached job record invalidated: job={} deferredSeconds={}",
                    jobId,
                    Math.round(unansweredJobs.deferredForSeconds(jobId, loop.nowSeconds())));
            lookup.invalidate(jobId);
        }
        callback.accept(result);
    }

    /** Responds with a job's state if the job is stored, and runs {@code ifAbsent} if it is not. */
    void respondIfStored(String jobId, Runnable ifAbsent, Consumer<AdmissionResult> callback) {
        responder.withRecord(
                jobId, record -> respondAfterDependencyCheck(record, callback), ifAbsent, callback);
    }

    UnansweredJobs unansweredJobs() {
        return unansweredJobs;
    }

    double revalidationWaitSeconds(double nowSeconds) {
        return lookup.revalidationWaitSeconds(nowSeconds);
    }

    private void respondAfterDependencyCheck(JobRecord record, Consumer<AdmissionResult> callback) {
        if (!waitsForDependencies(record)) {
            responder.respondWithState(record, callback);
            return;
        }
        DependencyCheck check = new DependencyCheck(record, callback);
        DependencyWalk.start(lookup, record.spec().dependencies(), check::onCompleted);
        check.isStarting = false;
    }

    private boolean waitsForDependencies(JobRecord record) {
        return record.status() == JobStatus.ACTIVE
                && !record.spec().dependencies().isEmpty()
                && clusterView.taskCounts(record.id()).isEmpty();
    }

    /** A query that waits for the check of the job's dependencies. */
    private final class DependencyCheck {
        private final JobRecord record;
        private final Consumer<AdmissionResult> callback;

        /** Whether the call that starts the check has not returned yet. */
        private boolean isStarting = true;

        DependencyCheck(JobRecord record, Consumer<AdmissionResult> callback) {
            this.record = record;
            this.callback = callback;
        }

        void onCompleted(DependencyStatus status) {
            switch (status) {
                case NONE_CANCELLED -> respondWithCurrentState();
                case CANCELLED -> cancellations.cancel(record, callback);
                case UNAVAILABLE -> deferStateUnknown();
            }
        }

        /**
         * Responds with the job's state. The record is read again if the call that started the
         * check has returned, since the record may be outdated by then.
         */
        private void respondWithCurrentState() {
            if (isStarting) {
                responder.respondWithState(record, callback);
                return;
            }
            responder.withRecord(
                    record.id(),
                    current -> responder.respondWithState(current, callback),
                    this::deferStateUnknown,
                    callback);
        }

        private void deferStateUnknown() {
            responder.defer(record.id(), AdmissionResult.DeferralReason.UNSURE, callback);
        }
    }
}
