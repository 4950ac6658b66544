package io.kelphoist.api;

import io.kelphoist.admission.Admission;
import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.model.JobSpec;
import io.kelphoist.wire.HttpExchanges;
import io.kelphoist.wire.JobStateMessage;
import io.kelphoist.wire.JobSubmission;
import io.kelphoist.wire.MalformedMessageException;
import io.undertow.server.HttpServerExchange;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP API for users: passes requests to {@link Admission} and translates its results into HTTP
 * statuses and bodies. Methods are called on the event loop; a response may be sent after the call
 * has returned.
 */
public final class HttpJobApi {
    private static final Logger LOG = LoggerFactory.getLogger(HttpJobApi.class);
    private static final int HTTP_OK = 200;
    private static final int HTTP_CREATED = 201;
    private static final int HTTP_BAD_REQUEST = 400;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_UNPROCESSABLE = 422;

    private final Admission admission;

    /** Creates the API of one controller. */
    public HttpJobApi(Admission admission) {
        this.admission = admission;
    }

    /**
     * Handles the submission of a job.
     *
     * @param body the job in CBOR
     */
    public void submit(HttpServerExchange exchange, byte[] body) {
        JobSubmission submission;
        try {
            submission = JobSubmission.decode(body);
        } catch (MalformedMessageException e) {
            LOG.debug("malformed submission: error={}", e.getMessage());
            HttpExchanges.sendError(exchange, HTTP_BAD_REQUEST, e.getMessage());
            return;
        }
        submit(exchange, submission);
    }

    private void submit(HttpServerExchange exchange, JobSubmission submission) {
        JobSpec job;
        try {
            job = submission.decodeJob();
        } catch (MalformedMessageException e) {
            LOG.debug("malformed submission: job={} error={}", submission.jobId(), e.getMessage());
            admission.rejectMalformed(
                    submission.jobId(), e.getMessage(), result -> respond(exchange, result));
            return;
        }
        admission.submit(job, result -> respond(exchange, result));
    }

    /** Handles a query for a job's state. */
    public void query(HttpServerExchange exchange, String jobId) {
        admission.query(jobId, result -> respond(exchange, result));
    }

    /** Handles the cancellation of a job. */
    public void cancel(HttpServerExchange exchange, String jobId) {
        admission.cancel(jobId, result -> respond(exchange, result));
    }

    private static void respond(HttpServerExchange exchange, AdmissionResult result) {
        if (result instanceof AdmissionResult.Accepted accepted) {
            HttpExchanges.sendCbor(
                    exchange, HTTP_CREATED, toMessage(accepted.job()).encodeAccepted());
        } else if (result instanceof AdmissionResult.Found found) {
            HttpExchanges.sendCbor(exchange, HTTP_OK, toMessage(found.job()).encode());
        } else if (result instanceof AdmissionResult.NotFound) {
            HttpExchanges.sendStatus(exchange, HTTP_NOT_FOUND);
        } else if (result instanceof AdmissionResult.Rejected rejected) {
            HttpExchanges.sendError(exchange, status(rejected.reason()), rejected.message());
        } else if (result instanceof AdmissionResult.RetryLater retryLater) {
            HttpExchanges.sendRetryLater(exchange, retryLater.retryAfterSeconds());
        }
    }

    private static JobStateMessage toMessage(AdmissionResult.JobStateView job) {
        JobStateMessage.Phase phase =
                switch (job.phase()) {
                    case QUEUED -> JobStateMessage.Phase.QUEUED;
                    case RUNNING -> JobStateMessage.Phase.RUNNING;
                    case DONE -> JobStateMessage.Phase.DONE;
                    case CANCELLED -> JobStateMessage.Phase.CANCELLED;
                };
        return new JobStateMessage(job.id(), phase, job.doneTasks(), job.runningTasks());
    }

    private static int status(AdmissionResult.Rejected.Reason reason) {
        return switch (reason) {
            case MALFORMED -> HTTP_BAD_REQUEST;
            case UNSATISFIABLE -> HTTP_UNPROCESSABLE;
        };
    }
}
