package io.kelphoist.admission;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.TaskCounts;
import io.kelphoist.statestore.GroupCommitter;
import io.kelphoist.statestore.StateStoreReader;
import io.kelphoist.wire.JobCodec;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Submission, query and cancellation of jobs: the only entry point for the HTTP and the gRPC user
 * APIs. Every controller serves these requests, whether it is the leader or a follower. A
 * controller that can't determine a job's current state does not report an assumed one; it defers
 * the request, so that the user retries.
 *
 * <p>All methods except {@link #deferralCount}, {@link #unansweredJobs} and {@link
 * #revalidationWaitSeconds} must be called on the event loop. Each callback is called exactly once,
 * on the event loop, possibly before the call returns.
 */
public final class Admission {
    /**
     * Maximum age of a dependency's record when a job's state is reported, as a fraction of the
     * time within which dependent jobs must be reported as cancelled.
     */
    private static final double MAX_RECENT_AGE_RATIO = 0.25;

    /**
     * What this controller knows of the cluster besides the job records, which admission reads from
     * the state store itself.
     */
    public interface ClusterView {
        /** Returns all machine types; empty until they are loaded. */
        Collection<MachineType> machineTypes();

        /**
         * Returns the latest task counts of a job, or empty if no task has started as far as this
         * controller knows.
         */
        Optional<TaskCounts> taskCounts(String jobId);

        /**
         * Returns whether the controller's event loop is so far behind with its work that queries
         * must be deferred.
         */
        default boolean isOverloaded() {
            return false;
        }
    }

    /** Accepts writes to the state store, as {@link GroupCommitter#submit} does. */
    public interface RecordWriter {
        /** Queues a write; its listener receives the outcome on the event loop. */
        void submit(GroupCommitter.Write write);
    }

    /** Access to the state store for users' requests. */
    public record StoreAccess(StateStoreReader reader, RecordWriter writer) {}

    /** Receives each submission that could be decoded, before it is handled. */
    public interface SubmissionListener {
        /** Returns the callback that replaces the given one and must pass the result on to it. */
        Consumer<AdmissionResult> onSubmission(JobSpec job, Consumer<AdmissionResult> callback);
    }

    private final SubmissionHandler submissions;
    private final QueryHandler queries;
    private final CancellationHandler cancellations;
    private final JobResponder responder;
    private final ClusterView clusterView;
    private final Consumer<JobRecord> beforeResponse;
    private SubmissionListener submissionListener = (job, callback) -> callback;

    private Admission(
            SubmissionHandler submissions,
            QueryHandler queries,
            CancellationHandler cancellations,
            JobResponder responder,
            ClusterView clusterView,
            Consumer<JobRecord> beforeResponse) {
        this.submissions = submissions;
        this.queries = queries;
        this.cancellations = cancellations;
        this.responder = responder;
        this.clusterView = clusterView;
        this.beforeResponse = beforeResponse;
    }

    /**
     * Creates the admission of one controller.
     *
     * @param wallClockMillis time of day in ms since the epoch
     * @param beforeResponse receives each job record before its state is reported to a user, see
     *     {@link io.kelphoist.cancellation.ConfirmedCancellations}
     */
    public static Admission create(
            StoreAccess store,
            EventLoop loop,
            LongSupplier wallClockMillis,
            ClusterView clusterView,
            AdmissionSettings settings,
            Consumer<JobRecord> beforeResponse) {
        double maxRecentAgeSeconds = MAX_RECENT_AGE_RATIO * settings.cancellationTimeoutSeconds();
        JobLookup lookup = new JobLookup(store.reader(), loop, maxRecentAgeSeconds);
        JobRecordWriter writer =
                new JobRecordWriter(store.writer(), loop, settings.maxValueKilobytes());
        JobResponder responder = new JobResponder(lookup, clusterView, beforeResponse);
        CancellationHandler cancellations = new CancellationHandler(lookup, writer, responder);
        QueryHandler queries =
                new QueryHandler(lookup, responder, cancellations, clusterView, loop);
        SubmissionHandler submissions =
                new SubmissionHandler(
                        new AdmissionRules(settings.teams(), settings.zones()),
                        lookup,
                        writer,
                        responder,
                        queries,
                        new SubmissionHandler.Clocks(loop, wallClockMillis));
        return new Admission(
                submissions, queries, cancellations, responder, clusterView, beforeResponse);
    }

    /** Sets the listener for submissions. There is none by default. */
    public void setSubmissionListener(SubmissionListener listener) {
        submissionListener = listener;
    }

    /**
     * Accepts a job, or rejects it if it could never run. Idempotent: the response to a repeated
     * submission of a stored job is the job's state.
     */
    public void submit(JobSpec job, Consumer<AdmissionResult> callback) {
        Consumer<AdmissionResult> observed = submissionListener.onSubmission(job, callback);
        submissions.submit(job, clusterView.machineTypes(), observed);
    }

    /**
     * Rejects a submission of which only the job id could be decoded. If a job with this id is
     * stored, the response is its state instead.
     *
     * @param reason description of the error for the user
     */
    public void rejectMalformed(String jobId, String reason, Consumer<AdmissionResult> callback) {
        submissions.rejectMalformed(jobId, reason, callback);
    }

    /** Responds with a job's state, or with {@link AdmissionResult.NotFound}. */
    public void query(String jobId, Consumer<AdmissionResult> callback) {
        if (JobCodec.isJobId(jobId)) {
            queries.query(jobId, callback);
        } else {
            callback.accept(new AdmissionResult.NotFound());
        }
    }

    /**
     * Cancels a job and responds with its state, which is final: a job that has already ended is
     * not changed. If no job with this id is stored, responds with {@link
     * AdmissionResult.NotFound}. Defers the request unless it is certain that the cancellation is
     * stored.
     */
    public void cancel(String jobId, Consumer<AdmissionResult> callback) {
        if (JobCodec.isJobId(jobId)) {
            cancellations.cancel(jobId, callback);
        } else {
            callback.accept(new AdmissionResult.NotFound());
        }
    }

    /**
     * Must be called before a job's record is reported to a user other than in a response of this
     * class.
     */
    public void beforeResponse(JobRecord record) {
        beforeResponse.accept(record);
    }

    /**
     * Returns how many requests were deferred for this reason since the process started. May be
     * called on any thread.
     */
    public long deferralCount(AdmissionResult.DeferralReason reason) {
        return responder.deferralCount(reason);
    }

    /** Returns the jobs whose last query was deferred. May be called on any thread. */
    public UnansweredJobs unansweredJobs() {
        return queries.unansweredJobs();
    }

    /**
     * Returns for how many seconds queries have waited until this controller's cached job records
     * are known to be current; 0 if none waits. It stays below a few seconds, since a read of the
     * state store ends by its timeout. May be called on any thread.
     */
    public double revalidationWaitSeconds(double nowSeconds) {
        return queries.revalidationWaitSeconds(nowSeconds);
    }
}
