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
    enum RevalidationResult {
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
    private static final double REVALIDATION_INTERVAL_SECONDS = 0.02;

    /** Without a round for longer than this, reading all changes since costs more than a reset. */
    private static final double MAX_AGE_SECONDS = 5;

    /** The value of {@link #appliedRevision} while it is not known. */
    private static final long NO_REVISION = -1;

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

    private List<Consumer<RevalidationResult>> revalidationWaiters = new ArrayList<>();
    private boolean revalidationScheduled;
    private boolean readingInitialRevision;

    /**
     * The revision up to which all changes were seen. While it is {@link #NO_REVISION}, nothing is
     * cached.
     */
    private long appliedRevision = NO_REVISION;

    /** The first position of this epoch. */
    private long firstRevision;

    /** The time as of which the cached records are known to be current. */
    private double currentAsOfSeconds = Double.NEGATIVE_INFINITY;

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
        if (!hasRevision() && !readingInitialRevision) {
            readInitialRevision();
        }
        return hasRevision() ? epoch : NO_REVISION;
    }

    private boolean hasRevision() {
        return appliedRevision >= 0;
    }

    /** Reads the current revision: only changes after a known position can be asked for. */
    private void readInitialRevision() {
        readingInitialRevision = true;
        store.readAll(
                StateStoreKeys.LEADERSHIP_PREFIX,
                snapshot -> {
                    readingInitialRevision = false;
                    if (snapshot.isPresent() && !hasRevision()) {
                        appliedRevision = snapshot.get().revision();
                        firstRevision = appliedRevision;
                        currentAsOfSeconds = loop.nowSeconds();
                    }
                });
    }

    /** Caches an unfinished job's record from the response to a request of the given epoch. */
    void onRead(JobRecord record, long requestEpoch) {
        if (requestEpoch == epoch && hasRevision()) {
            putIfNewest(record);
        }
    }

    /** Caches an unfinished job's record that this controller has just stored. */
    void onWritten(JobRecord record) {
        if (hasRevision() && record.version() > firstRevision) {
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
     * says; within a callback of {@link #awaitRevalidation} it is as current as the round.
     */
    JobRecord getIfPresent(String jobId) {
        return records.getIfPresent(jobId);
    }

    /** Returns how old the cached records may be, in seconds. */
    double ageSeconds() {
        return loop.nowSeconds() - currentAsOfSeconds;
    }

    /** Calls back when the next round has ended. */
    void awaitRevalidation(Consumer<RevalidationResult> waiter) {
        revalidationWaiters.add(waiter);
        if (!revalidationScheduled) {
            revalidationScheduled = true;
            double nextRoundAtSeconds = currentAsOfSeconds + REVALIDATION_INTERVAL_SECONDS;
            loop.schedule(Math.max(0, nextRoundAtSeconds - loop.nowSeconds()), this::revalidate);
        }
    }

    private void revalidate() {
        List<Consumer<RevalidationResult>> waiters = revalidationWaiters;
        revalidationWaiters = new ArrayList<>();
        if (!hasRevision() || ageSeconds() > MAX_AGE_SECONDS) {
            reset();
            completeRevalidation(waiters, RevalidationResult.RESET);
            return;
        }
        double sentAtSeconds = loop.nowSeconds();
        store.changesSince(
                StateStoreKeys.JOBS_PREFIX,
                appliedRevision,
                response -> completeRevalidation(waiters, applyResponse(response, sentAtSeconds)));
    }

    private RevalidationResult applyResponse(
            StateStoreResult<StoredChanges> response, double sentAtSeconds) {
        if (!response.isProcessed()) {
            return RevalidationResult.UNAVAILABLE;
        }
        if (response instanceof StateStoreResult.Success<StoredChanges> success
                && tryApplyChanges(success.value())) {
            currentAsOfSeconds = sentAtSeconds;
            return RevalidationResult.CURRENT;
        }
        reset();
        return RevalidationResult.RESET;
    }

    private void completeRevalidation(
            List<Consumer<RevalidationResult>> waiters, RevalidationResult result) {
        waiters.forEach(waiter -> waiter.accept(result));
        revalidationScheduled = !revalidationWaiters.isEmpty();
        if (revalidationScheduled) {
            loop.schedule(REVALIDATION_INTERVAL_SECONDS, this::revalidate);
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
            appliedRevision = Math.max(appliedRevision, changes.revision());
            return true;
        } catch (RuntimeException e) {
            LOG.error(
                    "malformed changes of jobs: position={} error={}",
                    appliedRevision,
                    e.toString());
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
        appliedRevision = NO_REVISION;
        epoch++;
    }
}
