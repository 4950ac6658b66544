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
 * Keeps this controller's {@link RecordReplica} up to date, at all times and on every controller,
 * so that a new leader need not read all records. A follower's replica lags by a short pause; a new
 * leader first verifies with one request for each kind that the replica is current. A leader
 * follows only the jobs, as it writes the other kinds itself. Owns the replica and the watchers.
 * Runs on the event loop.
 */
public final class RecordReplication {
    private static final Logger LOG = LoggerFactory.getLogger(RecordReplication.class);

    /** Short, as each response also tells a leader up to when all changes of jobs are known. */
    private static final int JOBS_WATCH_MILLIS = 1000;

    private static final int OTHER_WATCH_MILLIS = 4000;

    /** A follower collects the changes of so long in one response. */
    private static final double FOLLOWER_PAUSE_SECONDS = 0.5;

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

    /** Receives job records while this controller leads; empty while it does not. */
    private Optional<TermRecordStore> leaderStore = Optional.empty();

    private double jobsKnownUntilSeconds = Double.NEGATIVE_INFINITY;
    private double lastUpdateAtSeconds = Double.NEGATIVE_INFINITY;

    /** Creates an empty replica; nothing is read before {@link #start}. */
    public RecordReplication(StateStoreWatcher stateStore, EventLoop eventLoop) {
        this.eventLoop = eventLoop;
        KEY_PREFIXES.forEach(
                (kind, prefix) -> {
                    int watchMillis =
                            kind == RecordKind.JOBS ? JOBS_WATCH_MILLIS : OTHER_WATCH_MILLIS;
                    watchers.put(
                            kind,
                            new RecordWatcher(
                                    stateStore,
                                    eventLoop,
                                    prefix,
                                    watchMillis,
                                    new KindListener(kind)));
                });
    }

    /** Applies the records of one kind. */
    private final class KindListener implements RecordWatcher.Listener {
        private final RecordKind kind;

        KindListener(RecordKind kind) {
            this.kind = kind;
        }

        @Override
        public void onSnapshot(StateSnapshot snapshot, double askedAtSeconds) {
            replica.clear(kind);
            for (StoredRecord record : snapshot.records()) {
                applyRecord(kind, record);
            }
            onRevisionKnown(
                    kind, snapshot.revision(), askedAtSeconds, !snapshot.records().isEmpty());
        }

        @Override
        public void onChanges(List<RecordChange> changes, long revision, double askedAtSeconds) {
            for (RecordChange change : changes) {
                if (!change.deleted()) {
                    applyRecord(kind, change.record());
                }
            }
            onRevisionKnown(kind, revision, askedAtSeconds, !changes.isEmpty());
        }
    }

    /** Begins to follow all records. Called once. */
    public void start() {
        watchers.values().forEach(watcher -> watcher.watch(FOLLOWER_PAUSE_SECONDS));
    }

    private void onRevisionKnown(
            RecordKind kind, long revision, double askedAtSeconds, boolean hasChanges) {
        replica.advanceRevision(kind, revision);
        if (kind == RecordKind.JOBS) {
            // A watch that was held during a verification was requested before it.
            jobsKnownUntilSeconds = Math.max(jobsKnownUntilSeconds, askedAtSeconds);
            if (leaderStore.isPresent() && hasChanges) {
                leaderStore.get().notifyChanged();
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
            keepVersionOnly(kind, record);
        }
    }

    private void applyJob(JobRecord job) {
        replica.applyJob(job, eventLoop.nowSeconds());
        if (leaderStore.isPresent()) {
            leaderStore.get().applyJobRecord(job);
        }
    }

    /** Whoever writes a malformed page next must know its version. */
    private void keepVersionOnly(RecordKind kind, StoredRecord record) {
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
     * Brings the replica up to date, and calls back when it is current as of a moment after this
     * call. Records are not followed any further until a call that starts that.
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

    /** This controller leads with a verified replica: job records now go to its store, too. */
    void startLeading(TermRecordStore store) {
        leaderStore = Optional.of(store);
        watchers.get(RecordKind.JOBS).watch(NO_PAUSE_SECONDS);
    }

    /**
     * This controller does not lead (any more). Kinds that were not followed meanwhile are read
     * again.
     */
    void startFollowing() {
        leaderStore = Optional.empty();
        watchers.forEach(
                (kind, watcher) -> {
                    if (kind != RecordKind.JOBS) {
                        watcher.reset();
                    }
                    watcher.watch(FOLLOWER_PAUSE_SECONDS);
                });
    }

    /** All changes of jobs stored before this moment, on the event loop's clock, are applied. */
    public double jobsKnownUntilSeconds() {
        return jobsKnownUntilSeconds;
    }

    /** Seconds since the state store last sent anything of any kind. */
    public double lagSeconds() {
        return eventLoop.nowSeconds() - lastUpdateAtSeconds;
    }

    /** The replica, which changes with every update. */
    public RecordReplica replica() {
        return replica;
    }
}
