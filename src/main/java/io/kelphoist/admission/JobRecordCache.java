package io.kelphoist.admission;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.cache.RemovalNotification;
import io.kelphoist.eventloop.Callbacks;
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
 * Caches the records of unfinished jobs and revalidates them for many readers at once. A reader
 * waits for the next revalidation: one request to the state store for all changes of jobs since the
 * previous revalidation. Every reader begins to wait before the request is sent, so that the
 * records are as current as if each reader had read them separately. Users' polls, whose number
 * grows with the size of the deployment, therefore cost a bounded number of requests.
 *
 * <p>A record is cached only if no change of it can have been missed: it was read, or written by
 * this controller, after the first revision of the cache's epoch, and no newer change of the same
 * job has been received.
 *
 * <p>Owns the cached records and the revision up to which changes were applied to them. Runs on the
 * event loop.
 */
final class JobRecordCache {
    /** How a revalidation ended. */
    enum RevalidationResult {
        /** The cached records are current as of a moment after the readers began to wait. */
        CURRENT,
        /** Changes may have been missed, so all cached records were dropped. */
        RESET,
        /**
         * The state store did not process the request for changes, or its outcome is unknown. The
         * cached records stay, but may be outdated.
         */
        UNAVAILABLE
    }

    private static final Logger LOG = LoggerFactory.getLogger(JobRecordCache.class);

    /** Maximum number of unfinished jobs that are cached. */
    static final int MAX_CACHED_JOBS = 4000;

    /** Maximum number of jobs whose {@link #latestRevisions latest revision} is kept. */
    private static final int MAX_TRACKED_REVISIONS = 20_000;

    /**
     * Minimum time between the start of a successful revalidation and the start of the next one.
     */
    private static final double REVALIDATION_INTERVAL_SECONDS = 0.02;

    /**
     * If the last successful revalidation is longer ago than this, the cache is reset, because
     * reading all changes since then costs more.
     */
    private static final double MAX_AGE_SECONDS = 5;

    /** The value of {@link #appliedRevision} until an initial revision is read. */
    private static final long NO_REVISION = -1;

    private final StateStoreReader store;
    private final EventLoop loop;
    private final Consumer<JobRecord> onFinalRecord;
    private final Cache<String, JobRecord> records =
            CacheBuilder.newBuilder().maximumSize(MAX_CACHED_JOBS).concurrencyLevel(1).build();

    /** By job id: the revision of the last change that was received in this epoch. */
    private final Cache<String, Long> latestRevisions =
            CacheBuilder.newBuilder()
                    .maximumSize(MAX_TRACKED_REVISIONS)
                    .concurrencyLevel(1)
                    .removalListener(this::onRevisionRemoved)
                    .build();

    private List<Consumer<RevalidationResult>> revalidationWaiters = new ArrayList<>();
    private boolean revalidationScheduled;

    /**
     * Since when readers wait for the present revalidation, by the event loop's clock; infinite if
     * none waits. Also read by the metrics thread.
     */
    private volatile double waitingSinceSeconds = Double.POSITIVE_INFINITY;

    private boolean readingInitialRevision;

    /**
     * The revision up to which all changes were applied to the cached records. While it is {@link
     * #NO_REVISION}, no record is cached.
     */
    private long appliedRevision = NO_REVISION;

    /** The revision at which this epoch began. */
    private long firstRevision;

    /** The time as of which the cached records are current, by the event loop's clock. */
    private double currentAsOfSeconds = Double.NEGATIVE_INFINITY;

    /**
     * Increases with each reset, and when a latest revision is evicted. The response to a request
     * that was sent in an earlier epoch is not cached.
     */
    private long epoch;

    /** The highest revision that was evicted from {@link #latestRevisions}. */
    private long evictedRevision;

    /**
     * @param onFinalRecord receives the final record of each cached job that ends
     */
    JobRecordCache(StateStoreReader store, EventLoop loop, Consumer<JobRecord> onFinalRecord) {
        this.store = store;
        this.loop = loop;
        this.onFinalRecord = onFinalRecord;
    }

    /**
     * Returns the current epoch, to be passed to {@link #onRead} with the response to a request
     * that is sent now. Until an initial revision is read, returns a negative number, with which no
     * response is cached, and starts to read one.
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

    /**
     * Reads the state store's current revision, which a read of any prefix returns. Changes can be
     * requested only from a known revision on.
     */
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

