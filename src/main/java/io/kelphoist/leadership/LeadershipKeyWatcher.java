package io.kelphoist.leadership;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.statestore.StateStoreClient;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredChanges;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Follows the leadership keys. A change reported by the watch only triggers a read of both keys, so
 * that the listener always receives both as of one revision, and never as of an older revision than
 * before. Owns the revision of the watch and the newest revision of the keys. Runs on the event
 * loop.
 */
final class LeadershipKeyWatcher {
    /** How long the state store may hold a watch request while nothing changes. */
    private static final int WATCH_HOLD_MILLIS = 8000;

    private static final double RETRY_SECONDS = 0.25;
    private static final long NO_WATCH_REVISION = -1;
    private static final long NO_KEYS_REVISION = -1;

    private final StateStoreClient stateClient;
    private final EventLoop eventLoop;
    private final Consumer<LeadershipKeys> listener;
    private long watchRevision = NO_WATCH_REVISION;
    private long newestKeysRevision = NO_KEYS_REVISION;
    private boolean readPending;
    private double lastReadAtSeconds = Double.NEGATIVE_INFINITY;

    LeadershipKeyWatcher(
            StateStoreClient stateClient, EventLoop eventLoop, Consumer<LeadershipKeys> listener) {
        this.stateClient = stateClient;
        this.eventLoop = eventLoop;
        this.listener = listener;
    }

    /** Whether the keys were read successfully within the last {@code seconds}. */
    boolean hasReadWithin(double seconds, double nowSeconds) {
        return nowSeconds - lastReadAtSeconds < seconds;
    }

    /**
     * This controller wrote the keys at a revision: from now on the listener receives no keys as of
     * an older one.
     */
    void onWritten(long revision) {
        newestKeysRevision = Math.max(newestKeysRevision, revision);
    }

    /**
     * Reads the keys, and retries until that succeeds. A successful read starts the watch if it has
     * no revision to continue from. Has no effect while a read is in flight.
     */
    void read() {
        if (readPending) {
            return;
        }
        readPending = true;
        stateClient.readAllUrgently(
                StateStoreKeys.LEADERSHIP_PREFIX,
                snapshot -> {
                    readPending = false;
                    onRead(snapshot);
                });
    }

    private void onRead(Optional<StateSnapshot> snapshot) {
        if (snapshot.isEmpty()) {
            eventLoop.schedule(RETRY_SECONDS, this::read);
            return;
        }
        lastReadAtSeconds = eventLoop.nowSeconds();
        long revision = snapshot.get().revision();
        boolean startsWatch = watchRevision < 0;
        watchRevision = Math.max(watchRevision, revision);
        if (startsWatch) {
            watch();
        }
        if (revision >= newestKeysRevision) {
            newestKeysRevision = revision;
            listener.accept(LeadershipKeys.of(snapshot.get()));
        }
    }

    private void watch() {
        stateClient.awaitChanges(
                StateStoreKeys.LEADERSHIP_PREFIX,
                watchRevision,
                WATCH_HOLD_MILLIS,
                this::onWatchResult);
    }

    private void onWatchResult(StateStoreResult<StoredChanges> result) {
        if (result instanceof StateStoreResult.Success<StoredChanges> success) {
            watchRevision = Math.max(watchRevision, success.value().revision());
            if (!success.value().changes().isEmpty()) {
                read();
            }
            watch();
            return;
        }
        if (result.isRejectedFor(StateStoreResult.Reason.COMPACTED)) {
            watchRevision = NO_WATCH_REVISION;
        }
        eventLoop.schedule(RETRY_SECONDS, this::resumeWatch);
    }

    /**
     * Reads the keys, as the watch may have missed changes, and restarts the watch. If the watch
     * has no revision to continue from, that read starts it instead.
     */
    private void resumeWatch() {
        boolean hasRevision = watchRevision >= 0;
        read();
        if (hasRevision) {
            watch();
        }
    }
}
