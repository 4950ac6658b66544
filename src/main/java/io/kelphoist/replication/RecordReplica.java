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
 * A passive replica of records in the state store: unfinished and recently cancelled jobs with
 * their specs, recently done jobs without, pages of task starts and of done tasks, and lease
 * delegations. Every controller keeps one, so that a new leader does not have to read all records.
 *
 * <p>For each key the newest version wins, in whatever order versions are applied. Memory does not
 * grow with the number of jobs that have ever ended: done jobs are evicted, and the state store is
 * queried if another job depends on an evicted one. Performs no I/O. Not thread-safe.
 */
public final class RecordReplica {
    /**
     * Kinds of records. Each has its own key prefix in the state store and is watched separately.
     */
    public enum RecordKind {
        JOBS,
        PROGRESS,
        STARTS,
        DELEGATIONS
    }

    /** A value, and the revision of the state store at which it was last changed. */
    public record Versioned<V>(V value, long version) {}

    /** Maximum number of done jobs that are kept: as many as the scheduler keeps. */
    public static final int MAX_DONE_JOBS = 20_000;

    /**
     * Number of cancelled jobs that are kept at any age. If there are more, the oldest are evicted
     * once their tasks can no longer be running; this is checked when a cancellation is applied.
     */
    public static final int MIN_CANCELLED_JOBS = 5_000;

    /**
     * How long a cancelled job's tasks may still be running: several times the longest duration of
     * a cancellation or a worker lease.
     */
    private static final double CANCELLED_RETENTION_SECONDS = 900;

    private static final long NOT_LOADED_REVISION = -1;

    /** A cancelled job, and when its cancellation was applied to this replica. */
    private record CancelledJob(JobRecord record, double appliedAtSeconds) {}

    private final Map<String, JobRecord> unfinishedJobs = new LinkedHashMap<>();

    /** In the order in which they were applied, oldest first. */
    private final Map<String, JobRecord> doneJobs = new LinkedHashMap<>();

    /** In the order in which they were applied, oldest first. */
    private final Map<String, CancelledJob> cancelledJobs = new LinkedHashMap<>();

    private final TreeMap<Integer, Versioned<List<TaskProgress>>> progressPages = new TreeMap<>();
    private final TreeMap<Integer, Versioned<List<RecordedStart>>> startPages = new TreeMap<>();
    private final Map<String, Versioned<Double>> delegations = new HashMap<>();
    private final EnumMap<RecordKind, Long> revisions = new EnumMap<>(RecordKind.class);

    // ---- updates ----

    /** Removes all records of a kind, before a new snapshot of them is applied. */
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

    /** All records of a kind have been applied as of a revision. A lower revision is ignored. */
    public void advanceRevision(RecordKind kind, long revision) {
        revisions.merge(kind, revision, Math::max);
    }

    /**
     * Applies a job's record, unless the replica has the same or a newer version.
     *
     * @param nowSeconds current time of the event loop's clock
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

    /** Keeps the spec, because the job's tasks are charged to its team until they have stopped. */
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

    /** Returns a job's record; null if the replica has none. */
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

    /** Applies a page of completed tasks, unless the replica has a newer version. */
    public void applyProgressPage(int page, List<TaskProgress> progress, long version) {
        putIfNewer(progressPages, page, progress, version);
    }

    /** Applies a page of task starts, unless the replica has a newer version. */
    public void applyStartPage(int page, List<RecordedStart> starts, long version) {
        putIfNewer(startPages, page, starts, version);
    }

    /**
     * Applies the record of a lease delegation, unless the replica has a newer version.
     *
     * @param controller the delegate
     * @param startsAtMillis latest start of the delegation by the wall clock; NaN if the record was
     *     cleared
     * @param version revision at which the record was last changed
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
     * Returns the revision as of which the records of all kinds are loaded.
     *
     * @return the lowest revision of all kinds; negative if some kind is not loaded
     */
    public long oldestRevision() {
        if (revisions.size() < RecordKind.values().length) {
            return NOT_LOADED_REVISION;
        }
        return Collections.min(revisions.values());
    }

    /** Returns all jobs: the done ones first, then the cancelled, then the unfinished ones. */
    public Collection<JobRecord> allJobs() {
        List<JobRecord> all = new ArrayList<>(doneJobs.values());
        cancelledJobs.values().forEach(job -> all.add(job.record));
        all.addAll(unfinishedJobs.values());
        return all;
    }

    /**
     * Returns whether a job was cancelled. False for a cancelled job that was evicted, whose tasks
     * can no longer be running.
     */
    public boolean isCancelled(String jobId) {
        return cancelledJobs.containsKey(jobId);
    }

    /** Returns the completed tasks, by page number. */
    public Map<Integer, Versioned<List<TaskProgress>>> progressPages() {
        return Collections.unmodifiableMap(progressPages);
    }

    /** Returns the task starts, by page number. */
    public Map<Integer, Versioned<List<RecordedStart>>> startPages() {
        return Collections.unmodifiableMap(startPages);
    }

    /**
     * Returns the latest start of each controller's lease delegation, by the name of the
     * controller, in milliseconds of the wall clock; NaN where the record was cleared.
     */
    public Map<String, Versioned<Double>> delegations() {
        return Collections.unmodifiableMap(delegations);
    }

    /** Returns the jobs that are neither done nor cancelled. */
    public Collection<JobRecord> unfinishedJobs() {
        return Collections.unmodifiableCollection(unfinishedJobs.values());
    }

    /** Returns the number of jobs that are neither done nor cancelled. */
    public int unfinishedJobCount() {
        return unfinishedJobs.size();
    }
}
