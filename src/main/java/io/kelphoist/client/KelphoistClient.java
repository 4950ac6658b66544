package io.kelphoist.client;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.Duration;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.rpc.RetryInfo;
import io.grpc.ChannelCredentials;
import io.grpc.Context;
import io.grpc.Grpc;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.protobuf.StatusProto;
import io.kelphoist.grpc.v1.CancelRequest;
import io.kelphoist.grpc.v1.GetRequest;
import io.kelphoist.grpc.v1.Job;
import io.kelphoist.grpc.v1.JobState;
import io.kelphoist.grpc.v1.SchedulerGrpc;
import io.kelphoist.grpc.v1.SubmitRequest;
import io.kelphoist.grpc.v1.SubmitResponse;
import io.kelphoist.grpc.v1.WatchRequest;
import io.kelphoist.grpc.v1.WatchResponse;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Submits and watches jobs at any controller of a deployment. A failed call is retried at the next
 * controller after a delay with jitter, and a stream resumes from its last cursor. Retries are
 * safe: a submission is identified by its job's id, and a stream that resumes from a cursor does
 * not report final events again that precede the cursor.
 *
 * <p>Owns its channels; close it after use. Calls block. Not thread-safe.
 */
public final class KelphoistClient implements AutoCloseable {
    /** Waits between attempts; can be replaced in tests. */
    interface Sleeper {
        void sleep(double seconds) throws InterruptedException;
    }

    private static final Metadata.Key<byte[]> CURSOR_TRAILER =
            Metadata.Key.of("kelphoist-cursor-bin", Metadata.BINARY_BYTE_MARSHALLER);
    private static final Set<Status.Code> RETRYABLE_CODES =
            Set.of(
                    Status.Code.UNAVAILABLE,
                    Status.Code.RESOURCE_EXHAUSTED,
                    Status.Code.DEADLINE_EXCEEDED);
    private static final int CALL_TIMEOUT_SECONDS = 10;
    private static final int KEEP_ALIVE_SECONDS = 30;
    private static final int DEFAULT_MAX_ATTEMPTS = 20;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double SECONDS_PER_NANO = 1e-9;

    private final List<ManagedChannel> channels = new ArrayList<>();
    private final int maxAttempts;
    private final Sleeper sleeper;
    private int channelIndex;

    /**
     * Creates a client without TLS.
     *
     * @param controllers addresses of controllers as host:port
     */
    public KelphoistClient(List<String> controllers) {
        this(controllers, InsecureChannelCredentials.create(), DEFAULT_MAX_ATTEMPTS);
    }

    /**
     * Creates a client.
     *
     * @param controllers addresses of controllers as host:port
     * @param maxAttempts the maximum number of attempts of one call; for a stream, they are counted
     *     since its last message
     */
    public KelphoistClient(
            List<String> controllers, ChannelCredentials credentials, int maxAttempts) {
        this(
                controllers,
                credentials,
                maxAttempts,
                seconds -> Thread.sleep((long) (seconds * MILLIS_PER_SECOND)));
    }

    KelphoistClient(
            List<String> controllers,
            ChannelCredentials credentials,
            int maxAttempts,
            Sleeper sleeper) {
        this.maxAttempts = maxAttempts;
        this.sleeper = sleeper;
        for (String controller : controllers) {
            channels.add(
                    Grpc.newChannelBuilder(controller, credentials)
                            .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                            .build());
        }
    }

    /** Returns the delay that a status requests before a retry, in seconds; 0 if it has none. */
    static double requestedDelaySeconds(StatusRuntimeException e) {
        com.google.rpc.Status status = StatusProto.fromThrowable(e);
        if (status == null) {
            return 0;
        }
        for (Any detail : status.getDetailsList()) {
            if (detail.is(RetryInfo.class)) {
                return retryDelaySeconds(detail);
            }
        }
        return 0;
    }

    private static double retryDelaySeconds(Any retryInfo) {
        try {
            Duration delay = retryInfo.unpack(RetryInfo.class).getRetryDelay();
            return delay.getSeconds() + delay.getNanos() * SECONDS_PER_NANO;
        } catch (InvalidProtocolBufferException e) {
            return 0;
        }
    }

    private SchedulerGrpc.SchedulerBlockingStub stub() {
        return SchedulerGrpc.newBlockingStub(channels.get(channelIndex % channels.size()));
    }

