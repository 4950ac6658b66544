package io.kelphoist.wire;

/**
 * A job's state in responses to users.
 *
 * @param doneTasks number of done tasks as far as the controller knows; 0 if the job has ended
 * @param runningTasks number of running tasks as far as the controller knows; 0 if the job has
 *     ended
 */
public record JobStateMessage(String jobId, Phase phase, int doneTasks, int runningTasks) {
    /** A job's phase, with its name in messages. */
    public enum Phase {
        /** No task runs. */
        QUEUED("queued"),
        /** At least one task runs. */
        RUNNING("running"),
        /** All tasks are done; those of a gang are done once one of them is. */
        DONE("done"),
        /** The job was cancelled. */
        CANCELLED("aborted");

        private final String encodedName;

        Phase(String encodedName) {
            this.encodedName = encodedName;
        }
    }

    /** Encodes the CBOR body of the response to a submission that stored the job. */
    public byte[] encodeAccepted() {
        return MessageEncoding.encodeCbor(JobCodec.encodeAccepted(jobId, phase.encodedName));
    }

    /** Encodes the CBOR body of the response to other requests. */
    public byte[] encode() {
        return MessageEncoding.encodeCbor(
                JobCodec.encodeJobState(jobId, phase.encodedName, doneTasks, runningTasks));
    }
}
