package io.kelphoist.events;

import io.kelphoist.model.JobRecord;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Delivers job events to subscriptions: each job's events in order, and its final event exactly
 * once per subscription, even if the client resumes the subscription at another controller. Stored
 * records are delivered in the order of the state store's revisions, which is the same at all
 * controllers; transient events are passed on as the leader publishes them.
 *
 * <p>Has no I/O, no clock and no threads of its own. All methods except the counters must be called
 * on the event thread. Times are in seconds of a monotonic clock.
 */
public final class EventBroker {
    /**
     * All stored jobs, as read from the state store.
     *
     * @param revision the store's revision up to which the jobs are complete; changes after it may
     *     be included or missing
     */
    public record Snapshot(long revision, Collection<JobRecord> jobs) {}

    /** A source of snapshots of all stored jobs. */
    public interface SnapshotSource {
        /**
         * Reads all stored jobs.
         *
         * @param callback called on the event thread, after this method has returned
         */
        void readAllJobs(Consumer<Snapshot> callback);
    }

    /** The limit that a new subscription would exceed. */
    public enum StreamLimit {
        /** The limit on the number of subscriptions at this controller. */
        TOTAL,
        /** The limit on the number of subscriptions of one client. */
        PER_CLIENT
    }

    /** Thrown if a new subscription would exceed a limit on the number of subscriptions. */
    public static final class TooManyStreamsException extends Exception {
        private static final long serialVersionUID = 1;
        private final StreamLimit limit;

        TooManyStreamsException(StreamLimit limit) {
            super(
                    limit == StreamLimit.TOTAL
                            ? "this controller has as many streams as it may"
                            : "this client has as many streams as it may");
            this.limit = limit;
        }

        /** Returns the limit that the subscription would exceed. */
        public StreamLimit limit() {
            return limit;
        }
    }

    private final EventBrokerLimits limits;
    private final SnapshotSource snapshotSource;
    private final JobEventState jobs;
    private final SubscriptionRegistry subscriptions;
    private final EventDelivery delivery;

    /**
     * Creates a broker without subscriptions.
     *
     * @param executor runs tasks on the event thread, after the currently running task
     */
    public EventBroker(EventBrokerLimits limits, SnapshotSource snapshotSource, Executor executor) {
        this.limits = limits;
        this.snapshotSource = snapshotSource;
        this.jobs = new JobEventState(limits.maxEndedJobs());
        this.subscriptions = new SubscriptionRegistry(limits);
        this.delivery = new EventDelivery(jobs, subscriptions, executor);
    }

    // ---- counters, may be read on any thread ----

    /** Returns the number of open subscriptions. */
    public int streamCount() {
        return subscriptions.count();
    }

    /** Returns the number of events delivered since the broker was created. */
    public long deliveredEvents() {
        return delivery.deliveredEvents();
    }

    /**
     * Returns the number of delivered events that report a job's current state, see {@link
     * JobEvent#reportsCurrentState}.
     */
    public long currentStateEvents() {
        return delivery.currentStateEvents();
    }

    /** Returns the number of subscriptions that were ended because the client read too slowly. */
    public long slowStreams() {
        return delivery.slowStreams();
    }

    /**
     * Returns the revision up to which all records were applied; negative before the first read.
     * Unlike the counters above, it must be read on the event thread.
     */
    public long appliedRevision() {
        return jobs.appliedRevision();
    }

    // ---- stored records ----

    /**
     * Applies the records of all jobs that have changed since the last update.
     *
     * @param revision the store's revision up to which the changes are complete
     */
    public void onRecordsChanged(long revision, Collection<JobRecord> changes, double nowSeconds) {
        changes.forEach(change -> applyRecord(change.withoutSpec()));
        jobs.advanceTo(revision);
        Set<Subscription> toDeliver = new LinkedHashSet<>(subscriptions.byOwner());
        changes.forEach(change -> toDeliver.addAll(subscriptions.byJobId(change.id())));
        for (Subscription subscription : subscriptions.all()) {
            startIfAwaitingStore(subscription, nowSeconds);
            if (subscription.countUpdateBehindCursor(jobs.appliedRevision())) {
                delivery.end(subscription, Subscriber.EndReason.CURSOR_AHEAD);
            }
        }
        toDeliver.forEach(subscription -> delivery.deliver(subscription, nowSeconds));
    }

