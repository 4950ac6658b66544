package io.kelphoist.wire;

/**
 * A job's state in responses to users.
 *
 * @param doneTasks tasks that are done
 * @param runningTasks tasks that run
 */
public record JobStateMessage(String jobId, State state, int doneTasks, int runningTasks) {
    /** A job's state by the words that users know. */
    public enum State {
        /** No task runs. */
        QUEUED("queued"),
        /** At least one task runs. */
        RUNNING("running"),
        /** All tasks are done. */
        DONE("done"),
        /** The job was cancelled. */
        CANCELLED("aborted");

        private final String encodedName;

        State(String word) {
            this.encodedName = word;
        }
    }

    /** Encodes the response to a submission by which the job was stored, in CBOR. */
    public byte[] encodeAccepted() {
        return MessageEncoding.encodeCbor(JobCodec.encodeAccepted(jobId, state.encodedName));
    }

    /** Encodes the response to other requests, in CBOR. */
    public byte[] encode() {
        return MessageEncoding.encodeCbor(
                JobCodec.encodeJobState(jobId, state.encodedName, doneTasks, runningTasks));
    }
}
