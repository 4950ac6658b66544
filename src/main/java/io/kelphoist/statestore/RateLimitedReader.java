package io.kelphoist.statestore;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StateStoreResult.NotExecutedCause;
import io.kelphoist.statestore.protocol.StoredChanges;
import io.kelphoist.statestore.protocol.StoredRecord;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Limits the rate of reads for users' requests to a share of the state store's rate limit, so that
 * the rest of it is left for reads for record replication, for elections and by the leader, which
 * are not to wait behind users' reads. A read that would have to wait too long is rejected at once.
 * {@link #changesSince} is charged to the share, but neither delayed nor rejected.
 *
 * <p>Owns the rate limit of users' reads. Runs on the event loop.
 */
public final class RateLimitedReader implements StateStoreReader {
    /** Users wait 2 s for a response, of which the wait for the rate limit may take only a part. */
    private static final double MAX_WAIT_SECONDS = 0.5;

    /** Burst size: as many reads as the rate limit allows in this time may be sent at once. */
    private static final double BURST_SECONDS = 0.5;

    private final StateStoreReader reader;
    private final EventLoop loop;
    private final TokenBucket requestLimiter;

    /**
     * Creates a reader that limits the rate of the reads that it forwards.
     *
     * @param requestsPerSecond maximum number of reads per second
     */
    public RateLimitedReader(StateStoreReader reader, EventLoop loop, double requestsPerSecond) {
        this.reader = reader;
        this.loop = loop;
        this.requestLimiter = new TokenBucket(requestsPerSecond, BURST_SECONDS);
    }

    @Override
    public void get(String key, Consumer<StateStoreResult<StoredRecord>> callback) {
        runWithinLimit(
                () -> reader.get(key, callback),
                () ->
                        callback.accept(
                                new StateStoreResult.NotExecuted<>(NotExecutedCause.RATE_LIMITED)));
    }

    @Override
    public void readAll(String prefix, Consumer<Optional<StateSnapshot>> callback) {
        runWithinLimit(
                () -> reader.readAll(prefix, callback), () -> callback.accept(Optional.empty()));
    }

    @Override
    public void changesSince(
            String prefix, long afterRevision, Consumer<StateStoreResult<StoredChanges>> callback) {
        // One request serves all users who wait at the time. So the number of these requests is
        // bounded without a rate limit, and a rejection would fail the queries of all these users.
        requestLimiter.acquireUnconditionally(1, loop.nowSeconds());
        reader.changesSince(prefix, afterRevision, callback);
    }

    /**
     * Runs a read now or when the rate limit allows it; rejects it at once if it would have to wait
     * longer than {@link #MAX_WAIT_SECONDS}. Reads run in the order of the calls, since a read that
     * waits has taken its rate-limit token already.
     */
    private void runWithinLimit(Runnable read, Runnable onRejected) {
        double nowSeconds = loop.nowSeconds();
        double waitSeconds = requestLimiter.secondsUntilAvailable(1, nowSeconds);
        if (waitSeconds > MAX_WAIT_SECONDS) {
            onRejected.run();
            return;
        }
        requestLimiter.acquireUnconditionally(1, nowSeconds);
        if (waitSeconds <= 0) {
            read.run();
        } else {
            loop.schedule(waitSeconds, read);
        }
    }
}