    /**
     * Caches an unfinished job's record from a response, if no reset took place since the request
     * was sent.
     *
     * @param requestEpoch the result of {@link #epoch} when the request was sent
     */
    void onRead(JobRecord record, long requestEpoch) {
        if (requestEpoch == epoch && hasRevision()) {
            putIfNewest(record);
        }
    }

    /** Caches an unfinished job's record that this controller has just stored. */
    void onWritten(JobRecord record) {
        if (hasRevision() && record.version() > Math.max(firstRevision, evictedRevision)) {
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

    /**
     * Without the latest revision of a job it is unknown whether a response that is in flight is
     * older than that. A request that is sent later reads the change.
     */
    private void onRevisionRemoved(RemovalNotification<String, Long> removed) {
        if (removed.wasEvicted()) {
            evictedRevision = Math.max(evictedRevision, removed.getValue());
            epoch++;
        }
    }

    /** Drops a job's cached record. */
    void invalidate(String jobId) {
        records.invalidate(jobId);
    }

    /**
     * Returns a job's cached record, or null if none is cached. Its age is at most {@link
     * #ageSeconds}; within a callback of {@link #awaitRevalidation} it is as current as the
     * revalidation.
     */
    JobRecord getIfPresent(String jobId) {
        return records.getIfPresent(jobId);
    }

    /**
     * Returns the maximum age of the cached records in seconds; infinite if no initial revision was
     * ever read.
     */
    double ageSeconds() {
        return loop.nowSeconds() - currentAsOfSeconds;
    }

    /** Returns for how long readers have waited for the present revalidation; 0 if none waits. */
    double revalidationWaitSeconds(double nowSeconds) {
        return Math.max(0, nowSeconds - waitingSinceSeconds);
    }

    /** Calls back when the next revalidation has ended. */
    void awaitRevalidation(Consumer<RevalidationResult> waiter) {
        revalidationWaiters.add(waiter);
        if (!revalidationScheduled) {
            revalidationScheduled = true;
            waitingSinceSeconds = loop.nowSeconds();
            double nextRevalidationAtSeconds = currentAsOfSeconds + REVALIDATION_INTERVAL_SECONDS;
            loop.schedule(
                    Math.max(0, nextRevalidationAtSeconds - loop.nowSeconds()), this::revalidate);
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
                response -> onChanges(waiters, response, sentAtSeconds));
    }

    private void onChanges(
            List<Consumer<RevalidationResult>> waiters,
            StateStoreResult<StoredChanges> response,
            double sentAtSeconds) {
        RevalidationResult result = RevalidationResult.UNAVAILABLE;
        try {
            result = applyResponse(response, sentAtSeconds);
        } finally {
            completeRevalidation(waiters, result);
        }
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

    /**
     * Calls back all readers that waited for a revalidation, and schedules the next one if others
     * wait. Neither depends on what a reader throws: otherwise the other readers, and all that come
     * later, would wait for ever.
     */
    private void completeRevalidation(
            List<Consumer<RevalidationResult>> waiters, RevalidationResult result) {
        try {
            Callbacks.forEach(waiters, waiter -> waiter.accept(result));
        } finally {
            scheduleNextRevalidation();
        }
    }

    private void scheduleNextRevalidation() {
        revalidationScheduled = !revalidationWaiters.isEmpty();
        if (revalidationScheduled) {
            waitingSinceSeconds = loop.nowSeconds();
            loop.schedule(REVALIDATION_INTERVAL_SECONDS, this::revalidate);
        } else {
            waitingSinceSeconds = Double.POSITIVE_INFINITY;
        }
    }

    /**
     * Applies the changes and returns true, or returns false if that fails. An exception must not
     * leave this method: otherwise none of the waiters of this revalidation would be called back.
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
                    "job changes can't be applied, cache reset: revision={} error={}",
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
            LOG.error("malformed job record: job={} error={}", jobId, e.getMessage());
        }
    }

    /** Drops all cached records, since changes may have been missed, and begins a new epoch. */
    private void reset() {
        records.invalidateAll();
        latestRevisions.invalidateAll();
        appliedRevision = NO_REVISION;
        epoch++;
    }
}
