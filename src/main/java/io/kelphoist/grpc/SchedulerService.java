package io.kelphoist.grpc;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.events.Cursor;
import io.kelphoist.events.SubscriptionFilter;
import io.kelphoist.grpc.v1.CancelRequest;
import io.kelphoist.grpc.v1.GetRequest;
import io.kelphoist.grpc.v1.JobState;
import io.kelphoist.grpc.v1.SchedulerGrpc;
import io.kelphoist.grpc.v1.SubmitRequest;
import io.kelphoist.grpc.v1.SubmitResponse;
import io.kelphoist.grpc.v1.WatchRequest;
import io.kelphoist.grpc.v1.WatchResponse;
import io.kelphoist.model.JobSpec;
import io.kelphoist.wire.JobCodec;
import io.kelphoist.wire.MalformedMessageException;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Implements the calls of the gRPC service. For a job that the client may not see, the response is
 * the same as for a job that does not exist. All calls run on the event thread.
 */
final class SchedulerService extends SchedulerGrpc.SchedulerImplBase {
    private final SchedulerBackend backend;
    private final WatchStream.StreamContext streamContext;
    private final SubmissionRateLimiter rateLimiter;

    SchedulerService(
            SchedulerBackend backend,
            WatchStream.StreamContext streamContext,
            SubmissionRateLimiter rateLimiter) {
        this.backend = backend;
        this.streamContext = streamContext;
        this.rateLimiter = rateLimiter;
    }

    @Override
    public void submit(SubmitRequest request, StreamObserver<SubmitResponse> responseObserver) {
        JobSpec job;
        try {
            job = GrpcMessageCodec.toJobSpec(request.getJob());
        } catch (MalformedMessageException e) {
            rejectMalformed(request.getJob().getId(), e.getMessage(), responseObserver);
            return;
        }
        ClientAuthorizer.Client client = ClientAuthorizer.CLIENT.get();
        if (!client.isAllowed(job.team())) {
            responseObserver.onError(
                    GrpcStatuses.permissionDenied(client, "submit for " + job.team()));
            return;
        }
        double nowSeconds = streamContext.clockSeconds().getAsDouble();
        OptionalDouble retryDelaySeconds = rateLimiter.tryAcquire(job.team(), nowSeconds);
        if (retryDelaySeconds.isPresent()) {
            responseObserver.onError(
                    GrpcStatuses.withRetryDelay(
                            Status.Code.RESOURCE_EXHAUSTED,
                            "too many submissions of " + job.team(),
                            retryDelaySeconds.getAsDouble()));
            return;
        }
        backend.submit(job, result -> respondToSubmission(result, responseObserver));
    }

    /**
     * Responds to a malformed submission: with the state of the stored job of this id, or a
     * rejection. A client that may not see the stored job gets the rejection.
     */
    private void rejectMalformed(
            String jobId, String reason, StreamObserver<SubmitResponse> responseObserver) {
        AdmissionResult rejected =
                new AdmissionResult.Rejected(AdmissionResult.Rejected.Reason.MALFORMED, reason);
        if (!JobCodec.isJobId(jobId)) {
            fail(responseObserver, GrpcStatuses.forResult(rejected));
            return;
        }
        ClientAuthorizer.Client client = ClientAuthorizer.CLIENT.get();
        backend.rejectMalformed(
                jobId,
                reason,
                result ->
                        respondToSubmission(
                                client.mustNotSee(result) ? rejected : result, responseObserver));
    }

    private static void respondToSubmission(
            AdmissionResult result, StreamObserver<SubmitResponse> responseObserver) {
        if (result instanceof AdmissionResult.Accepted accepted) {
            complete(responseObserver, GrpcMessageCodec.toCreatedResponse(accepted.job()));
        } else if (result instanceof AdmissionResult.Found found) {
            complete(responseObserver, GrpcMessageCodec.toExistingResponse(found.job()));
        } else {
            fail(responseObserver, GrpcStatuses.forResult(result));
        }
    }

    @Override
    public void get(GetRequest request, StreamObserver<JobState> responseObserver) {
        ClientAuthorizer.Client client = ClientAuthorizer.CLIENT.get();
        backend.query(
                request.getId(), result -> respondWithState(result, client, responseObserver));
    }

    /** Reads the job first, because whether the client may cancel it depends on the job's owner. */
    @Override
    public void cancel(CancelRequest request, StreamObserver<JobState> responseObserver) {
        ClientAuthorizer.Client client = ClientAuthorizer.CLIENT.get();
        backend.query(
                request.getId(),
                result -> {
                    if (client.visibleResult(result) instanceof AdmissionResult.Found found
                            && !found.job().phase().isFinal()) {
                        backend.cancel(
                                request.getId(),
                                cancelled -> respondWithState(cancelled, client, responseObserver));
                    } else {
                        respondWithState(result, client, responseObserver);
                    }
                });
    }

    private static void respondWithState(
            AdmissionResult result,
            ClientAuthorizer.Client client,
            StreamObserver<JobState> responseObserver) {
        AdmissionResult visible = client.visibleResult(result);
        if (visible instanceof AdmissionResult.Found found) {
            complete(responseObserver, GrpcMessageCodec.toJobState(found.job()));
        } else {
            fail(responseObserver, GrpcStatuses.forResult(visible));
        }
    }

    private static <T> void complete(StreamObserver<T> responseObserver, T response) {
        if (!isCancelled(responseObserver)) {
            responseObserver.onNext(response);
            responseObserver.onCompleted();
        }
    }

    private static void fail(StreamObserver<?> responseObserver, StatusRuntimeException error) {
        if (!isCancelled(responseObserver)) {
            responseObserver.onError(error);
        }
    }

    private static boolean isCancelled(StreamObserver<?> responseObserver) {
        return ((ServerCallStreamObserver<?>) responseObserver).isCancelled();
    }

    @Override
    public void watch(WatchRequest request, StreamObserver<WatchResponse> responseObserver) {
        ClientAuthorizer.Client client = ClientAuthorizer.CLIENT.get();
        SubscriptionFilter filter;
        Optional<Cursor> cursor;
        try {
            filter = WatchRequestParser.parseFilter(request, client);
            cursor = WatchRequestParser.parseCursor(request, filter, streamContext.cursorSigner());
        } catch (StatusRuntimeException e) {
            responseObserver.onError(e);
            return;
        }
        ServerCallStreamObserver<WatchResponse> call =
                (ServerCallStreamObserver<WatchResponse>) responseObserver;
        WatchStream.attach(call, client, streamContext).open(filter, cursor, backend);
    }
}
