package io.kelphoist.events;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Iterates over the stored records that match a subscription's filter, in the order of their
 * positions. It looks up the next one only when the subscriber is ready, instead of queueing
 * changes as they arrive, so that none is lost or delivered twice.
 *
 * <p>Owns the subscription's position. Records come from three sources: for a filter by job ids,
 * from the records of the named jobs, which the iterator keeps itself; otherwise from the log of
 * all jobs; and before that from a backlog, if the log no longer has all records after the
 * position.
 */
final class RecordIterator {
    private final SubscriptionFilter filter;
    private LogPosition position;

    /** Jobs that had ended by this revision are not delivered. */
    private long startRevision;

    /** By job id: the records of the named jobs whose final record was not returned yet. */
    private final Map<String, JobRecord> namedJobs = new HashMap<>();

    /** Ids of the named jobs whose final record is at or before the position. */
    private final Set<String> endedJobs = new HashSet<>();

    /** Records read from the state store for this iterator; null if it needs none. */
    private TreeMap<LogPosition, JobRecord> backlog;

    /** The revision up to which the backlog is complete. */
    private long backlogRevision;

    RecordIterator(SubscriptionFilter filter, LogPosition position, long startRevision) {
        this.filter = filter;
        this.position = position;
        this.startRevision = startRevision;
    }

    /**
     * Returns the position up to which all selected records were returned; at first, the position
     * of the cursor that the subscription resumed from.
     */
    LogPosition position() {
        return position;
    }

    /** Returns the revision at which the subscription started. */
    long startRevision() {
        return startRevision;
    }

    /** Sets the start revision; jobs that had ended by then are not delivered. */
    void startAt(long revision) {
        startRevision = revision;
    }

    /**
     * Adds the record of a job that the filter names, which the log may have evicted. Of several
     * records of a job, the one with the highest version is kept. If the record is final and not
     * after the position, its job counts as ended.
     */
    void addNamedJob(JobRecord record) {
        JobRecord previous = namedJobs.get(record.id());
        if (previous == null || previous.version() < record.version()) {
            namedJobs.put(record.id(), record);
        }
        if (record.status().isFinal() && !CompactedJobLog.positionOf(record).isAfter(position)) {
            endedJobs.add(record.id());
        }
    }

    /**
     * Whether final records may be missing, because the log has evicted ended jobs after the
     * position and the backlog does not include them. For a filter by job ids none can be missing,
     * as the iterator holds the records itself.
     */
    boolean mayHaveMissedFinalEvents(LogPosition evictedUpTo) {
        LogPosition completeUpTo = backlog == null ? position : LogPosition.endOf(backlogRevision);
        return filter instanceof SubscriptionFilter.ByOwner
                && completeUpTo.isBefore(evictedUpTo)
                && startRevision < evictedUpTo.revision();
    }

    /**
     * Sets the backlog, which is returned before the records of the log.
     *
     * @param revision the revision up to which the records are complete
     * @param records all stored records; those newer than the revision are ignored
     */
    void loadBacklog(long revision, Iterable<JobRecord> records) {
        backlog = new TreeMap<>();
        backlogRevision = revision;
        for (JobRecord record : records) {
            if (isSelected(record) && record.version() <= revision) {
                LogPosition recordPosition = CompactedJobLog.positionOf(record);
                if (recordPosition.isAfter(position)) {
                    backlog.put(recordPosition, record);
                }
            }
        }
    }

    private boolean isSelected(JobRecord record) {
        boolean endedBeforeStart = record.status().isFinal() && record.version() <= startRevision;
        return filter.matches(record.id(), record.owner()) && !endedBeforeStart;
    }

    /** Drops all records that the iterator holds; the position does not change. */
    void clear() {
        backlog = null;
        namedJobs.clear();
    }

    /** Whether the filter names jobs, and the final records of all of them were returned. */
    boolean isComplete() {
        return filter instanceof SubscriptionFilter.ByJobIds byJobIds
                && endedJobs.containsAll(byJobIds.jobIds());
    }

