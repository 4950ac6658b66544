package io.kelphoist.admission;

import io.kelphoist.model.JobOwner;

/** The result of a user's request; front ends translate it into their response. */
public sealed interface AdmissionResult {
    /** A job's phase as users see it. */
    enum Phase {
        /** Accepted, and no task is known to run. */
        QUEUED,
        /** At least one task runs. */
        RUNNING,
        DONE,
        CANCELLED;

        /** Whether a job in this phase never changes again. */
        public boolean isFinal() {
            return this == DONE || this == CANCELLED;
        }
    }

    /**
     * A job's state.
     *
     * @param owner null if the record does not have it, see {@link io.kelphoist.model.JobRecord}
     * @param doneTasks tasks that are done, as far as this controller knows
     * @param runningTasks tasks that run, as far as this controller knows
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

    /** The job was stored by this request. */
    record Accepted(JobStateView job) implements AdmissionResult {}

    /** The job was stored already, or the request was not a submission. */
    record Found(JobStateView job) implements AdmissionResult {}

    /** There is no such job. */
    record NotFound() implements AdmissionResult {}

    /** The submission will never be accepted as it is. */
    record Rejected(Reason reason, String message) implements AdmissionResult {
        /** The kind of fault. */
        public enum Reason {
            /** The submission can't be decoded, or is too large to be stored. */
            MALFORMED,
            /** The job could never run in this cluster. */
            UNSATISFIABLE
        }
    }

    /** The request was deferred: the same request may be made again after a delay. */
    record RetryLater(DeferralReason reason, int retryAfterSeconds) implements AdmissionResult {}

    /**
     * Why a request was deferred. The constants' names are values of the tag {@code cause} of the
     * metric {@code kelphoist.requests.put.off}, in lower case.
     */
    enum DeferralReason {
        /** The machine types have not been read yet. */
        TYPES_UNKNOWN,
        /** The state store is unavailable, or this version can't decode the record. */
        UNSURE,
        /** The state store did not execute the write, or its outcome is unknown. */
        NOT_STORED,
        /** The controller is overloaded. */
        BUSY
    }
}