    /** Applies all stored jobs, at the start and whenever changes may have been missed. */
    public void onSnapshot(Snapshot snapshot, double nowSeconds) {
        // Records newer than the snapshot's revision are left out: they arrive in order, with the
        // changes after that revision.
        onRecordsChanged(
                snapshot.revision(),
                snapshot.jobs().stream()
                        .filter(record -> record.version() <= snapshot.revision())
                        .toList(),
                nowSeconds);
    }

    private void applyRecord(JobRecord record) {
        if (jobs.applyRecord(record)) {
            subscriptions
                    .byJobId(record.id())
                    .forEach(subscription -> subscription.addNamedJob(record));
        }
    }

    /** Sets whether the state store is reachable; subscriptions stay open while it is not. */
    public void setStoreReachable(boolean isReachable, double nowSeconds) {
        if (jobs.setStoreReachable(isReachable)) {
            deliverAll(nowSeconds);
        }
    }

    private void deliverAll(double nowSeconds) {
        subscriptions.all().forEach(subscription -> delivery.deliver(subscription, nowSeconds));
    }

    // ---- transient events ----

    /** Applies the next transient events of the leader. */
    public void onTransientEvents(Collection<TransientEvent> events, double nowSeconds) {
        Set<Subscription> toDeliver = new LinkedHashSet<>();
        for (TransientEvent event : events) {
            JobRecord record = jobs.jobLog().get(event.jobId());
            if (jobs.applyTransientEvent(event) && record != null) {
                offer(record, event, toDeliver);
            }
        }
        jobs.dropEventsWithoutRecord();
        toDeliver.forEach(subscription -> delivery.deliver(subscription, nowSeconds));
    }

    private void offer(JobRecord record, TransientEvent event, Set<Subscription> toDeliver) {
        subscriptions
                .byJobId(event.jobId())
                .forEach(subscription -> offer(subscription, record, event, toDeliver));
        for (Subscription subscription : subscriptions.byOwner()) {
            if (subscription.filter().matches(record.id(), record.owner())) {
                offer(subscription, record, event, toDeliver);
            }
        }
    }

    private void offer(
            Subscription subscription,
            JobRecord record,
            TransientEvent event,
            Set<Subscription> toDeliver) {
        if (subscription.state() != Subscription.State.DELIVERING) {
            return;
        }
        JobEvent jobEvent = JobEvent.of(record, event);
        if (subscription.offer(record, jobEvent, limits.maxBufferedEvents())) {
            toDeliver.add(subscription);
        } else {
            delivery.end(subscription, Subscriber.EndReason.SLOW);
        }
    }

    /**
     * Replaces all transient events by the latest of each job, because events may have been missed.
     * Every subscription then delivers the latest event again of each unfinished job that its
     * filter selects and whose acceptance it has delivered; a job without an event is skipped.
     */
    public void resetTransientEvents(Collection<TransientEvent> events, double nowSeconds) {
        jobs.resetTransientEvents(events);
        for (Subscription subscription : subscriptions.all()) {
            subscription.startResync();
            delivery.deliver(subscription, nowSeconds);
        }
    }

    // ---- subscriptions ----

