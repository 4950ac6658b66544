package io.kelphoist.statestore;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.statestore.protocol.RecordChange;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StateStoreResult.Reason;
import io.kelphoist.statestore.protocol.StoredChanges;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the records below a prefix: reads a snapshot, and then the changes after its revision. If
 * changes may have been missed, it reads a new snapshot. Records on which the listener fails are
 * delivered again, possibly after a part of them was applied, so that it must compare versions.
 *
 * <p>One request is in flight at a time, so that the listener receives all changes in order. The
 * exception is a watch request that is still in flight after {@link #stop} or {@link #catchUp}: if
 * its response arrives after {@link #watch} was called again, the listener may receive changes that
 * it has received before, so that it must compare versions.
 *
 * <p>Owns the revision up to which records were delivered to the listener. Runs on the event loop.
 */
public final class RecordWatcher {
    /** Receives the watched records. Called on the event loop. */
    public interface Listener {
        /**
         * Receives all records, which replace all records received before.
         *
         * @param requestedAtSeconds when the first page was requested, by the event loop's clock
         */
        void onSnapshot(StateSnapshot snapshot, double requestedAtSeconds);

        /**
         * Receives the changes up to a revision.
         *
         * @param changes oldest first; may be empty
         * @param requestedAtSeconds when the changes were requested, by the event loop's clock
         */
        void onChanges(List<RecordChange> changes, long revision, double requestedAtSeconds);

        /**
         * A request to the state store failed, or changes were missed: the received records may be
         * outdated until the next snapshot or the next changes are received.
         */
        default void onStale() {}
    }

    private static final Logger LOG = LoggerFactory.getLogger(RecordWatcher.class);

    /**
     * Pause after a failed request; not after a watch request that the store rejected because it
     * has compacted the changes.
     */
    private static final double RETRY_DELAY_SECONDS = 0.25;

    /** The value of {@link #deliveredRevision} if a snapshot must be read first. */
    private static final long NO_REVISION = -1;

    private final StateStoreWatcher watcher;
    private final EventLoop loop;
    private final String prefix;
    private final int holdMillis;
    private final Listener listener;
    private double requestPauseSeconds;

    /**
     * Incremented when a call replaces or stops the current activity: timers and reads of an
     * earlier generation have no further effect. Watch requests have no generation: their response
     * is used if this object is watching when it arrives and the revision was not discarded since.
     */
    private long generation;

    /** Revision up to which all changes were delivered to the listener. */
    private long deliveredRevision = NO_REVISION;

    /**
     * Incremented when the delivered revision is discarded: changes that were requested before do
     * not continue from the next snapshot's revision.
     */
    private long revisionEpoch;

    private boolean watching;

    /**
     * Whether a watch request is in flight, which the store may hold. Never more than one is sent
     * at a time, since each occupies a connection on both sides.
     */
    private boolean watchInFlight;

    /**
     * Creates a watcher. It sends no request before the first call of a method.
     *
     * @param holdMillis how long the store may hold a watch request
     */
    public RecordWatcher(
            StateStoreWatcher watcher,
            EventLoop loop,
            String prefix,
            int holdMillis,
            Listener listener) {
        this.watcher = watcher;
        this.loop = loop;
        this.prefix = prefix;
        this.holdMillis = holdMillis;
        this.listener = listener;
    }

    /**
     * Watches the records from the delivered revision on, or from a new snapshot if there is none.
     *
     * @param pauseSeconds pause between the response to a watch request and the next request;
     *     changes in that time are received with one response. After a failed request the pause is
     *     0.25 s instead
     */
    public void watch(double pauseSeconds) {
        requestPauseSeconds = pauseSeconds;
        watching = true;
        requestNext(++generation);
    }

    /** Stops watching. The delivered revision is kept for {@link #watch} and {@link #catchUp}. */
    public void stop() {
        watching = false;
        generation++;
    }

    /** Stops watching and discards the delivered revision: the next request reads a snapshot. */
    public void reset() {
        stop();
        discardRevision();
    }

    /**
     * Stops watching and calls back once the listener has received all records as of a moment after
     * this call. Does not call back if another method is called before that.
     */
    public void catchUp(Runnable onCaughtUp) {
        watching = false;
        catchUp(++generation, onCaughtUp);
    }

    private void catchUp(long expectedGeneration, Runnable onCaughtUp) {
        if (deliveredRevision < 0) {
            readSnapshot(
                    expectedGeneration,
                    onCaughtUp,
                    () -> retryCatchUp(expectedGeneration, onCaughtUp));
            return;
        }
        double requestedAtSeconds = loop.nowSeconds();
        watcher.changesSince(
                prefix,
                deliveredRevision,
                result -> {
                    if (expectedGeneration != generation) {
                        return;
                    }
                    if (applyChanges(result, requestedAtSeconds)) {
                        onCaughtUp.run();
                    } else {
                        retryCatchUp(expectedGeneration, onCaughtUp);
                    }
                });
    }

    private void retryCatchUp(long expectedGeneration, Runnable onCaughtUp) {
        scheduleIfCurrent(
                expectedGeneration,
                RETRY_DELAY_SECONDS,
                () -> catchUp(expectedGeneration, onCaughtUp));
    }

    private void requestNext(long expectedGeneration) {
        if (deliveredRevision < 0) {
            readSnapshot(
                    expectedGeneration,
                    () -> requestNext(expectedGeneration),
                    () -> scheduleNext(expectedGeneration, RETRY_DELAY_SECONDS));
            return;
        }
        if (watchInFlight) {
            // The response to the request in flight has all changes after the revision in that
            // request, or is dropped if that revision was discarded since. In either case
            // onWatchResponse schedules the next request.
            return;
        }
        watchInFlight = true;
        double requestedAtSeconds = loop.nowSeconds();
        long requestEpoch = revisionEpoch;
        watcher.awaitChanges(
                prefix,
                deliveredRevision,
                holdMillis,
                result -> onWatchResponse(result, requestEpoch, requestedAtSeconds));
    }

    private void onWatchResponse(
            StateStoreResult<StoredChanges> result, long requestEpoch, double requestedAtSeconds) {
        watchInFlight = false;
        if (!watching) {
            return;
        }
        boolean applied = requestEpoch == revisionEpoch && applyChanges(result, requestedAtSeconds);
        boolean failed = !applied && requestEpoch == revisionEpoch;
        scheduleNext(generation, failed ? RETRY_DELAY_SECONDS : requestPauseSeconds);
    }

    private void scheduleNext(long expectedGeneration, double delaySeconds) {
        if (delaySeconds == 0) {
            requestNext(expectedGeneration);
        } else {
            scheduleIfCurrent(
                    expectedGeneration, delaySeconds, () -> requestNext(expectedGeneration));
        }
    }

    private void scheduleIfCurrent(long expectedGeneration, double delaySeconds, Runnable task) {
        loop.schedule(
                delaySeconds,
                () -> {
                    if (expectedGeneration == generation) {
                        task.run();
                    }
                });
    }

    private void readSnapshot(long expectedGeneration, Runnable onSuccess, Runnable onFailure) {
        double requestedAtSeconds = loop.nowSeconds();
        watcher.readAll(
                prefix,
                snapshot -> {
                    if (expectedGeneration != generation) {
                        return;
                    }
                    if (applySnapshot(snapshot, requestedAtSeconds)) {
                        onSuccess.run();
                    } else {
                        onFailure.run();
                    }
                });
    }

    private boolean applySnapshot(Optional<StateSnapshot> snapshot, double requestedAtSeconds) {
        if (snapshot.isEmpty()) {
            listener.onStale();
            return false;
        }
        return deliver(
                snapshot.get().revision(),
                () -> listener.onSnapshot(snapshot.get(), requestedAtSeconds));
    }

    /**
     * Delivers changes to the listener. Returns false if the result is not a success, or if the
     * listener has failed; an empty list of changes is a success.
     */
    private boolean applyChanges(
            StateStoreResult<StoredChanges> result, double requestedAtSeconds) {
        if (result instanceof StateStoreResult.Success<StoredChanges> success) {
            long revision = Math.max(deliveredRevision, success.value().revision());
            return deliver(
                    revision,
                    () ->
                            listener.onChanges(
                                    success.value().changes(), revision, requestedAtSeconds));
        }
        if (result.isRejectedFor(Reason.COMPACTED)) {
            LOG.info(
                    "changes compacted by the state store, reading a snapshot: prefix={} revision={}",
                    prefix,
                    deliveredRevision);
            discardRevision();
        }
        listener.onStale();
        return false;
    }

    /**
     * Passes records up to a revision to the listener. If it throws, they count as not delivered,
     * and are requested again after a pause: otherwise the watch would end without a sign, or go on
     * without these records.
     */
    private boolean deliver(long revision, Runnable delivery) {
        long previousRevision = deliveredRevision;
        long previousEpoch = revisionEpoch;
        deliveredRevision = revision;
        try {
            delivery.run();
            return true;
        } catch (RuntimeException | Error e) {
            if (revisionEpoch == previousEpoch) {
                deliveredRevision = previousRevision;
            }
            LOG.error(
                    "records not delivered, requested again: prefix={} revision={}",
                    prefix,
                    previousRevision,
                    e);
            listener.onStale();
            return false;
        }
    }

    private void discardRevision() {
        deliveredRevision = NO_REVISION;
        revisionEpoch++;
    }
}
