package io.kelphoist.admission;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.kelphoist.eventloop.Callbacks;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.JobRecord;
import io.kelphoist.statestore.StateStoreReader;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads job records for responses to users: from a cache if the cached record is guaranteed to be
 * current, otherwise from the state store. Owns the cache of ended jobs, the {@link JobRecordCache}
 * of unfinished jobs and the job states that were reported recently ({@link MonotonicReads}).
 *
 * <p>Callbacks are called on the event loop, possibly before the call returns.
 */
final class JobLookup {
    private static final Logger LOG = LoggerFactory.getLogger(JobLookup.class);

    /** Maximum number of ended jobs that are cached. */
    static final int MAX_CACHED_JOBS = 4000;

    private final StateStoreReader store;
    private final EventLoop loop;
    private final double maxRecentAgeSeconds;

    /**
     * Records of ended jobs, without their specs. They never change, so they are valid also while
     * the state store is unavailable.
     */
    private final Cache<String, JobRecord> finalRecords =
            CacheBuilder.newBuilder().maximumSize(MAX_CACHED_JOBS).concurrencyLevel(1).build();

    private final JobRecordCache unfinishedRecords;
    private final MonotonicReads monotonicReads = new MonotonicReads();

    /** By job id: callbacks that wait for the result of a {@link #readRecent} in flight. */
    private final Map<String, List<Consumer<JobReadResult>>> recentReadWaiters = new HashMap<>();

    /**
     * @param maxRecentAgeSeconds maximum age of the results of {@link #readRecent}
     */
    JobLookup(StateStoreReader store, EventLoop loop, double maxRecentAgeSeconds) {
        this.store = store;
        this.loop = loop;
        this.maxRecentAgeSeconds = maxRecentAgeSeconds;
        this.unfinishedRecords = new JobRecordCache(store, loop, this::onFinalRecord);
    }

    /**
     * Reads a job's record as of a moment after this call. If this controller has reported a newer
     * record to a user by then, the result is that record.
     */
    void read(String jobId, Consumer<JobReadResult> callback) {
        double requestedAtSeconds = loop.nowSeconds();
        readCurrent(
                jobId,
                result -> callback.accept(ensureMonotonic(jobId, result, requestedAtSeconds)));
    }

    /**
     * Reads the records of several jobs like {@link #read}; the results have the order of the job
     * ids.
     *
     * @param jobIds must not be empty: otherwise the callback is never called
     */
    void readAll(List<String> jobIds, Consumer<List<JobReadResult>> callback) {
        ResultCollector results = new ResultCollector(jobIds.size(), callback);
        for (int i = 0; i < jobIds.size(); i++) {
            int index = i;
            read(jobIds.get(i), result -> results.set(index, result));
        }
    }

    /** Collects the results of several reads and calls back when it has all of them. */
    private static final class ResultCollector {
        private final JobReadResult[] results;
        private final Consumer<List<JobReadResult>> callback;
        private int remaining;

        ResultCollector(int count, Consumer<List<JobReadResult>> callback) {
            this.results = new JobReadResult[count];
            this.callback = callback;
            this.remaining = count;
        }

        void set(int index, JobReadResult result) {
            results[index] = result;
            remaining--;
            if (remaining == 0) {
                callback.accept(List.of(results));
            }
        }
    }

    /**
     * Reads a job's record that may be outdated by at most the maximum age given to the
     * constructor, so that a job that is read as active may have ended since. Overlapping reads of
     * the same job share one read.
     */
    void readRecent(String jobId, Consumer<JobReadResult> callback) {
        JobRecord cached = unfinishedRecords.getIfPresent(jobId);
        if (cached != null
                && unfinishedRecords.ageSeconds() <= maxRecentAgeSeconds
                && finalRecords.getIfPresent(jobId) == null) {
            callback.accept(new JobReadResult.Present(cached));
            return;
        }
        List<Consumer<JobReadResult>> waiters = recentReadWaiters.get(jobId);
        if (waiters != null) {
            waiters.add(result -> acceptOrReadIfAbsent(jobId, result, callback));
            return;
        }
        startRecentRead(jobId, callback);
    }

    private void startRecentRead(String jobId, Consumer<JobReadResult> callback) {
        List<Consumer<JobReadResult>> waiters = new ArrayList<>(List.of(callback));
        recentReadWaiters.put(jobId, waiters);
        try {
            read(jobId, result -> completeRecentRead(jobId, result));
        } catch (RuntimeException | Error e) {
            // Otherwise all later callers would join a read that was not sent, and wait for ever.
            recentReadWaiters.remove(jobId, waiters);
            throw e;
        }
    }

