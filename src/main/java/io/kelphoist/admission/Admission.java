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
 * Submission, query and cancellation of jobs: the one entry point for the HTTP and the gRPC front
 * ends. Any controller serves them, leader or not. What a controller is not certain of it does not
 * report; it asks the user to retry instead.
 *
 * <p>All methods but {@link #deferralCount} and {@link #unansweredJobs} are for the event loop
 * alone. Each callback is called exactly once, on the event loop, possibly before the call returns.
 */
public final class Admission {
    /**
     * A dependency's record may be this old when a job's state is reported, as a share of the time
     * within which cancellations must show.
     */
    private static final double MAX_RECENT_AGE_RATIO = 0.25;

    /** What this controller knows of the cluster besides the state store's records. */
    public interface ClusterView {
        /** Returns all machine types, or nothing while they are not known. */
        Collection<MachineType> machineTypes();

        /** Returns the counts of a job's tasks, or empty if none have begun as far as is known. */
        Optional<TaskCounts> taskCounts(String jobId);

        /** Whether the controller is so far behind with its work that queries must wait. */
        default boolean isOverloaded() {
            return false;
        }
    }

    /** Takes writes for the state store; {@link GroupCommitter#submit} outside of tests. */
    public interface RecordWriter {
        /** Queues a write; its listener receives the outcome on the event loop. */
        void submit(GroupCommitter.Write write);
    }

    /** Access to the state store for users' requests. */
    public record StoreAccess(StateStoreReader reader, RecordWriter writer) {}

    /** Receives each submission. */
    public interface SubmissionListener {
        /** Returns the callback to be called in place of the given one; it must pass results on. */
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
     * @param beforeResponse receives each record before its state is reported to a user, see {@link
     *     io.kelphoist.cancellation.ConfirmedCancellations}
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

    /** Sets who receives submissions; by default nobody does. */
    public void setSubmissionListener(SubmissionListener listener) {
        submissionListener = listener;
    }

    /**
     * Accepts a job, or rejects it if it could never run. Idempotent: the repeated submission of a
     * stored job responds with its state.
     */
    public void submit(JobSpec job, Consumer<AdmissionResult> callback) {
        Consumer<AdmissionResult> observed = submissionListener.onSubmission(job, callback);
        submissions.submit(job, clusterView.machineTypes(), observed);
    }

    /**
     * Rejects a submission of which only the job's id could be decoded, unless that job is stored:
     * then its state is the response.
     *
     * @param reason what is wrong with the submission, in words for its user
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
     * Cancels a job and responds with its state, which is final: a job that has ended before stays
     * as it is. If there is no such job, responds with {@link AdmissionResult.NotFound}.
     */
    public void cancel(String jobId, Consumer<AdmissionResult> callback) {
        if (JobCodec.isJobId(jobId)) {
            cancellations.cancel(jobId, callback);
        } else {
            callback.accept(new AdmissionResult.NotFound());
        }
    }

    /** To be called before a job's record is reported to a user by other means than a response. */
    public void beforeResponse(JobRecord record) {
        beforeResponse.accept(record);
    }

    /** Returns how many requests were deferred for this reason since the start; for any thread. */
    public long deferralCount(AdmissionResult.DeferralReason reason) {
        return responder.deferralCount(reason);
    }

    /** Returns the jobs whose queries keep being deferred; for any thread. */
    public UnansweredJobs unansweredJobs() {
        return queries.unansweredJobs();
    }
}
