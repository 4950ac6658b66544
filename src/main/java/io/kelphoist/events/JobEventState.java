package io.kelphoist.events;

import io.kelphoist.model.JobRecord;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Owns what a controller knows of jobs for its subscriptions: the log of stored records, the
 * revision up to which it is complete, whether the state store is reachable, and the latest
 * transient event of each unfinished job. Confined to the events' thread.
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

    /** Returns the revision up to which the log is complete; negative if nothing was read yet. */
    long appliedRevision() {
        return appliedRevision;
    }

    /** Whether records were read from the store at all. */
    boolean hasRecords() {
        return appliedRevision >= 0;
    }

    /** The log is complete up to this revision. */
    void advanceTo(long revision) {
        appliedRevision = Math.max(appliedRevision, revision);
    }

    boolean storeReachable() {
        return storeReachable;
    }

    /** Changes whether the store is reachable; false if that is known already. */
    boolean setStoreReachable(boolean isReachable) {
        boolean changed = storeReachable != isReachable;
        storeReachable = isReachable;
        return changed;
    }

    /** Adds a record to the log; false if the log has as new a one of its job. */
    boolean applyRecord(JobRecord record) {
        if (!jobLog.put(record)) {
            return false;
        }
        if (record.status().isFinal()) {
            latestTransientEvents.remove(record.id());
        }
        return true;
    }

    /** Takes a transient event; false if its job has ended. */
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

    /** Returns a job's latest transient event, or null if there is none. */
    TransientEvent latestTransientEvent(String jobId) {
        return latestTransientEvents.get(jobId);
    }

    /**
     * Drops events of jobs without a record once there are many: the record may never come, as the
     * job may have ended and been evicted.
     */
    void dropEventsOfUnknownJobs() {
        if (latestTransientEvents.size() > 2 * jobLog.size() + maxEndedJobs) {
            latestTransientEvents.keySet().removeIf(jobId -> jobLog.get(jobId) == null);
        }
    }
}