    /**
     * Passes on the result of a shared read that was sent before this caller joined it. If the job
     * was absent, reads it again, since it may have been accepted after that read was sent.
     */
    private void acceptOrReadIfAbsent(
            String jobId, JobReadResult result, Consumer<JobReadResult> callback) {
        if (result instanceof JobReadResult.Absent) {
            read(jobId, callback);
        } else {
            callback.accept(result);
        }
    }

    private void completeRecentRead(String jobId, JobReadResult result) {
        Callbacks.forEach(recentReadWaiters.remove(jobId), waiter -> waiter.accept(result));
    }

    /**
     * Returns what may be reported to a user, given the result of a read or a write: the final
     * record if this controller has cached it, otherwise the result of {@link
     * MonotonicReads#ensureMonotonic}.
     *
     * @param requestedAtSeconds a time before the read or write was sent, by the event loop's clock
     */
    JobReadResult ensureMonotonic(String jobId, JobReadResult result, double requestedAtSeconds) {
        JobRecord finalRecord = finalRecords.getIfPresent(jobId);
        return finalRecord != null
                ? new JobReadResult.Present(finalRecord)
                : monotonicReads.ensureMonotonic(jobId, result, requestedAtSeconds);
    }

    /** Records that this job record is about to be reported to a user. */
    void recordResponse(JobRecord record) {
        monotonicReads.recordResponse(record, loop.nowSeconds());
    }

    /** Caches a record that this controller has just stored. */
    void onWritten(JobRecord record) {
        if (record.status().isFinal()) {
            onFinalRecord(record);
        } else {
            unfinishedRecords.onWritten(record);
        }
    }

    /**
     * Drops the cached record of an unfinished job, so that the next read goes to the state store.
     */
    void invalidate(String jobId) {
        unfinishedRecords.invalidate(jobId);
    }

    /** Returns for how long reads of cached unfinished jobs have waited; 0 if none waits. */
    double revalidationWaitSeconds(double nowSeconds) {
        return unfinishedRecords.revalidationWaitSeconds(nowSeconds);
    }

    private void readCurrent(String jobId, Consumer<JobReadResult> callback) {
        JobRecord finalRecord = finalRecords.getIfPresent(jobId);
        if (finalRecord != null) {
            callback.accept(new JobReadResult.Present(finalRecord));
        } else if (unfinishedRecords.getIfPresent(jobId) == null) {
            readFromStore(jobId, callback);
        } else {
            unfinishedRecords.awaitRevalidation(result -> onRevalidated(jobId, result, callback));
        }
    }

    private void onRevalidated(
            String jobId,
            JobRecordCache.RevalidationResult revalidationResult,
            Consumer<JobReadResult> callback) {
        JobRecord finalRecord = finalRecords.getIfPresent(jobId);
        JobRecord unfinished = unfinishedRecords.getIfPresent(jobId);
        if (finalRecord != null) {
            callback.accept(new JobReadResult.Present(finalRecord));
        } else if (revalidationResult == JobRecordCache.RevalidationResult.UNAVAILABLE) {
            callback.accept(new JobReadResult.Unavailable());
        } else if (revalidationResult == JobRecordCache.RevalidationResult.CURRENT
                && unfinished != null) {
            callback.accept(new JobReadResult.Present(unfinished));
        } else {
            readFromStore(jobId, callback);
        }
    }

    private void readFromStore(String jobId, Consumer<JobReadResult> callback) {
        long epoch = unfinishedRecords.epoch();
        store.get(
                StateStoreKeys.jobKey(jobId),
                result -> callback.accept(decodeAndCache(jobId, result, epoch)));
    }

    private JobReadResult decodeAndCache(
            String jobId, StateStoreResult<StoredRecord> result, long requestEpoch) {
        if (result.isRejectedFor(StateStoreResult.Reason.NOT_FOUND)) {
            return new JobReadResult.Absent();
        }
        if (!(result instanceof StateStoreResult.Success<StoredRecord> success)) {
            return new JobReadResult.Unavailable();
        }
        try {
            JobRecord record = RecordCodec.decodeJob(success.value());
            if (record.status().isFinal()) {
                onFinalRecord(record);
            } else {
                unfinishedRecords.onRead(record, requestEpoch);
            }
            return new JobReadResult.Present(record);
        } catch (MalformedMessageException e) {
            LOG.error("malformed job record: job={} error={}", jobId, e.getMessage());
            return new JobReadResult.Undecodable();
        }
    }

    private void onFinalRecord(JobRecord record) {
        finalRecords.put(record.id(), record.withoutSpec());
        unfinishedRecords.invalidate(record.id());
    }
}