    /**
     * Opens a subscription and delivers events while its subscriber is ready.
     *
     * @param cursor empty to start now, with the current state of the selected jobs
     * @param namedJobs the records of the jobs that the filter names, read just before this call:
     *     jobs that ended long ago may have been evicted from the log
     * @throws TooManyStreamsException if a limit is reached, or after {@link #drain}
     */
    public Subscription subscribe(
            SubscriptionFilter filter,
            Optional<Cursor> cursor,
            Collection<JobRecord> namedJobs,
            String clientName,
            Subscriber subscriber,
            double nowSeconds)
            throws TooManyStreamsException {
        subscriptions.checkLimits(clientName);
        Subscription subscription = new Subscription(filter, cursor, clientName, subscriber);
        subscriptions.add(subscription);
        if (filter instanceof SubscriptionFilter.ByJobIds byJobIds) {
            addNamedJobs(subscription, byJobIds, namedJobs);
        }
        startIfAwaitingStore(subscription, nowSeconds);
        delivery.deliver(subscription, nowSeconds);
        return subscription;
    }

    private void addNamedJobs(
            Subscription subscription,
            SubscriptionFilter.ByJobIds filter,
            Collection<JobRecord> namedJobs) {
        for (String jobId : filter.jobIds()) {
            JobRecord record = jobs.jobLog().get(jobId);
            if (record != null) {
                subscription.addNamedJob(record);
            }
        }
        namedJobs.forEach(record -> subscription.addNamedJob(record.withoutSpec()));
    }

    /** Starts a subscription that awaits the first read of the state store, if that was read. */
    private void startIfAwaitingStore(Subscription subscription, double nowSeconds) {
        if (subscription.state() != Subscription.State.AWAITING_STORE || !jobs.hasRecords()) {
            return;
        }
        if (subscription.isResumed()) {
            subscription.startResync();
        } else if (subscription.filter() instanceof SubscriptionFilter.ByOwner) {
            subscription.startAt(jobs.appliedRevision());
        }
        if (subscription.mayHaveMissedFinalEvents(jobs.jobLog().evictedUpTo())) {
            loadSnapshot(subscription, nowSeconds);
        } else {
            subscription.transitionTo(Subscription.State.DELIVERING);
        }
    }

    private void loadSnapshot(Subscription subscription, double nowSeconds) {
        subscription.transitionTo(Subscription.State.LOADING_SNAPSHOT);
        snapshotSource.readAllJobs(
                snapshot -> onSnapshotLoaded(subscription, snapshot, nowSeconds));
    }

    private void onSnapshotLoaded(Subscription subscription, Snapshot snapshot, double nowSeconds) {
        if (subscription.state() != Subscription.State.LOADING_SNAPSHOT) {
            return;
        }
        LogPosition readUpTo = LogPosition.endOf(snapshot.revision());
        if (readUpTo.isBefore(jobs.jobLog().evictedUpTo())) {
            // The log has evicted records newer than the snapshot since it was read.
            loadSnapshot(subscription, nowSeconds);
            return;
        }
        subscription.loadBacklog(snapshot.revision(), snapshot.jobs());
        subscription.transitionTo(Subscription.State.DELIVERING);
        delivery.deliver(subscription, nowSeconds);
    }

    /** Must be called when the subscriber of a subscription has become ready again. */
    public void onReady(Subscription subscription, double nowSeconds) {
        delivery.deliver(subscription, nowSeconds);
    }

    /**
     * Must be called when the client of a subscription has disconnected or cancelled the call. The
     * subscriber is not called again.
     */
    public void onClosed(Subscription subscription) {
        if (subscription.transitionTo(Subscription.State.ENDED)) {
            subscriptions.remove(subscription);
        }
    }

    /**
     * Ends subscriptions whose subscriber has not been ready for longer than the stall timeout, see
     * {@link Subscription#isStalled}. Must be called about once a second.
     */
    public void tick(double nowSeconds) {
        for (Subscription subscription : subscriptions.all()) {
            if (subscription.isStalled(nowSeconds, limits.stallTimeoutSeconds())) {
                delivery.end(subscription, Subscriber.EndReason.SLOW);
            }
        }
    }

    /**
     * Ends all subscriptions, each with a cursor to resume from at another controller, and rejects
     * new ones.
     */
    public void drain() {
        subscriptions.close();
        subscriptions
                .all()
                .forEach(subscription -> delivery.end(subscription, Subscriber.EndReason.DRAINED));
    }
}
