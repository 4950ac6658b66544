package io.kelphoist.leadership;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.JobRecord;
import io.kelphoist.replication.RecordReplica;
import io.kelphoist.replication.RecordReplica.RecordKind;
import io.kelphoist.statestore.RecordWatcher;
import io.kelphoist.statestore.StateStoreWatcher;
import io.kelphoist.statestore.protocol.RecordChange;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.wire.MalformedMessageException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps this controller's {@link RecordReplica} of the state store's records up to date. Every
 * controller does so at all times, so that a new leader need not read all records. A follower's
 * replica lags by a short pause between requests; a new leader first verifies with one request for
 * each kind of record that the replica is current. A leader follows only the jobs, because it
 * writes the other kinds itself. Owns the replica and the watchers. Runs on the event loop.
 */
public final class RecordReplication {
    private static final Logger LOG = LoggerFactory.getLogger(RecordReplication.class);

    /**
     * How long the state store may hold a watch request for jobs while nothing changes. Short,
     * because each response also advances the moment up to which all changes of jobs have been
     * applied.
     */
    private static final int JOBS_WATCH_HOLD_MILLIS = 1000;

    private static final int OTHER_WATCH_HOLD_MILLIS = 4000;

    /**
     * Pause of a follower between two watch requests; the changes made meanwhile arrive in one
     * response.
     */
    private static final double FOLLOWER_WATCH_PAUSE_SECONDS = 0.5;

    private static final double NO_PAUSE_SECONDS = 0;

    private static final Map<RecordKind, String> KEY_PREFIXES =
            new EnumMap<>(
                    Map.of(
                            RecordKind.JOBS, StateStoreKeys.JOBS_PREFIX,
                            RecordKind.PROGRESS, StateStoreKeys.PROGRESS_PREFIX,
                            RecordKind.STARTS, StateStoreKeys.STARTS_PREFIX,
                            RecordKind.DELEGATIONS, StateStoreKeys.DELEGATIONS_PREFIX));

    private final EventLoop eventLoop;
    private final RecordReplica replica = new RecordReplica();
    private final EnumMap<RecordKind, RecordWatcher> watchers = new EnumMap<>(RecordKind.class);

    /** Receives job records while this controller leads with verified records; otherwise empty. */
    private Optional<TermRecordStore> leaderStore = Optional.empty();

    private double jobsCurrentAsOfSeconds = Double.NEGATIVE_INFINITY;
    private double lastUpdateAtSeconds = Double.NEGATIVE_INFINITY;

    /** Creates an empty replica; nothing is read before {@link #start}. */
    public RecordReplication(StateStoreWatcher stateStore, EventLoop eventLoop) {
        this.eventLoop = eventLoop;
        KEY_PREFIXES.forEach(
                (kind, prefix) -> {
                    int holdMillis =
                            kind == RecordKind.JOBS
                                    ? JOBS_WATCH_HOLD_MILLIS
                                    : OTHER_WATCH_HOLD_MILLIS;
                    watchers.put(
                            kind,
                            new RecordWatcher(
                                    stateStore,
                                    eventLoop,
                                    prefix,
                                    holdMillis,
                                    new KindListener(kind)));
                });
    }

    /**
     * Applies the records of one kind to the replica. A record that is deleted from the state store
     * remains in the replica until the next snapshot.
     */
    private final class KindListener implements RecordWatcher.Listener {
        private final RecordKind kind;

        KindListener(RecordKind kind) {
            this.kind = kind;
        }

        @Override
        public void onSnapshot(StateSnapshot snapshot, double requestedAtSeconds) {
            replica.clear(kind);
            for (StoredRecord record : snapshot.records()) {
                applyRecord(kind, record);
            }
            onRevisionApplied(
                    kind, snapshot.revision(), requestedAtSeconds, !snapshot.records().isEmpty());
        }

        @Override
        public void onChanges(
                List<RecordChange> changes, long revision, double requestedAtSeconds) {
            for (RecordChange change : changes) {
                if (!change.deleted()) {
                    applyRecord(kind, change.record());
                }
            }
            onRevisionApplied(kind, revision, requestedAtSeconds, !changes.isEmpty());
        }
    }

    /** Starts following the records of all kinds. Called once. */
    public void start() {
        watchers.values().forEach(watcher -> watcher.watch(FOLLOWER_WATCH_PAUSE_SECONDS));
    }

