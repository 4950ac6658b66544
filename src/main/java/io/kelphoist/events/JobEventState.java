package io.kelphoist.events;

import io.kelphoist.model.JobRecord;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The job state that a controller's subscriptions are served from. Owns the log of stored records,
 * the revision up to which the log is complete, whether the state store is reachable, and the
 * latest transient event of each unfinished job. Confined to the event thread.
 */
final class JobEventState {
    private static final long NOTHING_READ = -1;

    private final CompactedJobLog jobLog;
    private final int maxEndedJobs;
    private final Map<String, TransientEvent> latestTransientEvents = new HashMap<>();
    private long appliedRevision = NOTHING_READ;
    private boolean storeReachable = true;

    JobEventState(int maxEndedJobs) {
        this.maxEndedJobs = maxEndedJobs;
        this.jobLog = new CompactedJobLog(maxEndedJobs);
    }

    CompactedJobLog jobLog() {
        return jobLog;
    }

    /** Returns the revision up to which the log is complete; negative before the first read. */
    long appliedRevision() {
        return appliedRevision;
    }

    /** Whether records have been read from the state store at least once. */
    boolean hasRecords() {
        return appliedRevision >= 0;
    }

    /** Notes that the log is complete up to a revision; a lower revision has no effect. */
    void advanceTo(long revision) {
        appliedRevision = Math.max(appliedRevision, revision);
    }

    boolean storeReachable() {
        return storeReachable;
    }

    /** Sets whether the state store is reachable; returns false if the value did not change. */
    boolean setStoreReachable(boolean isReachable) {
        boolean changed = storeReachable != isReachable;
        storeReachable = isReachable;
        return changed;
    }

    /**
     * Adds a record to the log.
     *
     * @return false if the log already has the final record of the job, or one of at least the same
     *     version
     */
    boolean applyRecord(JobRecord record) {
        if (!jobLog.put(record)) {
            return false;
        }
        if (record.status().isFinal()) {
            latestTransientEvents.remove(record.id());
        }
        return true;
    }

    /** Sets the job's latest transient event; returns false if the job has ended. */
    boolean applyTransientEvent(TransientEvent event) {
        JobRecord record = jobLog.get(event.jobId());
        if (record != null && record.status().isFinal()) {
            return false;
        }
        latestTransientEvents.put(event.jobId(), event);
        return true;
    }

    /** Replaces the latest transient events of all jobs. */
    void resetTransientEvents(Collection<TransientEvent> events) {
        latestTransientEvents.clear();
        events.forEach(this::applyTransientEvent);
    }

    /** Returns a job's latest transient event, or null if it has none. */
    TransientEvent latestTransientEvent(String jobId) {
        return latestTransientEvents.get(jobId);
    }

    /**
     * Drops the events of jobs that have no record in the log, once there are many events. Such a
     * record may never arrive, because the job may have ended and been evicted from the log.
     */
    void dropEventsWithoutRecord() {
        if (latestTransientEvents.size() > 2 * jobLog.size() + maxEndedJobs) {
            latestTransientEvents.keySet().removeIf(jobId -> jobLog.get(jobId) == null);
        }
    }
}
