package io.kelphoist.events;

import io.kelphoist.model.JobRecord;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One client's subscription. The events of stored records are not buffered: a {@link
 * RecordIterator} looks up the next record when the subscriber is ready. It reads the log that all
 * subscriptions share, and itself holds only the records of the jobs that the filter names, and
 * those of a snapshot after {@link #loadBacklog}. Transient events are buffered, and their number
 * is bounded.
 *
 * <p>A resynchronization, after transient events may have been missed, goes again through the
 * unfinished jobs that the filter selects and whose acceptance was delivered. {@link EventDelivery}
 * delivers the latest transient event of each, and skips a job that has none.
 *
 * <p>Owns its state, its buffered events and the progress of its resynchronization. Confined to the
 * event thread.
 */
public final class Subscription {
    /** The states of a subscription. Only {@link #transitionTo} changes the state. */
    public enum State {
        /** The broker has not read any records from the state store yet. */
        AWAITING_STORE,
        /** All jobs are being read, because the log has evicted records that may be needed. */
        LOADING_SNAPSHOT,
        /** Events are delivered. */
        DELIVERING,
        /** No more events are delivered. */
        ENDED
    }

    /**
     * The number of updates from the state store with a lower revision than the cursor that are
     * tolerated, as this controller may lag behind the one that issued the cursor. One more ends
     * the subscription.
     */
    private static final int MAX_UPDATES_BEHIND_CURSOR = 3;

    private final SubscriptionFilter filter;
    private final long fingerprint;
    private final String clientName;
    private final Subscriber subscriber;
    private final boolean resumed;
    private final RecordIterator recordIterator;
    private State state = State.AWAITING_STORE;
    private int updatesBehindCursor;

    /** The time since which the subscriber has not been ready; NaN while it is ready. */
    private double stalledSinceSeconds = Double.NaN;

    private boolean turnScheduled;
    private boolean reportedStoreReachable = true;
    private ArrayDeque<JobEvent> transientEvents = new ArrayDeque<>();

    /** The progress of a resynchronization; null if none is in progress. */
    private LogPosition resyncPosition;

    /** The last position, inclusive, of the resynchronization; null before the first one. */
    private LogPosition resyncEnd;

    Subscription(
            SubscriptionFilter filter,
            Optional<Cursor> cursor,
            String clientName,
            Subscriber subscriber) {
        this.filter = filter;
        this.fingerprint = filter.fingerprint();
        this.clientName = clientName;
        this.subscriber = subscriber;
        this.resumed = cursor.isPresent();
        this.recordIterator =
                new RecordIterator(
                        filter,
                        cursor.map(Cursor::position).orElse(LogPosition.START),
                        cursor.map(Cursor::startRevision).orElse(0L));
    }

    /** Returns the current state. */
    public State state() {
        return state;
    }

    /** Changes the state; returns false if it is already that state, or {@code ENDED}. */
    boolean transitionTo(State next) {
        if (state == State.ENDED || state == next) {
            return false;
        }
        state = next;
        if (next == State.ENDED) {
            transientEvents.clear();
            recordIterator.clear();
        }
        return true;
    }

    SubscriptionFilter filter() {
        return filter;
    }

    String clientName() {
        return clientName;
    }

    Subscriber subscriber() {
        return subscriber;
    }

    /** Whether the client resumed from a cursor. */
    boolean isResumed() {
        return resumed;
    }

    /** Returns the cursor to resume from after the records delivered so far. */
    Cursor cursor() {
        return new Cursor(fingerprint, recordIterator.startRevision(), recordIterator.position());
    }

    // ---- readiness of the subscriber ----

    /** Whether the subscriber is ready; if it is not, notes since when. */
    boolean checkReady(double nowSeconds) {
        if (subscriber.isReady()) {
            stalledSinceSeconds = Double.NaN;
            return true;
        }
        if (Double.isNaN(stalledSinceSeconds)) {
            stalledSinceSeconds = nowSeconds;
        }
        return false;
    }

    /**
     * Whether the subscriber has not been ready for longer than the timeout, counted from the first
     * {@link #checkReady} that found it not ready.
     */
    boolean isStalled(double nowSeconds, double timeoutSeconds) {
        return nowSeconds - stalledSinceSeconds > timeoutSeconds;
    }

    /**
     * Marks the next turn of delivery, see {@link EventDelivery}, as scheduled.
     *
     * @return false if one was scheduled already
     */
    boolean reserveTurn() {
        boolean reserved = !turnScheduled;
        turnScheduled = true;
        return reserved;
    }

    /** Marks the scheduled turn as started, so that another one can be scheduled. */
    void beginTurn() {
        turnScheduled = false;
    }

    /**
     * Remembers the store's reachability as the one that the subscriber knows. Does not report it:
     * the caller must, if this method returns true. A new subscriber takes the store as reachable.
     *
     * @return true if the value differs from the one that the subscriber knew
     */
    boolean updateReportedReachability(boolean storeReachable) {
        boolean changed = reportedStoreReachable != storeReachable;
        reportedStoreReachable = storeReachable;
        return changed;
    }

    // ---- stored records ----

    /** Returns the revision at which the subscription started. */
    long startRevision() {
        return recordIterator.startRevision();
    }

    /** Sets the start revision; jobs that had ended by then are not delivered. */
    void startAt(long revision) {
        recordIterator.startAt(revision);
    }

    /**
     * Counts an update of the stored records if its revision is lower than the cursor's.
     *
     * @param appliedRevision the revision up to which the log is complete after the update
     * @return whether to end the subscription: the revision of this update is lower than the
     *     cursor's, and so was that of {@value #MAX_UPDATES_BEHIND_CURSOR} earlier updates or more.
     *     False for the first {@value #MAX_UPDATES_BEHIND_CURSOR}
     */
    boolean countUpdateBehindCursor(long appliedRevision) {
        long cursorRevision =
                Math.max(recordIterator.position().revision(), recordIterator.startRevision());
        if (cursorRevision <= appliedRevision) {
            return false;
        }
        updatesBehindCursor++;
        return updatesBehindCursor > MAX_UPDATES_BEHIND_CURSOR;
    }

    /** Adds the record of a job that the filter names, see {@link RecordIterator#addNamedJob}. */
    void addNamedJob(JobRecord record) {
        recordIterator.addNamedJob(record);
    }

    /** Whether the log may have evicted final records that the subscription has not delivered. */
    boolean mayHaveMissedFinalEvents(LogPosition evictedUpTo) {
        return recordIterator.mayHaveMissedFinalEvents(evictedUpTo);
    }

    /**
     * Sets the records of a snapshot, which are delivered before those of the log, see {@link
     * RecordIterator#loadBacklog}.
     */
    void loadBacklog(long revision, Collection<JobRecord> records) {
        recordIterator.loadBacklog(revision, records);
    }

    /** Returns the next record and advances past it, see {@link RecordIterator#next}. */
    JobRecord nextRecord(CompactedJobLog log, long appliedRevision) {
        return recordIterator.next(log, appliedRevision);
    }

    /**
     * Whether the filter names jobs, and the final records of all of them are at or before the
     * position. A resumed subscription may be complete without delivering an event.
     */
    boolean isComplete() {
        return recordIterator.isComplete();
    }

    // ---- transient events ----

    /**
     * Starts a resynchronization, because transient events may have been missed: discards the
     * buffered events, and lets {@link #nextResyncRecord} return the unfinished jobs that the
     * filter selects and whose acceptance was delivered. Restarts one that is in progress.
     */
    void startResync() {
        transientEvents.clear();
        resyncPosition = LogPosition.START;
        resyncEnd = recordIterator.position();
    }

    /**
     * Returns the next unfinished job of the resynchronization and advances past it, or null if it
     * is complete or none is in progress.
     */
    JobRecord nextResyncRecord(CompactedJobLog log) {
        while (resyncPosition != null) {
            JobRecord record = recordIterator.firstUnfinishedAfter(resyncPosition, log);
            if (record == null || CompactedJobLog.positionOf(record).isAfter(resyncEnd)) {
                resyncPosition = null;
                return null;
            }
            resyncPosition = CompactedJobLog.positionOf(record);
            if (filter.matches(record.id(), record.owner())) {
                return record;
            }
        }
        return null;
    }

    /**
     * Whether transient events of a job may be delivered now: its record was delivered, and no
     * resynchronization is about to deliver the job's latest transient event again.
     */
    private boolean acceptsTransientEvents(JobRecord record) {
        LogPosition recordPosition = CompactedJobLog.positionOf(record);
        boolean awaitsResync =
                resyncPosition != null
                        && recordPosition.isAfter(resyncPosition)
                        && !recordPosition.isAfter(resyncEnd);
        return !recordPosition.isAfter(recordIterator.position()) && !awaitsResync;
    }

    /**
     * Buffers a transient event of a job. Ignores the event if the job's record was not delivered
     * yet, because that event will have the latest numbers of tasks, or if a resynchronization has
     * yet to reach the job, because it will deliver the job's latest event. If there are more than
     * {@code maxEvents} buffered events, only the latest one of each job is kept.
     *
     * @return false if more than half of {@code maxEvents} are left even then, so that the
     *     subscription must be ended as too slow
     */
    boolean offer(JobRecord record, JobEvent event, int maxEvents) {
        if (!acceptsTransientEvents(record)) {
            return true;
        }
        transientEvents.add(event);
        if (transientEvents.size() <= maxEvents) {
            return true;
        }
        mergeTransientEvents();
        return transientEvents.size() <= maxEvents / 2;
    }

    private void mergeTransientEvents() {
        Map<String, JobEvent> latest = new LinkedHashMap<>();
        for (JobEvent event : transientEvents) {
            latest.remove(event.jobId());
            latest.put(event.jobId(), event.asCurrentState());
        }
        transientEvents = new ArrayDeque<>(latest.values());
    }

    /** Returns and removes the next buffered event, or null if there is none. */
    JobEvent nextTransientEvent() {
        return transientEvents.poll();
    }
}
