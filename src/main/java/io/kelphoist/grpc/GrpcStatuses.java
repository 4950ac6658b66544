package io.kelphoist.grpc;

import com.google.protobuf.Any;
import com.google.protobuf.Duration;
import com.google.rpc.RetryInfo;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.protobuf.StatusProto;
import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.events.Subscriber;

/**
 * Creates the statuses that calls end with. Their descriptions are read by users and are part of
 * the protocol.
 */
final class GrpcStatuses {
    /** The trailer of a stream that the server ended, with the cursor to resume from. */
    static final Metadata.Key<byte[]> CURSOR_TRAILER =
            Metadata.Key.of("kelphoist-cursor-bin", Metadata.BINARY_BYTE_MARSHALLER);

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private GrpcStatuses() {}

    /**
     * Returns the error status for a result that is not a job's state. The result must not be
     * {@code Accepted} or {@code Found}, for which the status would be NOT_FOUND.
     */
    static StatusRuntimeException forResult(AdmissionResult result) {
        if (result instanceof AdmissionResult.Rejected rejected) {
            return forReason(rejected.reason())
                    .withDescription(rejected.message())
                    .asRuntimeException();
        }
        if (result instanceof AdmissionResult.RetryLater retryLater) {
            return withRetryDelay(
                    Status.Code.UNAVAILABLE,
                    describe(retryLater.reason()),
                    retryLater.retryAfterSeconds());
        }
        return Status.NOT_FOUND.withDescription("there is no such job").asRuntimeException();
    }

    private static Status forReason(AdmissionResult.Rejected.Reason reason) {
        return switch (reason) {
            case MALFORMED -> Status.INVALID_ARGUMENT;
            case UNSATISFIABLE -> Status.FAILED_PRECONDITION;
        };
    }

    private static String describe(AdmissionResult.DeferralReason reason) {
        return switch (reason) {
            case TYPES_UNKNOWN -> "the machine types are not known yet";
            case UNSURE -> "the state service can't be asked";
            case NOT_STORED -> "the state service did not take it";
            case BUSY -> "this controller is behind with its work";
        };
    }

    /** Returns the status for a client that may not perform an action. */
    static StatusRuntimeException permissionDenied(ClientAuthorizer.Client client, String action) {
        return Status.PERMISSION_DENIED
                .withDescription(client.name() + " may not " + action)
                .asRuntimeException();
    }

    /** Returns the status of a stream that the server ended. */
    static Status forEndReason(Subscriber.EndReason reason) {
        return switch (reason) {
            case SLOW ->
                    Status.RESOURCE_EXHAUSTED.withDescription(
                            "read too slowly; go on with the cursor");
            case DRAINED ->
                    Status.UNAVAILABLE.withDescription(
                            "this controller stops; go on elsewhere with the cursor");
            case CURSOR_AHEAD ->
                    Status.OUT_OF_RANGE.withDescription(
                            "the cursor is ahead of what is stored: it is of another deployment");
            case COMPLETE -> Status.OK;
        };
    }

    /** Returns a status with the delay after which the client may retry. */
    static StatusRuntimeException withRetryDelay(
            Status.Code code, String description, double retryDelaySeconds) {
        RetryInfo retryInfo =
                RetryInfo.newBuilder().setRetryDelay(toDuration(retryDelaySeconds)).build();
        return StatusProto.toStatusRuntimeException(
                com.google.rpc.Status.newBuilder()
                        .setCode(code.value())
                        .setMessage(description)
                        .addDetails(Any.pack(retryInfo))
                        .build());
    }

    private static Duration toDuration(double seconds) {
        long nanos = (long) (seconds * NANOS_PER_SECOND);
        return Duration.newBuilder()
                .setSeconds(nanos / NANOS_PER_SECOND)
                .setNanos((int) (nanos % NANOS_PER_SECOND))
                .build();
    }
}
