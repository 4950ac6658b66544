package io.kelphoist.grpc;

import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ServerCallStreamObserver;
import io.kelphoist.events.Cursor;
import io.kelphoist.events.CursorSigner;
import io.kelphoist.events.EventBroker;
import io.kelphoist.events.JobEvent;
import io.kelphoist.events.Subscriber;
import io.kelphoist.events.Subscription;
import io.kelphoist.events.SubscriptionFilter;
import io.kelphoist.grpc.v1.WatchResponse;
import io.kelphoist.model.JobRecord;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * The stream of one watch call, which is the subscriber of its subscription. Owns whether the call
 * has ended, and the last encoded cursor. Confined to the event thread.
 */
final class WatchStream implements Subscriber {
    private static final double TOO_MANY_STREAMS_RETRY_SECONDS = 5;

    /**
     * The objects that all streams of a server share.
     *
     * @param clockSeconds returns the time of a monotonic clock
     */
    record StreamContext(
            EventBroker eventBroker, CursorSigner cursorSigner, DoubleSupplier clockSeconds) {}

    private final ServerCallStreamObserver<WatchResponse> responseObserver;
    private final ClientAuthorizer.Client client;
    private final StreamContext streamContext;

    /** Null until the subscription is open. */
    private Subscription subscription;

    private boolean ended;

    /**
     * The last cursor that was encoded; null before the first. It is cached because many events in
     * a row have the same cursor, and computing its MAC costs more than the rest of the message.
     */
    private Cursor lastCursor;

    private byte[] lastEncodedCursor;

    private WatchStream(
            ServerCallStreamObserver<WatchResponse> responseObserver,
            ClientAuthorizer.Client client,
            StreamContext streamContext) {
        this.responseObserver = responseObserver;
        this.client = client;
        this.streamContext = streamContext;
    }

    /** Creates the stream of a call and registers its handlers for the call. */
    static WatchStream attach(
            ServerCallStreamObserver<WatchResponse> responseObserver,
            ClientAuthorizer.Client client,
            StreamContext streamContext) {
        WatchStream stream = new WatchStream(responseObserver, client, streamContext);
        responseObserver.setOnReadyHandler(stream::onReady);
        responseObserver.setOnCancelHandler(stream::onCancelled);
        return stream;
    }

    /**
     * Opens the subscription.
     *
     * @param cursor empty to start now
     * @param backend reads the jobs that the filter names, before the subscription is opened
     */
    void open(SubscriptionFilter filter, Optional<Cursor> cursor, SchedulerBackend backend) {
        if (filter instanceof SubscriptionFilter.ByJobIds byJobIds) {
            NamedJobsReader reader =
                    new NamedJobsReader(
                            client, records -> subscribe(filter, cursor, records), this::fail);
            reader.read(byJobIds.jobIds(), backend);
        } else {
            subscribe(filter, cursor, List.of());
        }
    }

    private void subscribe(
            SubscriptionFilter filter, Optional<Cursor> cursor, List<JobRecord> namedJobs) {
        if (ended) {
            return;
        }
        try {
            Subscription opened =
                    streamContext
                            .eventBroker()
                            .subscribe(
                                    filter, cursor, namedJobs, client.name(), this, nowSeconds());
            if (!ended) {
                subscription = opened;
            }
        } catch (EventBroker.TooManyStreamsException e) {
            fail(
                    GrpcStatuses.withRetryDelay(
                            Status.Code.RESOURCE_EXHAUSTED,
                            e.getMessage(),
                            TOO_MANY_STREAMS_RETRY_SECONDS));
        }
    }

    private double nowSeconds() {
        return streamContext.clockSeconds().getAsDouble();
    }

    private void fail(StatusRuntimeException error) {
        if (!ended) {
            ended = true;
            responseObserver.onError(error);
        }
    }

    private void onReady() {
        if (subscription != null) {
            streamContext.eventBroker().onReady(subscription, nowSeconds());
        }
    }

    private void onCancelled() {
        ended = true;
        if (subscription != null) {
            streamContext.eventBroker().onClosed(subscription);
        }
    }

    @Override
    public boolean isReady() {
        return responseObserver.isReady();
    }

    @Override
    public void onEvent(JobEvent event, Cursor cursor) {
        responseObserver.onNext(GrpcMessageCodec.toWatchResponse(event, encode(cursor)));
    }

    @Override
    public void onStoreReachabilityChanged(boolean storeReachable, Cursor cursor) {
        responseObserver.onNext(
                GrpcMessageCodec.toStreamStateResponse(storeReachable, encode(cursor)));
    }

    private byte[] encode(Cursor cursor) {
        if (!cursor.equals(lastCursor)) {
            lastCursor = cursor;
            lastEncodedCursor = streamContext.cursorSigner().encode(cursor);
        }
        return lastEncodedCursor;
    }

    @Override
    public void onEnded(EndReason reason, Cursor cursor) {
        if (reason == EndReason.COMPLETE) {
            ended = true;
            responseObserver.onCompleted();
            return;
        }
        Metadata trailers = new Metadata();
        trailers.put(GrpcStatuses.CURSOR_TRAILER, encode(cursor));
        fail(GrpcStatuses.forEndReason(reason).asRuntimeException(trailers));
    }
}
