package io.kelphoist.admission;

import io.kelphoist.model.JobRecord;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps the job states that this controller has recently reported, so that no older state is
 * reported afterwards (monotonic reads). A read may take seconds, while the result of a read that
 * was sent later arrives and is reported within milliseconds; the result of the first read is then
 * outdated.
 *
 * <p>Each job has at most one entry; entries are evicted by number and by age. If a read was sent
 * before the newest evicted entry was reported, its result may be older than an evicted entry, so
 * it is replaced by {@link JobReadResult.Unavailable}. Performs no I/O; all times are seconds of
 * the event loop's monotonic clock.
 */
final class MonotonicReads {
    /** Maximum number of jobs whose last reported state is kept. */
    static final int MAX_ENTRIES = 4000;

    /** Time for which a reported state is kept. Longer than any read takes. */
    static final double RETENTION_SECONDS = 20;

    /** The newest reported record of a job, and when it was first reported. */
    private record Entry(JobRecord record, double reportedAtSeconds) {}

    /** By job id, the oldest entry first. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** When the newest of the evicted entries was reported. */
    private double newestEvictedReportedAtSeconds = Double.NEGATIVE_INFINITY;

    /** Records that this job record is about to be reported to a user. */
    void recordResponse(JobRecord record, double nowSeconds) {
        Entry previous = entries.get(record.id());
        if (previous == null || previous.record.version() < record.version()) {
            entries.remove(record.id());
            entries.put(record.id(), new Entry(record, nowSeconds));
        }
        evict(nowSeconds);
    }

    private void evict(double nowSeconds) {
        for (Iterator<Entry> iterator = entries.values().iterator(); iterator.hasNext(); ) {
            Entry oldest = iterator.next();
            if (entries.size() <= MAX_ENTRIES
                    && oldest.reportedAtSeconds >= nowSeconds - RETENTION_SECONDS) {
                break;
            }
            newestEvictedReportedAtSeconds =
                    Math.max(newestEvictedReportedAtSeconds, oldest.reportedAtSeconds);
            iterator.remove();
        }
    }

    /**
     * Returns what may be reported, given the result of a read: the result, the last reported
     * record if that is newer or the result has no record, or {@link JobReadResult.Unavailable} if
     * the result may be older than an evicted entry. A result that is final or unavailable is
     * returned unchanged.
     *
     * @param requestedAtSeconds a time before the read was sent
     */
    JobReadResult ensureMonotonic(String jobId, JobReadResult result, double requestedAtSeconds) {
        JobRecord record =
                result instanceof JobReadResult.Present present ? present.record() : null;
        boolean isFinal = record != null && record.status().isFinal();
        if (isFinal || result instanceof JobReadResult.Unavailable) {
            return result;
        }
        Entry previous = entries.get(jobId);
        if (previous != null) {
            return record != null && record.version() >= previous.record.version()
                    ? result
                    : new JobReadResult.Present(previous.record);
        }
        return requestedAtSeconds <= newestEvictedReportedAtSeconds
                ? new JobReadResult.Unavailable()
                : result;
    }
}
