package io.kelphoist.replication;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.RecordedStart;
import io.kelphoist.model.TaskProgress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A passive replica of the records at the state store: unfinished jobs with their specs, recently
 * ended ones without, pages of starts and of completed tasks, and delegations. Every controller
 * keeps one, so that a new leader need not read all records.
 *
 * <p>For each key the newest version that was applied wins, in whatever order versions arrive.
 * Memory does not grow with the number of jobs that ever ended: of a done job that was evicted, the
 * state store is asked if another job depends on it. Pure; confined to one thread.
 */
public final class RecordReplica {
    /** The kinds of record, each of which is followed by itself. */
    public enum RecordKind {
        JOBS,
        PROGRESS,
        STARTS,
        DELEGATIONS
    }

    /** A value with the revision of its last change. */
    public record Versioned<V>(V value, long version) {}

    /** Most done jobs that are kept: as many as the scheduler keeps. */
    public static final int MAX_DONE_JOBS = 20_000;

    /** Cancelled jobs that are kept at any age; of more only those that may still have tasks. */
    public static final int MIN_CANCELLED_JOBS = 5_000;

    /** Several times the longest duration of a cancellation or a lease. */
    private static final double CANCELLED_RETENTION_SECONDS = 900;

    private static final long NOT_LOADED_REVISION = -1;

    /** A cancelled job, and when its cancellation was applied. */
    private record CancelledJob(JobRecord record, double appliedAtSeconds) {}

    private final Map<String, JobRecord> unfinishedJobs = new LinkedHashMap<>();

    /** Oldest first. */
    private final Map<String, JobRecord> doneJobs = new LinkedHashMap<>();

    /** Oldest first. */
    private final Map<String, CancelledJob> cancelledJobs = new LinkedHashMap<>();

    private final TreeMap<Integer, Versioned<List<TaskProgress>>> progressPages = new TreeMap<>();
    private final TreeMap<Integer, Versioned<List<RecordedStart>>> startPages = new TreeMap<>();
    private final Map<String, Versioned<Double>> delegations = new HashMap<>();
    private final EnumMap<RecordKind, Long> revisions = new EnumMap<>(RecordKind.class);

    // ---- updates ----

    /** Removes all records of a kind, before all of them are applied again. */
    public void clear(RecordKind kind) {
        revisions.remove(kind);
        switch (kind) {
            case JOBS -> {
                unfinishedJobs.clear();
                doneJobs.clear();
                cancelledJobs.clear();
            }
            case PROGRESS -> progressPages.clear();
            case STARTS -> startPages.clear();
            case DELEGATIONS -> delegations.clear();
        }
    }

    /** All records of a kind were applied as of a revision. */
    public void advanceRevision(RecordKind kind, long revision) {
        revisions.merge(kind, revision, Math::max);
    }

    /**
     * Applies a job's record.
     *
     * @param nowSeconds the event loop's clock
     */
    public void applyJob(JobRecord record, double nowSeconds) {
        JobRecord current = findJob(record.id());
        if (current != null && current.version() >= record.version()) {
            return;
        }
        switch (record.status()) {
            case ACTIVE -> unfinishedJobs.put(record.id(), record);
            case DONE -> applyDoneJob(record);
            case CANCELLED -> applyCancelledJob(record, nowSeconds);
        }
    }

    private void applyDoneJob(JobRecord record) {
        unfinishedJobs.remove(record.id());
        doneJobs.put(record.id(), record.withoutSpec());
        if (doneJobs.size() > MAX_DONE_JOBS) {
            removeOldest(doneJobs);
        }
    }

    /** Keeps the spec: tasks of the job count until they have stopped. */
    private void applyCancelledJob(JobRecord record, double nowSeconds) {
        unfinishedJobs.remove(record.id());
        cancelledJobs.put(record.id(), new CancelledJob(record, nowSeconds));
        double expiredBeforeSeconds = nowSeconds - CANCELLED_RETENTION_SECONDS;
        while (cancelledJobs.size() > MIN_CANCELLED_JOBS
                && cancelledJobs.values().iterator().next().appliedAtSeconds
                        < expiredBeforeSeconds) {
            removeOldest(cancelledJobs);
        }
    }

    /** Returns a job's record; null if it has none here. */
    private JobRecord findJob(String jobId) {
        JobRecord record = unfinishedJobs.get(jobId);
        if (record == null) {
            record = doneJobs.get(jobId);
        }
        if (record == null && cancelledJobs.containsKey(jobId)) {
            record = cancelledJobs.get(jobId).record;
        }
        return record;
    }

    private static void removeOldest(Map<String, ?> oldestFirst) {
        oldestFirst.remove(oldestFirst.keySet().iterator().next());
    }

    /** Applies a page of completed tasks. */
    public void applyProgressPage(int page, List<TaskProgress> progress, long version) {
        putIfNewer(progressPages, page, progress, version);
    }

    /** Applies a page of starts. */
    public void applyStartPage(int page, List<RecordedStart> starts, long version) {
        putIfNewer(startPages, page, starts, version);
    }

    /**
     * Applies the record of a delegation.
     *
     * @param startsAtMillis latest start of the delegation by the wall clock; NaN if there is none
     */
    public void applyDelegation(String controller, double startsAtMillis, long version) {
        putIfNewer(delegations, controller, startsAtMillis, version);
    }

    private static <K, V> void putIfNewer(
            Map<K, Versioned<V>> target, K key, V value, long version) {
        Versioned<V> current = target.get(key);
        if (current == null || current.version <= version) {
            target.put(key, new Versioned<>(value, version));
        }
    }

    // ---- reads ----

    /**
     * Returns the revision as of which all kinds are known.
     *
     * @return the oldest one of all kinds; negative if some kind is not known
     */
    public long oldestRevision() {
        if (revisions.size() < RecordKind.values().length) {
            return NOT_LOADED_REVISION;
        }
        return Collections.min(revisions.values());
    }

    /** All jobs: first the done ones, then the cancelled and the unfinished ones. */
    public Collection<JobRecord> allJobs() {
        List<JobRecord> all = new ArrayList<>(doneJobs.values());
        cancelledJobs.values().forEach(job -> all.add(job.record));
        all.addAll(unfinishedJobs.values());
        return all;
    }

    /** Whether a job was cancelled, not so long ago that this no longer matters. */
    public boolean isCancelled(String jobId) {
        return cancelledJobs.containsKey(jobId);
    }

    /** Completed tasks by page. */
    public Map<Integer, Versioned<List<TaskProgress>>> progressPages() {
        return Collections.unmodifiableMap(progressPages);
    }

    /** Starts by page. */
    public Map<Integer, Versioned<List<RecordedStart>>> startPages() {
        return Collections.unmodifiableMap(startPages);
    }

    /** Latest start of each controller's delegation, by the wall clock in milliseconds. */
    public Map<String, Versioned<Double>> delegations() {
        return Collections.unmodifiableMap(delegations);
    }

    /** Jobs that are neither done nor cancelled. */
    public Collection<JobRecord> unfinishedJobs() {
        return Collections.unmodifiableCollection(unfinishedJobs.values());
    }

    /** Number of jobs that are neither done nor cancelled. */
    public int unfinishedJobCount() {
        return unfinishedJobs.size();
    }
}
