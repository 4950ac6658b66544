package io.kelphoist.admission;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.JobRecord;
import io.kelphoist.statestore.StateStoreReader;
import io.kelphoist.statestore.protocol.RecordChange;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredChanges;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Caches the records of unfinished jobs and validates them in rounds, for many readers at once. A
 * reader joins the next round: one request to the state store for all changes of jobs since the
 * round before. Since every reader joins before the request is sent, the records are then as
 * current as if each had been read by itself; and users' polls, whose number grows with the
 * deployment, cost a bounded number of requests.
 *
 * <p>A record is cached only if no change of it can have been missed: it was read, or written by
 * this controller, after the cache's first position, and no newer change of the same job has been
 * seen.
 *
 * <p>Owns the cached records and the position in the store's changes. Runs on the event loop.
 */
final class JobRecordCache {
    /** How a round ended. */
    enum RoundResult {
        /** The cached records are as of a moment after the readers joined. */
        CURRENT,
        /** Changes may have been missed; all cached records were dropped. */
        RESET,
        /** The state store is unavailable. */
        UNAVAILABLE
    }

    private static final Logger LOG = LoggerFactory.getLogger(JobRecordCache.class);

    /** The number of unfinished jobs that are cached. */
    static final int MAX_CACHED_JOBS = 4000;

    private static final int MAX_TRACKED_REVISIONS = 20_000;

    /** The least time between the starts of two rounds. */
    private static final double ROUND_INTERVAL_SECONDS = 0.02;

    /** Without a round for longer than this, reading all changes since costs more than a reset. */
    private static final double MAX_AGE_SECONDS = 5;

    /** The value of {@link #position} while it is not known. */
    private static final long NO_POSITION = -1;

    private final StateStoreReader store;
    private final EventLoop loop;
    private final Consumer<JobRecord> onFinalRecord;
    private final Cache<String, JobRecord> records =
            CacheBuilder.newBuilder().maximumSize(MAX_CACHED_JOBS).concurrencyLevel(1).build();

    /** By job: the revision of its last change seen in this epoch. */
    private final Cache<String, Long> latestRevisions =
            CacheBuilder.newBuilder()
                    .maximumSize(MAX_TRACKED_REVISIONS)
                    .concurrencyLevel(1)
                    .build();

    private List<Consumer<RoundResult>> nextRoundWaiters = new ArrayList<>();
    private boolean roundScheduled;
    private boolean readingPosition;

    /**
     * The revision up to which all changes were seen. While it is {@link #NO_POSITION}, nothing is
     * cached.
     */
    private long position = NO_POSITION;

    /** The first position of this epoch. */
    private long firstPosition;

    /** The time as of which the cached records are known to be current. */
    private double currentAtSeconds = Double.NEGATIVE_INFINITY;

    /** Counts resets; a response to a request that was sent in an earlier epoch is not cached. */
    private long epoch;

    /**
     * @param onFinalRecord receives the record of each cached job that has ended
     */
    JobRecordCache(StateStoreReader store, EventLoop loop, Consumer<JobRecord> onFinalRecord) {
        this.store = store;
        this.loop = loop;
        this.onFinalRecord = onFinalRecord;
    }

    /**
     * Returns the number of this epoch, to be passed to {@link #onRead} with the response to a
     * request that is sent now. Without a position it is negative, and the reading of one is
     * started.
     */
    long epoch() {
        if (!hasPosition() && !readingPosition) {
            readInitialPosition();
        }
        return hasPosition() ? epoch : NO_POSITION;
    }

    private boolean hasPosition() {
        return position >= 0;
    }

    /** Reads the current revision: only changes after a known position can be asked for. */
    private void readInitialPosition() {
        readingPosition = true;
        store.readAll(
                StateStoreKeys.LEADERSHIP_PREFIX,
                snapshot -> {
                    readingPosition = false;
                    if (snapshot.isPresent() && !hasPosition()) {
                        position = snapshot.get().revision();
                        firstPosition = position;
                        currentAtSeconds = loop.nowSeconds();
                    }
                });
    }

    /** Caches an unfinished job's record from the response to a request of the given epoch. */
    void onRead(JobRecord record, long requestEpoch) {
        if (requestEpoch == epoch && hasPosition()) {
            putIfNewest(record);
        }
    }

