package io.kelphoist.events;

import io.kelphoist.model.JobRecord;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The stored job records in the order of their positions, compacted: each job has one entry, at the
 * position of its last change. The final record of a job replaces the record of its acceptance, so
 * a subscription that has not reached the acceptance receives only the final event. All unfinished
 * jobs are kept, and a bounded number of the jobs that ended last.
 */
final class CompactedJobLog {
    private final int maxEndedJobs;
    private final Map<String, JobRecord> jobs = new HashMap<>();
    private final TreeMap<LogPosition, JobRecord> unfinished = new TreeMap<>();
    private final TreeMap<LogPosition, JobRecord> ended = new TreeMap<>();
    private LogPosition evictedUpTo = LogPosition.START;

    CompactedJobLog(int maxEndedJobs) {
        this.maxEndedJobs = maxEndedJobs;
    }

    /** Returns the position of a record. */
    static LogPosition positionOf(JobRecord record) {
        return new LogPosition(record.version(), record.id());
    }

    /**
     * Adds a record, which replaces the job's previous one.
     *
     * @return false if the log already has the job's final record, or one of at least the same
     *     version
     */
    boolean put(JobRecord record) {
        JobRecord previous = jobs.get(record.id());
        if (previous != null) {
            if (previous.version() >= record.version() || previous.status().isFinal()) {
                return false;
            }
            unfinished.remove(positionOf(previous));
        }
        jobs.put(record.id(), record);
        (record.status().isFinal() ? ended : unfinished).put(positionOf(record), record);
        evictEndedJobs();
        return true;
    }

    private void evictEndedJobs() {
        while (ended.size() > maxEndedJobs) {
            Map.Entry<LogPosition, JobRecord> oldest = ended.pollFirstEntry();
            if (oldest.getKey().isAfter(evictedUpTo)) {
                evictedUpTo = oldest.getKey();
            }
            jobs.remove(oldest.getValue().id());
        }
    }

    /** Returns a job's record, or null if the log has none. */
    JobRecord get(String jobId) {
        return jobs.get(jobId);
    }

    /**
     * Returns the position up to which ended jobs may have been evicted. A subscription whose
     * position is before it can't be served from the log alone.
     */
    LogPosition evictedUpTo() {
        return evictedUpTo;
    }

    /** Returns the first record after a position, or null if there is none. */
    JobRecord firstAfter(LogPosition position) {
        Map.Entry<LogPosition, JobRecord> nextUnfinished = unfinished.higherEntry(position);
        Map.Entry<LogPosition, JobRecord> nextEnded = ended.higherEntry(position);
        if (nextUnfinished == null) {
            return valueOf(nextEnded);
        }
        if (nextEnded == null || nextUnfinished.getKey().isBefore(nextEnded.getKey())) {
            return nextUnfinished.getValue();
        }
        return nextEnded.getValue();
    }

    /** Returns the first record of an unfinished job after a position, or null if there is none. */
    JobRecord firstUnfinishedAfter(LogPosition position) {
        return valueOf(unfinished.higherEntry(position));
    }

    private static JobRecord valueOf(Map.Entry<LogPosition, JobRecord> entry) {
        return entry == null ? null : entry.getValue();
    }

    /** Returns the number of jobs in the log. */
    int size() {
        return jobs.size();
    }
}