    private void onRevisionApplied(
            RecordKind kind, long revision, double requestedAtSeconds, boolean hasChanges) {
        replica.advanceRevision(kind, revision);
        if (kind == RecordKind.JOBS) {
            // The response to a watch request that was held during a verification may arrive after
            // the verification, although the watch was requested before it.
            jobsCurrentAsOfSeconds = Math.max(jobsCurrentAsOfSeconds, requestedAtSeconds);
            if (leaderStore.isPresent() && hasChanges) {
                leaderStore.get().requestTick();
            }
        }
        lastUpdateAtSeconds = eventLoop.nowSeconds();
    }

    private void applyRecord(RecordKind kind, StoredRecord record) {
        try {
            switch (kind) {
                case JOBS -> applyJob(RecordCodec.decodeJob(record));
                case PROGRESS ->
                        replica.applyProgressPage(
                                pageNumber(kind, record),
                                RecordCodec.decodeProgress(record),
                                record.version());
                case STARTS ->
                        replica.applyStartPage(
                                pageNumber(kind, record),
                                RecordCodec.decodeStarts(record),
                                record.version());
                case DELEGATIONS ->
                        replica.applyDelegation(
                                record.key().substring(StateStoreKeys.DELEGATIONS_PREFIX.length()),
                                RecordCodec.decodeDelegation(record),
                                record.version());
            }
        } catch (MalformedMessageException e) {
            LOG.error("malformed record: key={} error={}", record.key(), e.getMessage());
            applyVersionOnly(kind, record);
        }
    }

    private void applyJob(JobRecord job) {
        replica.applyJob(job, eventLoop.nowSeconds());
        if (leaderStore.isPresent()) {
            leaderStore.get().applyJobRecord(job);
        }
    }

    /**
     * Records the version of a malformed page, as an empty page. The next write of the page needs
     * that version as its condition. A malformed job or delegation is skipped.
     */
    private void applyVersionOnly(RecordKind kind, StoredRecord record) {
        try {
            if (kind == RecordKind.PROGRESS) {
                replica.applyProgressPage(pageNumber(kind, record), List.of(), record.version());
            } else if (kind == RecordKind.STARTS) {
                replica.applyStartPage(pageNumber(kind, record), List.of(), record.version());
            }
        } catch (MalformedMessageException e) {
            LOG.debug("malformed page number: key={}", record.key());
        }
    }

    private static int pageNumber(RecordKind kind, StoredRecord record)
            throws MalformedMessageException {
        return StateStoreKeys.pageNumber(KEY_PREFIXES.get(kind), record.key());
    }

    /**
     * Brings the replica up to date, with retries, and calls back when it is current as of a moment
     * after this call. Stops following the records until {@link #startLeading} or {@link
     * #startFollowing}. Does not call back if one of these is called before that.
     */
    void verifyCurrent(Consumer<RecordReplica> onVerified) {
        int[] remainingKinds = {watchers.size()};
        for (RecordWatcher watcher : watchers.values()) {
            watcher.catchUp(
                    () -> {
                        if (--remainingKinds[0] == 0) {
                            onVerified.accept(replica);
                        }
                    });
        }
    }

    /**
     * This controller leads with a verified replica: follows only the jobs from now on, and also
     * passes their records to the store of the term.
     */
    void startLeading(TermRecordStore store) {
        leaderStore = Optional.of(store);
        watchers.get(RecordKind.JOBS).watch(NO_PAUSE_SECONDS);
    }

    /**
     * This controller does not lead, or no longer does: follows the records of all kinds. The kinds
     * that a leader does not follow are read again.
     */
    void startFollowing() {
        leaderStore = Optional.empty();
        watchers.forEach(
                (kind, watcher) -> {
                    if (kind != RecordKind.JOBS) {
                        watcher.reset();
                    }
                    watcher.watch(FOLLOWER_WATCH_PAUSE_SECONDS);
                });
    }

    /**
     * The moment, on the event loop's clock, before which all stored changes of jobs have been
     * applied to the replica; negative infinity before the first read.
     */
    public double jobsCurrentAsOfSeconds() {
        return jobsCurrentAsOfSeconds;
    }

    /**
     * Seconds since the last successful response of the state store to a read or watch of any kind
     * of record; infinite if there was none.
     */
    public double lagSeconds() {
        return eventLoop.nowSeconds() - lastUpdateAtSeconds;
    }

    /** The replica itself, not a copy: it changes with every update. */
    public RecordReplica replica() {
        return replica;
    }
}