    /**
     * Returns the next record and advances the position to it.
     *
     * @param appliedRevision the revision up to which the log is complete; no record after it is
     *     returned
     * @return null if there is no such record yet
     */
    JobRecord next(CompactedJobLog log, long appliedRevision) {
        JobRecord record = findNext(log, appliedRevision);
        if (record == null) {
            return null;
        }
        position = CompactedJobLog.positionOf(record);
        if (backlog != null) {
            backlog.remove(position);
        }
        if (record.status().isFinal() && filter instanceof SubscriptionFilter.ByJobIds) {
            endedJobs.add(record.id());
            namedJobs.remove(record.id());
        }
        return record;
    }

    /**
     * Returns the next record, or null if there is none yet. May advance the position past records
     * that are not selected, but not to the returned one.
     */
    private JobRecord findNext(CompactedJobLog log, long appliedRevision) {
        if (backlog != null) {
            if (!backlog.isEmpty()) {
                return backlog.firstEntry().getValue();
            }
            finishBacklog();
        }
        return filter instanceof SubscriptionFilter.ByJobIds
                ? findNextNamed(appliedRevision)
                : findNextInLog(log, appliedRevision);
    }

    private void finishBacklog() {
        LogPosition end = LogPosition.endOf(backlogRevision);
        position = end.isAfter(position) ? end : position;
        backlog = null;
    }

    /** Returns the first record of a named job after the position, or null if there is none. */
    private JobRecord findNextNamed(long appliedRevision) {
        JobRecord first = null;
        for (JobRecord record : namedJobs.values()) {
            if (record.version() <= appliedRevision) {
                first = firstAfter(position, first, record);
            }
        }
        return first;
    }

    private JobRecord findNextInLog(CompactedJobLog log, long appliedRevision) {
        LogPosition startPosition = LogPosition.endOf(startRevision);
        while (true) {
            boolean beforeStart = position.isBefore(startPosition);
            JobRecord record =
                    beforeStart ? log.firstUnfinishedAfter(position) : log.firstAfter(position);
            if (beforeStart && (record == null || record.version() > startRevision)) {
                if (startRevision > appliedRevision) {
                    // The subscription started at a controller that had applied a later revision.
                    // This log does not have all jobs yet that were unfinished at that revision and
                    // that the other controller may have delivered.
                    return null;
                }
                position = startPosition;
            } else if (record == null || record.version() > appliedRevision) {
                return null;
            } else if (filter.matches(record.id(), record.owner())) {
                return record;
            } else {
                position = CompactedJobLog.positionOf(record);
            }
        }
    }

    /**
     * Returns the first record of an unfinished job after a position: for a filter by job ids, of
     * the named jobs; for a filter by owner, of all jobs, including those that it does not select.
     *
     * @return null if there is none
     */
    JobRecord firstUnfinishedAfter(LogPosition lowerBound, CompactedJobLog log) {
        if (!(filter instanceof SubscriptionFilter.ByJobIds)) {
            return log.firstUnfinishedAfter(lowerBound);
        }
        JobRecord first = null;
        for (JobRecord record : namedJobs.values()) {
            if (record.status() == JobStatus.ACTIVE) {
                first = firstAfter(lowerBound, first, record);
            }
        }
        return first;
    }

    /**
     * Returns the candidate if it is after the lower bound and before {@code first}, otherwise
     * {@code first}.
     */
    private static JobRecord firstAfter(
            LogPosition lowerBound, JobRecord first, JobRecord candidate) {
        LogPosition candidatePosition = CompactedJobLog.positionOf(candidate);
        boolean isFirst =
                candidatePosition.isAfter(lowerBound)
                        && (first == null
                                || candidatePosition.isBefore(CompactedJobLog.positionOf(first)));
        return isFirst ? candidate : first;
    }
}
