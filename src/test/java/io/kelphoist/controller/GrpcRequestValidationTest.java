package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.health.v1.HealthCheckRequest;
import io.grpc.health.v1.HealthCheckResponse;
import io.grpc.health.v1.HealthGrpc;
import io.kelphoist.grpc.v1.Kind;
import io.kelphoist.grpc.v1.WatchRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Invalid cursors and unknown jobs in requests over gRPC, and the gRPC health check. Guards against
 * a stream that resumes at a wrong position or waits for a job that does not exist.
 */
@Timeout(40)
class GrpcRequestValidationTest extends GrpcFixture {
    /** A cursor is rejected if it was changed, or if it was issued for another subscription. */
    @Test
    void rejectsInvalidCursorsAndUnknownJobs() throws Exception {
        client(0).submit(job("job-91", Kind.KIND_SERVICE, 1));
        RecordedEvents received = new RecordedEvents();
        client(0).watch(watchJobs("job-91"), message -> !received.add(message));
        byte[] changedCursor = received.cursor.toByteArray();
        // One of the bytes 10 to 17, which encode the start revision.
        changedCursor[12] ^= 1;
        assertEquals(
                Status.Code.INVALID_ARGUMENT,
                errorCode(
                        watchJobs("job-91").toBuilder()
                                .setCursor(ByteString.copyFrom(changedCursor))
                                .build()));
        assertEquals(
                Status.Code.INVALID_ARGUMENT,
                errorCode(WatchRequest.newBuilder().setCursor(received.cursor).build()));
        assertEquals(Status.Code.NOT_FOUND, errorCode(watchJobs("job-91", "job-404")));
        assertEquals(Status.Code.NOT_FOUND, errorCode(watchJobs("work")));
        assertEquals(
                Status.Code.NOT_FOUND,
                assertThrows(StatusRuntimeException.class, () -> client(0).get("job-404"))
                        .getStatus()
                        .getCode());
        assertEquals(
                HealthCheckResponse.ServingStatus.SERVING,
                HealthGrpc.newBlockingStub(channel(0))
                        .check(
                                HealthCheckRequest.newBuilder()
                                        .setService("kelphoist.v1.Scheduler")
                                        .build())
                        .getStatus());
    }

    private Status.Code errorCode(WatchRequest request) {
        return assertThrows(StatusRuntimeException.class, () -> stub(0).watch(request).next())
                .getStatus()
                .getCode();
    }
}
