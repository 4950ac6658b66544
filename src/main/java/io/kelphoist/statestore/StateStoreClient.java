package io.kelphoist.statestore;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreRequests;
import io.kelphoist.statestore.protocol.StateStoreResponses;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StateStoreResult.NotExecutedCause;
import io.kelphoist.statestore.protocol.StoredChanges;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.statestore.protocol.VersionCondition;
import io.kelphoist.wire.HttpHostClient;
import io.kelphoist.wire.HttpRequest;
import io.kelphoist.wire.MalformedMessageException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Client of the state store, the consensus-backed key-value store.
 *
 * <p>All requests are charged to this controller's share of the store's rate limit; urgent requests
 * and watch requests are sent at once even if they exceed it. Owns the rate limiter and the time
 * since which requests have been failing. Methods and callbacks run on the event loop.
 *
 * <p>A request fails if it gets no response, a malformed one, status {@link
 * StateStoreResponses#SERVICE_UNAVAILABLE} or a status that the protocol does not have. A request
 * that is rejected by a rate limit, the store's or this client's, neither fails nor ends a series
 * of failures.
 */
public final class StateStoreClient implements StateStoreWatcher, StateStoreWriter {
    private static final int REQUEST_TIMEOUT_MILLIS = 1500;

    /**
     * Added to the hold time of a watch request to obtain its timeout. The hold time is the maximum
     * time that the store holds the request before it responds.
     */
    private static final int WATCH_TIMEOUT_MARGIN_MILLIS = 3000;

    /** Burst size: as many requests as the rate limit allows in this time may be sent at once. */
    private static final double REQUEST_BURST_SECONDS = 0.8;

    /**
     * A request that would have to wait longer than this for the rate limit is rejected. Checked
     * anew at each attempt, so that a request may wait longer in total: a request that waits does
     * not reserve a rate-limit token, and others may take it.
     */
    private static final double MAX_RATE_LIMIT_WAIT_SECONDS = 2.0;

    /**
     * Added to the computed wait of a request that exceeds the rate limit, so that a rate-limit
     * token is available when the request is tried again, unless another request has taken it.
     */
    private static final double RATE_LIMIT_RETRY_MARGIN_SECONDS = 0.005;

    /**
     * Only urgent and watch requests are sent for this long after the store rejected a request for
     * exceeding its rate limit.
     */
    private static final double RATE_LIMITED_PAUSE_SECONDS = 0.1;

    /**
     * When a request fails, requests are assumed to have been failing since that time, but since
     * this long after the last usable response at the latest, because a failure may be noticed
     * late, for example only when a request times out.
     */
    private static final double MAX_SECONDS_FROM_RESPONSE_TO_FAILURE = 1;

    private final HttpHostClient client;
    private final HttpHostClient urgentClient;
    private final HttpHostClient watchClient;
    private final EventLoop loop;
    private final TokenBucket requestLimiter;
    private final Consumer<String> onMalformedResponse;

    /**
     * When the last usable response was received, by the event loop's clock: a success or a
     * rejection by the store that could be decoded. Before the first one, when this client was
     * created.
     */
    private double lastUsableResponseAtSeconds;

    /** Since when requests have been failing, by the event loop's clock; NaN if they are not. */
    private double failingSinceSeconds = Double.NaN;

    /**
     * Creates a client.
     *
     * @param client connections for requests that may wait
     * @param urgentClient connections for requests that must not wait behind others: for leases,
     *     writes and leadership keys
     * @param watchClient connections for watch requests, which the store holds
     * @param requestsPerSecond this controller's share of the store's rate limit
     * @param onMalformedResponse receives the log fields of each response that can't be decoded;
     *     the outcome of its request is unknown
     */
    public StateStoreClient(
            HttpHostClient client,
            HttpHostClient urgentClient,
            HttpHostClient watchClient,
            EventLoop loop,
            double requestsPerSecond,
            Consumer<String> onMalformedResponse) {
        this.onMalformedResponse = onMalformedResponse;
        this.client = client;
        this.urgentClient = urgentClient;
        this.watchClient = watchClient;
        this.loop = loop;
        this.requestLimiter = new TokenBucket(requestsPerSecond, REQUEST_BURST_SECONDS);
        this.lastUsableResponseAtSeconds = loop.nowSeconds();
    }

    /**
     * Returns for how many seconds requests have been failing; 0 if none has failed since the last
     * usable response.
     */
    public double failingForSeconds() {
        return Double.isNaN(failingSinceSeconds) ? 0 : loop.nowSeconds() - failingSinceSeconds;
    }

    @Override
    public void get(String key, Consumer<StateStoreResult<StoredRecord>> callback) {
        send(
                StateStoreRequests.get(key),
                /* urgent= */ false,
                StateStoreResponses.record(key),
                callback);
    }

    /**
     * Reads the records page by page, with one request for each page. The result is empty if any of
     * the requests fails.
     */
    @Override
    public void readAll(String prefix, Consumer<Optional<StateSnapshot>> callback) {
        readSnapshot(prefix, /* urgent= */ false, callback);
    }

    /** As {@link #readAll}, but with urgent requests, for reads on which an election waits. */
    public void readAllUrgently(String prefix, Consumer<Optional<StateSnapshot>> callback) {
        readSnapshot(prefix, /* urgent= */ true, callback);
    }

    private void readSnapshot(
            String prefix, boolean urgent, Consumer<Optional<StateSnapshot>> callback) {
        SnapshotRead.PageSource pages =
                (afterKey, onPage) ->
                        send(
                                StateStoreRequests.page(prefix, afterKey),
                                urgent,
                                StateStoreResponses.page(),
                                onPage);
        new SnapshotRead(pages, callback).start();
    }

    @Override
    public void commit(
            List<VersionCondition> conditions,
            List<RecordMutation> mutations,
            Consumer<StateStoreResult<Long>> callback) {
        send(
                StateStoreRequests.transaction(conditions, mutations),
                /* urgent= */ true,
                StateStoreResponses.revision(),
                callback);
    }

    /**
     * Creates a lease. The callback receives the lease id.
     *
     * @param timeToLiveMillis time after which the lease expires unless it is renewed
     */
    public void createLease(long timeToLiveMillis, Consumer<StateStoreResult<Long>> callback) {
        send(
                StateStoreRequests.createLease(timeToLiveMillis),
                /* urgent= */ true,
                StateStoreResponses.createdLeaseId(),
                callback);
    }

    /** Renews a lease. The result is rejected as {@code NOT_FOUND} if the lease has expired. */
    public void renewLease(long leaseId, Consumer<StateStoreResult<Long>> callback) {
        send(
                StateStoreRequests.renewLease(leaseId),
                /* urgent= */ true,
                StateStoreResponses.requestedLeaseId(leaseId),
                callback);
    }

    /** Revokes a lease without waiting for the outcome. */
    public void revokeLease(long leaseId) {
        revokeLease(leaseId, () -> {});
    }

    /**
     * Revokes a lease and calls back when the request has ended, whether it succeeded or failed.
     */
    public void revokeLease(long leaseId, Runnable onCompleted) {
        send(
                StateStoreRequests.revokeLease(leaseId),
                /* urgent= */ true,
                StateStoreResponses.requestedLeaseId(leaseId),
                result -> onCompleted.run());
    }

    @Override
    public void changesSince(
            String prefix, long afterRevision, Consumer<StateStoreResult<StoredChanges>> callback) {
        send(
                StateStoreRequests.changes(prefix, afterRevision),
                /* urgent= */ false,
                StateStoreResponses.changes(),
                callback);
    }

    @Override
    public void awaitChanges(
            String prefix,
            long afterRevision,
            int holdMillis,
            Consumer<StateStoreResult<StoredChanges>> callback) {
        requestLimiter.acquireUnconditionally(1, loop.nowSeconds());
        watchClient.call(
                StateStoreRequests.watch(prefix, afterRevision, holdMillis),
                holdMillis + WATCH_TIMEOUT_MARGIN_MILLIS,
                result -> callback.accept(toResult(result, StateStoreResponses.changes())));
    }

    private <T> void send(
            HttpRequest request,
            boolean urgent,
            StateStoreResponses.Decoder<T> decoder,
            Consumer<StateStoreResult<T>> callback) {
        double nowSeconds = loop.nowSeconds();
        if (urgent) {
            requestLimiter.acquireUnconditionally(1, nowSeconds);
        } else if (!requestLimiter.tryAcquire(1, nowSeconds)) {
            defer(request, decoder, callback, nowSeconds);
            return;
        }
        (urgent ? urgentClient : client)
                .call(
                        request,
                        REQUEST_TIMEOUT_MILLIS,
                        result -> callback.accept(toResult(result, decoder)));
    }

    /**
     * Handles a request that exceeds the rate limit at this time: tries it again when a token is
     * expected to be available, or rejects it if that is more than {@link
     * #MAX_RATE_LIMIT_WAIT_SECONDS} away.
     */
    private <T> void defer(
            HttpRequest request,
            StateStoreResponses.Decoder<T> decoder,
            Consumer<StateStoreResult<T>> callback,
            double nowSeconds) {
        double waitSeconds = requestLimiter.secondsUntilAvailable(1, nowSeconds);
        if (waitSeconds > MAX_RATE_LIMIT_WAIT_SECONDS) {
            callback.accept(new StateStoreResult.NotExecuted<>(NotExecutedCause.RATE_LIMITED));
            return;
        }
        loop.schedule(
                waitSeconds + RATE_LIMIT_RETRY_MARGIN_SECONDS,
                () -> send(request, /* urgent= */ false, decoder, callback));
    }

    private <T> StateStoreResult<T> toResult(
            HttpHostClient.CallResult result, StateStoreResponses.Decoder<T> decoder) {
        if (result instanceof HttpHostClient.Response response) {
            return toResult(response, decoder);
        }
        recordFailure();
        return result instanceof HttpHostClient.NotSent
                ? new StateStoreResult.NotExecuted<>(NotExecutedCause.STORE_UNAVAILABLE)
                : new StateStoreResult.OutcomeUnknown<>();
    }

    private <T> StateStoreResult<T> toResult(
            HttpHostClient.Response response, StateStoreResponses.Decoder<T> decoder) {
        return switch (response.status()) {
            case StateStoreResponses.OK,
                    StateStoreResponses.BAD_REQUEST,
                    StateStoreResponses.NOT_FOUND,
                    StateStoreResponses.CONFLICT,
                    StateStoreResponses.GONE ->
                    decodeResponse(response, decoder);
            case StateStoreResponses.TOO_MANY_REQUESTS -> {
                requestLimiter.blockFor(RATE_LIMITED_PAUSE_SECONDS, loop.nowSeconds());
                yield new StateStoreResult.NotExecuted<>(NotExecutedCause.RATE_LIMITED);
            }
            case StateStoreResponses.SERVICE_UNAVAILABLE -> {
                recordFailure();
                yield new StateStoreResult.NotExecuted<>(NotExecutedCause.STORE_UNAVAILABLE);
            }
            default -> {
                recordFailure();
                yield new StateStoreResult.OutcomeUnknown<>();
            }
        };
    }

    private <T> StateStoreResult<T> decodeResponse(
            HttpHostClient.Response response, StateStoreResponses.Decoder<T> decoder) {
        try {
            StateStoreResult<T> result =
                    StateStoreResponses.decodeResponse(response.status(), response.body(), decoder);
            lastUsableResponseAtSeconds = loop.nowSeconds();
            failingSinceSeconds = Double.NaN;
            return result;
        } catch (MalformedMessageException e) {
            onMalformedResponse.accept(
                    "system=stateStore status=" + response.status() + " error=" + e.getMessage());
            recordFailure();
            return new StateStoreResult.OutcomeUnknown<>();
        }
    }

    private void recordFailure() {
        if (Double.isNaN(failingSinceSeconds)) {
            failingSinceSeconds =
                    Math.min(
                            loop.nowSeconds(),
                            lastUsableResponseAtSeconds + MAX_SECONDS_FROM_RESPONSE_TO_FAILURE);
        }
    }
}
