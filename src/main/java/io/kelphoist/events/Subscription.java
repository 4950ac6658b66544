package io.kelphoist.events;

import io.kelphoist.model.JobRecord;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One client's subscription. Stored records are walked ({@link RecordIterator}); only transient
 * events are buffered, a bounded number of them.
 *
 * <p>Owns its state, its buffered events and the progress of its resynchronization. Confined to the
 * events' thread.
 */
public final class Subscription {
    /** The states of a subscription; {@link #transitionTo} is the one place where they change. */
    public enum State {
        /** Nothing was read from the state store yet. */
        AWAITING_STORE,
        /** Records that the log has evicted are being read. */
        LOADING_SNAPSHOT,
        /** Events are delivered. */
        DELIVERING,
        /** Nothing is delivered any more. */
        ENDED
    }

    /** The store's updates that may arrive before a cursor ahead of them ends the subscription. */
    private static final int MAX_UPDATES_BEHIND_CURSOR = 3;

    private final SubscriptionFilter filter;
    private final long fingerprint;
    private final String clientName;
    private final Subscriber subscriber;
    private final boolean resumed;
    private final RecordIterator recordIterator;
    private State state = State.AWAITING_STORE;
    private int updatesBehindCursor;

    /** When the subscriber was first found not ready, NaN if it is ready. */
    private double stalledSinceSeconds = Double.NaN;

    private boolean turnScheduled;
    private boolean reportedStoreReachable = true;
    private ArrayDeque<JobEvent> transientEvents = new ArrayDeque<>();

    /** The progress of a resynchronization up to {@link #resyncEnd}; null if there is none. */
    private LogPosition resyncPosition;

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

    /** Returns the present state. */
    public State state() {
        return state;
    }

    /** Changes the state; false if it is that state already, or has ended. */
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

    /** Whether the client came with a cursor. */
    boolean isResumed() {
        return resumed;
    }

    /** Returns the cursor to resume after all that was delivered. */
    Cursor cursor() {
        return new Cursor(fingerprint, recordIterator.startRevision(), recordIterator.position());
    }

    // ---- progress of its subscriber ----

    /** Whether the subscriber is ready; notes since when it is not. */
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

    /** Whether the subscriber has not been ready for longer than the timeout. */
    boolean isStalled(double nowSeconds, double timeoutSeconds) {
        return nowSeconds - stalledSinceSeconds > timeoutSeconds;
    }

    /** Reserves the next turn of delivery; false if that has been done already. */
    boolean reserveTurn() {
        boolean reserved = !turnScheduled;
        turnScheduled = true;
        return reserved;
    }

    /** The reserved turn begins. */
    void beginTurn() {
        turnScheduled = false;
    }

    /** Notes what is about to be reported of the store; false if that was reported before. */
    boolean reportStoreReachable(boolean storeReachable) {
        boolean changed = reportedStoreReachable != storeReachable;
        reportedStoreReachable = storeReachable;
        return changed;
    }

    // ---- stored records ----

    /** Returns the revision at which the subscription began. */
    long startRevision() {
        return recordIterator.startRevision();
    }

    /** Leaves out jobs that had ended by this revision. */
    void startAt(long revision) {
        recordIterator.startAt(revision);
    }

    /**
     * Notes an update of the stored records.
     *
     * @return whether the cursor was ahead of the store for too many updates
     */
    boolean isCursorAheadAfterUpdate(long appliedRevision) {
        long cursorRevision =
                Math.max(recordIterator.position().revision(), records.startRevision());
        if (cursorRevision <= appliedRevision) {
            return false;
        }
        updatesBehindCursor++;
        return updatesBehindCursor > MAX_UPDATES_BEHIND_CURSOR;
    }

    /** Takes the record of a job that the filter names, whatever its age. */
    void addNamedJob(JobRecord record) {
        recordIterator.addNamedJob(record);
    }

    /** Whether it may have missed ends that the log has evicted. */
    boolean mayHaveMissedFinalEvents(LogPosition evictedUpTo) {
        return recordIterator.mayHaveMissedFinalEvents(evictedUpTo);
    }

    /** Takes all records as they were stored at a revision, to be delivered before the log's. */
    void loadBacklog(long revision, Collection<JobRecord> records) {
        recordIterator.loadBacklog(revision, records);
    }

    /** Returns the next record and moves past it, see {@link RecordIterator#next}. */
    JobRecord nextRecord(CompactedJobLog log, long appliedRevision) {
        return recordIterator.next(log, appliedRevision);
    }

    /** Whether all jobs that it names have ended, and their ends were delivered. */
    boolean isComplete() {
        return recordIterator.isComplete();
    }

    // ---- transient events ----

    /**
     * Starts the delivery of the present state of all unfinished jobs that were delivered, as
     * transient events may have been missed.
     */
    void startResync() {
        transientEvents.clear();
        resyncPosition = LogPosition.START;
        resyncEnd = recordIterator.position();
    }

    /** Returns the next unfinished job to be delivered again, or null if there is none. */
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

    /** Whether the job's record was delivered and its state is not about to be delivered again. */
    private boolean isDelivered(JobRecord record) {
        LogPosition recordPosition = CompactedJobLog.positionOf(record);
        boolean awaitsResync =
                resyncPosition != null
                        && recordPosition.isAfter(resyncPosition)
                        && !recordPosition.isAfter(resyncEnd);
        return !recordPosition.isAfter(recordIterator.position()) && !awaitsResync;
    }

    /**
     * Buffers a transient event of a job whose record was delivered. Beyond {@code maxEvents} only
     * the latest event of each job is kept.
     *
     * @return false if the buffer is too full even then
     */
    boolean offer(JobRecord record, JobEvent event, int maxEvents) {
        if (!isDelivered(record)) {
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
            latest.put(event.jobId(), event.asSnapshot());
        }
        transientEvents = new ArrayDeque<>(latest.values());
    }

    /** Returns and removes the next buffered event, or null if there is none. */
    JobEvent nextTransientEvent() {
        return transientEvents.poll();
    }
}
