package io.kelphoist.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.JobSpec;

/**
 * A submission of which the job id was decoded. The other fields are decoded separately, so that a
 * malformed submission can still be recognized as the repetition of an earlier one.
 */
public final class JobSubmission {
    private final ObjectNode message;
    private final String jobId;

    private JobSubmission(ObjectNode message, String jobId) {
        this.message = message;
        this.jobId = jobId;
    }

    /**
     * Decodes a submission's job id.
     *
     * @param body the submission in CBOR
     * @throws MalformedMessageException if the body is not a message or has no valid job id
     */
    public static JobSubmission decode(byte[] body) throws MalformedMessageException {
        ObjectNode message = MessageEncoding.decodeCbor(body);
        return new JobSubmission(message, JobCodec.decodeJobId(message));
    }

    /** Returns the job id. */
    public String jobId() {
        return jobId;
    }

    /**
     * Decodes all fields of the job.
     *
     * @throws MalformedMessageException if a field is missing or invalid
     */
    public JobSpec decodeJob() throws MalformedMessageException {
        return JobCodec.decodeJob(message);
    }
}
