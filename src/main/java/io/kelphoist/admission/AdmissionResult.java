package io.kelphoist.admission;

import io.kelphoist.model.JobOwner;

/** The result of a user's request, which the HTTP and gRPC user APIs translate into a response. */
public sealed interface AdmissionResult {
    /**
     * A job's phase in responses to users: the status in its record, of which {@code ACTIVE} is
     * split by the job's task counts into queued and running.
     */
    enum Phase {
        /** Accepted; no task runs according to this controller's task counts. */
        QUEUED,
        /** At least one task runs according to this controller's task counts. */
        RUNNING,
        /** All tasks are done; those of a gang are done once one of them is. */
        DONE,
        /** The job was cancelled, by a user or because a job that it depends on was cancelled. */
        CANCELLED;

        /** Returns whether a job stays in this phase for good. */
        public boolean isFinal() {
            return this == DONE || this == CANCELLED;
        }
    }

    /**
     * A job's state.
     *
     * @param owner null if the record does not name one, see {@link io.kelphoist.model.JobRecord}
     * @param doneTasks number of done tasks in this controller's task counts; 0 if the job has
     *     ended
     * @param runningTasks number of running tasks in this controller's task counts; 0 if the job
     *     has ended
     * @param timestampMillis the record's timestamp in ms since the epoch, see {@link
     *     io.kelphoist.model.JobRecord}
     * @param revision the state store's revision of the record's last change
     */
    record JobStateView(
            String id,
            JobOwner owner,
            Phase phase,
            int doneTasks,
            int runningTasks,
            long timestampMillis,
            long revision) {}

    /** This request stored the job. */
    record Accepted(JobStateView job) implements AdmissionResult {}

    /**
     * The job is stored: the result of a query or a cancellation, or of a submission that did not
     * store the job as far as this controller knows.
     */
    record Found(JobStateView job) implements AdmissionResult {}

    /** No job with the requested id is stored. */
    record NotFound() implements AdmissionResult {}

    /**
     * The submission is invalid. Repeated unchanged, it would be rejected again, unless a
     * dependency that was missing has been accepted since, or the machine types have changed.
     */
    record Rejected(Reason reason, String message) implements AdmissionResult {
        /** Why a submission was rejected. */
        public enum Reason {
            /** The submission can't be decoded, or is too large to be stored. */
            MALFORMED,
            /** The job could never run in this cluster. */
            UNSATISFIABLE
        }
    }

    /** The request was deferred: the user should repeat it, unchanged, after a delay. */
    record RetryLater(DeferralReason reason, int retryAfterSeconds) implements AdmissionResult {}

    /**
     * Why a request was deferred. The names of the constants, in lower case, are values of the tag
     * {@code cause} of the metric {@code kelphoist.requests.put.off}.
     */
    enum DeferralReason {
        /** This controller has not loaded the machine types yet. */
        TYPES_UNKNOWN,
        /**
         * The state of the job or of a job that it depends on is unknown: the record can't be read
         * from the state store at this time, what was read may be outdated, or this version can't
         * decode it.
         */
        UNSURE,
        /** The write was not executed by the state store, or its outcome is unknown. */
        NOT_STORED,
        /** The controller is overloaded. */
        BUSY
    }
}
