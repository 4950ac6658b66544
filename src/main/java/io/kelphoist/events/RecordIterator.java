package io.kelphoist.events;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Walks the stored records that match a subscription's filter, in the order of their positions. No
 * record is queued: the walk looks for the next one whenever its subscriber takes more, so that
 * none is lost or delivered twice.
 *
 * <p>Owns the subscription's position. Records come from three places: for a filter by job ids from
 * the named jobs' records, which the walk keeps itself; otherwise from the log of all jobs; and
 * from a backlog if the log does not reach back to the position.
 */
final class RecordIterator {
    private final SubscriptionFilter filter;
    private LogPosition position;

    /** Jobs that had ended by this revision are not delivered. */
    private long startRevision;

    /** By id: the records of the jobs that the filter names, without those whose end was passed. */
    private final Map<String, JobRecord> namedJobs = new HashMap<>();

    /** Ids of the named jobs whose end was passed. */
    private final Set<String> endedJobs = new HashSet<>();

    /** Records read for this walk alone, up to {@link #backlogRevision}; null if there are none. */
    private TreeMap<LogPosition, JobRecord> backlog;

    private long backlogRevision;

    RecordIterator(SubscriptionFilter filter, LogPosition position, long startRevision) {
        this.filter = filter;
        this.position = position;
        this.startRevision = startRevision;
    }

    /** Returns the position of the last record that was passed. */
    LogPosition position() {
        return position;
    }

    /** Returns the revision at which the subscription began. */
    long startRevision() {
        return startRevision;
    }

    /** Leaves out jobs that had ended by this revision. */
    void startAt(long revision) {
        startRevision = revision;
    }

    /** Takes the record of a job that the filter names, whatever its age. */
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
     * Whether the walk may have missed ends, as the log has evicted ended jobs after its position.
     */
    boolean mayHaveMissedFinalEvents(LogPosition evictedUpTo) {
        LogPosition knownUpTo = backlog == null ? position : LogPosition.endOf(backlogRevision);
        return filter instanceof SubscriptionFilter.ByOwner
                && knownUpTo.isBefore(evictedUpTo)
                && startRevision < evictedUpTo.revision();
    }

    /** Takes all records as they were stored at a revision, to be walked before the log. */
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

    /** Drops the records that are kept; the position stays. */
    void clear() {
        backlog = null;
        namedJobs.clear();
    }

    /** Whether the filter names jobs and the ends of all of them were passed. */
    boolean isComplete() {
        return filter instanceof SubscriptionFilter.ByJobIds byJobIds
                && endedJobs.containsAll(byJobIds.jobIds());
    }

    /**
     * Returns the next record and moves past it.
     *
     * @param appliedRevision the revision up to which the log is complete; no record after it is
     *     returned
     * @return null if there is none
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

    /** Returns the next record without moving to it, or null if there is none yet. */
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

    /** Returns the first named job's record after the position, or null if there is none. */
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
                    // The subscription began at a controller that knew more; what it delivered as
                    // unfinished is not known here yet.
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
     * Returns the first record of an unfinished job after a position, of the jobs that the filter
     * selects or, for a filter by owner, of all jobs.
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

    /** Returns the candidate if it is after the lower bound and before {@code first}. */
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
