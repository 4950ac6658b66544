package io.kelphoist.admission;

import io.kelphoist.model.JobRecord;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the job states that this controller has recently reported, so that none older is
 * reported afterwards (monotonic reads). A read may take seconds, while a read that was sent later
 * is answered and reported within milliseconds; the result of the first is then outdated.
 *
 * <p>The list is bounded: a read that was sent before the newest dropped entry can't be judged and
 * is discarded. No I/O; all times are seconds of the event loop's monotonic clock.
 */
final class MonotonicReads {
    /** The number of jobs that are remembered. */
    static final int MAX_ENTRIES = 4000;

    /** Longer than any read is under way. */
    static final double RETENTION_SECONDS = 20;

    private record Response(JobRecord record, double reportedAtSeconds) {}

    /** By job, oldest first. */
    private final Map<String, Response> responses = new LinkedHashMap<>();

    private double newestEvictedReportedAtSeconds = Double.NEGATIVE_INFINITY;

    /** Remembers that this record is about to be reported to a user. */
    void recordResponse(JobRecord record, double nowSeconds) {
        Response previous = responses.get(record.id());
        if (previous == null || previous.record.version() < record.version()) {
            responses.remove(record.id());
            responses.put(record.id(), new Response(record, nowSeconds));
        }
        evict(nowSeconds);
    }

    private void evict(double nowSeconds) {
        for (Iterator<Response> iterator = responses.values().iterator(); iterator.hasNext(); ) {
            Response oldest = iterator.next();
            if (responses.size() <= MAX_ENTRIES
                    && oldest.reportedAtSeconds >= nowSeconds - RETENTION_SECONDS) {
                break;
            }
            newestEvictedReportedAtSeconds =
                    Math.max(newestEvictedReportedAtSeconds, oldest.reportedAtSeconds);
            iterator.remove();
        }
    }

    /**
     * Returns what may be reported on the result of a read: the result, what was reported before if
     * that is newer, or {@link JobReadResult.Unavailable} if neither is certain.
     *
     * @param askedAtSeconds a time before the read was sent
     */
    JobReadResult ensureMonotonic(String jobId, JobReadResult result, double askedAtSeconds) {
        JobRecord record =
                result instanceof JobReadResult.Present present ? present.record() : null;
        boolean isFinal = record != null && record.status().isFinal();
        if (isFinal || result instanceof JobReadResult.Unavailable) {
            return result;
        }
        Response previous = responses.get(jobId);
        if (previous != null) {
            return record != null && record.version() >= previous.record.version()
                    ? result
                    : new JobReadResult.Present(previous.record);
        }
        return askedAtSeconds <= newestEvictedReportedAtSeconds
                ? new JobReadResult.Unavailable()
                : result;
    }
}