    private <R> R call(Function<SchedulerGrpc.SchedulerBlockingStub, R> rpc)
            throws InterruptedException {
        RetryBackoff backoff = new RetryBackoff();
        while (true) {
            try {
                return rpc.apply(stub().withDeadlineAfter(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS));
            } catch (StatusRuntimeException e) {
                retryOrThrow(e, backoff);
            }
        }
    }

    /**
     * Waits before the next attempt, which is made at the next controller. Throws the error if it
     * can't be retried or no attempt is left.
     */
    private void retryOrThrow(StatusRuntimeException e, RetryBackoff backoff)
            throws InterruptedException {
        if (!RETRYABLE_CODES.contains(e.getStatus().getCode())
                || backoff.failureCount() + 1 >= maxAttempts) {
            throw e;
        }
        channelIndex++;
        sleeper.sleep(backoff.nextDelaySeconds(requestedDelaySeconds(e)));
    }

    /**
     * Submits a job. Submitting a stored job again changes nothing, and the response has its
     * current state.
     *
     * @throws StatusRuntimeException if the job was rejected or all attempts failed
     */
    public SubmitResponse submit(Job job) throws InterruptedException {
        return call(stub -> stub.submit(SubmitRequest.newBuilder().setJob(job).build()));
    }

    /**
     * Returns the state of a job.
     *
     * @throws StatusRuntimeException if there is no such job or all attempts failed
     */
    public JobState get(String jobId) throws InterruptedException {
        return call(stub -> stub.get(GetRequest.newBuilder().setId(jobId).build()));
    }

    /**
     * Cancels a job and returns its state; a job that has ended keeps its state.
     *
     * @throws StatusRuntimeException if there is no such job or all attempts failed
     */
    public JobState cancel(String jobId) throws InterruptedException {
        return call(stub -> stub.cancel(CancelRequest.newBuilder().setId(jobId).build()));
    }

    /**
     * Watches jobs until all that the request names have ended, or the handler stops. If the
     * request names no jobs, only the handler ends the watch.
     *
     * @param request the jobs to watch, and optionally the cursor to resume from. A program that
     *     stores the cursor of each message together with the result of handling it receives the
     *     final event of each job exactly once, even if it crashes and restarts
     * @param handler receives the messages on the calling thread; returns false to stop
     * @throws StatusRuntimeException if the request was rejected or all attempts failed
     */
    public void watch(WatchRequest request, Predicate<WatchResponse> handler)
            throws InterruptedException {
        RetryBackoff backoff = new RetryBackoff();
        CursorTracker tracker = new CursorTracker(request.getCursor(), handler, backoff);
        while (true) {
            try {
                watchOnce(request.toBuilder().setCursor(tracker.cursor).build(), tracker);
                return;
            } catch (StatusRuntimeException e) {
                tracker.onFailure(e);
                retryOrThrow(e, backoff);
            }
        }
    }

    /** Reads one stream until it ends or the handler stops. */
    private void watchOnce(WatchRequest request, Predicate<WatchResponse> handler) {
        try (Context.CancellableContext callContext = Context.current().withCancellation()) {
            Context previousContext = callContext.attach();
            try {
                Iterator<WatchResponse> responses = stub().watch(request);
                while (responses.hasNext()) {
                    if (!handler.test(responses.next())) {
                        return;
                    }
                }
            } finally {
                callContext.detach(previousContext);
            }
        }
    }

    /** Tracks the cursor from which a stream resumes, and passes its messages to the handler. */
    private static final class CursorTracker implements Predicate<WatchResponse> {
        private final Predicate<WatchResponse> handler;
        private final RetryBackoff backoff;
        private ByteString cursor;

        CursorTracker(ByteString cursor, Predicate<WatchResponse> handler, RetryBackoff backoff) {
            this.cursor = cursor;
            this.handler = handler;
            this.backoff = backoff;
        }

        @Override
        public boolean test(WatchResponse response) {
            backoff.onSuccess();
            cursor = response.getCursor();
            return handler.test(response);
        }

        /** Takes the cursor from the trailers of a failed stream, as it may be newer. */
        void onFailure(StatusRuntimeException e) {
            byte[] trailerCursor =
                    e.getTrailers() == null ? null : e.getTrailers().get(CURSOR_TRAILER);
            if (trailerCursor != null) {
                cursor = ByteString.copyFrom(trailerCursor);
            }
        }
    }

    /** Cancels all calls and closes the channels. */
    @Override
    public void close() {
        channels.forEach(ManagedChannel::shutdownNow);
    }
}