    /** Caches an unfinished job's record that this controller has just stored. */
    void onWritten(JobRecord record) {
        if (hasPosition() && record.version() > firstPosition) {
            putIfNewest(record);
        }
    }

    private void putIfNewest(JobRecord record) {
        Long latestRevision = latestRevisions.getIfPresent(record.id());
        JobRecord cached = records.getIfPresent(record.id());
        if ((latestRevision == null || latestRevision <= record.version())
                && (cached == null || cached.version() <= record.version())) {
            records.put(record.id(), record);
        }
    }

    /** Drops a job's record. */
    void invalidate(String jobId) {
        records.invalidate(jobId);
    }

    /**
     * Returns a job's cached record, null if there is none. It is as old as {@link #ageSeconds}
     * says; within a callback of {@link #joinNextRound} it is as current as the round.
     */
    JobRecord getIfPresent(String jobId) {
        return records.getIfPresent(jobId);
    }

    /** Returns how old the cached records may be, in seconds. */
    double ageSeconds() {
        return loop.nowSeconds() - currentAtSeconds;
    }

    /** Calls back when the next round has ended. */
    void joinNextRound(Consumer<RoundResult> waiter) {
        nextRoundWaiters.add(waiter);
        if (!roundScheduled) {
            roundScheduled = true;
            double nextRoundAtSeconds = currentAtSeconds + ROUND_INTERVAL_SECONDS;
            loop.schedule(Math.max(0, nextRoundAtSeconds - loop.nowSeconds()), this::runRound);
        }
    }

    private void runRound() {
        List<Consumer<RoundResult>> waiters = nextRoundWaiters;
        nextRoundWaiters = new ArrayList<>();
        if (!hasPosition() || ageSeconds() > MAX_AGE_SECONDS) {
            reset();
            completeRound(waiters, RoundResult.RESET);
            return;
        }
        double sentAtSeconds = loop.nowSeconds();
        store.changesSince(
                StateStoreKeys.JOBS_PREFIX,
                position,
                response -> completeRound(waiters, applyResponse(response, sentAtSeconds)));
    }

    private RoundResult applyResponse(
            StateStoreResult<StoredChanges> response, double sentAtSeconds) {
        if (!response.isProcessed()) {
            return RoundResult.UNAVAILABLE;
        }
        if (response instanceof StateStoreResult.Success<StoredChanges> success
                && tryApplyChanges(success.value())) {
            currentAtSeconds = sentAtSeconds;
            return RoundResult.CURRENT;
        }
        reset();
        return RoundResult.RESET;
    }

    private void completeRound(List<Consumer<RoundResult>> waiters, RoundResult result) {
        waiters.forEach(waiter -> waiter.accept(result));
        roundScheduled = !nextRoundWaiters.isEmpty();
        if (roundScheduled) {
            loop.schedule(ROUND_INTERVAL_SECONDS, this::runRound);
        }
    }

    /**
     * Applies the changes and returns true, or returns false if that fails. An exception must not
     * leave: none of the round's waiters would ever be called back.
     */
    private boolean tryApplyChanges(StoredChanges changes) {
        try {
            for (RecordChange change : changes.changes()) {
                applyChange(change);
            }
            position = Math.max(position, changes.revision());
            return true;
        } catch (RuntimeException e) {
            LOG.error("malformed changes of jobs: position={} error={}", position, e.toString());
            return false;
        }
    }

    private void applyChange(RecordChange change) {
        StoredRecord stored = change.record();
        String key = stored.key();
        String jobId = key.substring(Math.min(key.length(), StateStoreKeys.JOBS_PREFIX.length()));
        latestRevisions.put(jobId, stored.version());
        JobRecord cached = records.getIfPresent(jobId);
        if (cached == null || cached.version() >= stored.version()) {
            return;
        }
        records.invalidate(jobId);
        try {
            JobRecord record = RecordCodec.decodeJob(stored);
            if (record.status().isFinal()) {
                onFinalRecord.accept(record);
            } else {
                records.put(jobId, record);
            }
        } catch (MalformedMessageException e) {
            LOG.error("malformed record of a job: job={} error={}", jobId, e.getMessage());
        }
    }

    /** Drops all records, since changes may have been missed. */
    private void reset() {
        records.invalidateAll();
        latestRevisions.invalidateAll();
        position = NO_POSITION;
        epoch++;
    }
}
