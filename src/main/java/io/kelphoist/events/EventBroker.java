package io.kelphoist.events;

import io.kelphoist.model.JobRecord;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Delivers job events to subscriptions: each job's events in order, and its end exactly once per
 * subscription, also if the client resumes it at another controller. Stored records arrive in the
 * order of the store's revisions, which all controllers share; transient events are passed on as
 * the leader publishes them.
 *
 * <p>No I/O, no clock and no threads: all methods but the counters are for the events' thread.
 * Times are in seconds of the monotonic clock.
 */
public final class EventBroker {
    /**
     * All stored jobs.
     *
     * @param revision the revision of the read; records newer than it may be missing
     */
    public record Snapshot(long revision, Collection<JobRecord> jobs) {}

    /** Reads all stored jobs. */
    public interface SnapshotSource {
        /** The callback is called on the events' thread, after this method has returned. */
        void readAllJobs(Consumer<Snapshot> callback);
    }

    /** The limit that a subscription would exceed. */
    public enum StreamLimit {
        /** On the subscriptions of this controller. */
        TOTAL,
        /** On the subscriptions of one client. */
        PER_CLIENT
    }

    /** A subscription was rejected since there are too many. */
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

        /** Returns the limit that was reached. */
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
     * @param executor runs tasks on the events' thread, after what it runs now
     */
    public EventBroker(EventBrokerLimits limits, SnapshotSource snapshotSource, Executor executor) {
        this.limits = limits;
        this.snapshotSource = snapshotSource;
        this.jobs = new JobEventState(limits.maxEndedJobs());
        this.subscriptions = new SubscriptionRegistry(limits);
        this.delivery = new EventDelivery(jobs, subscriptions, executor);
    }

    // ---- counters, for any thread ----

    /** Returns the number of open subscriptions. */
    public int streamCount() {
        return subscriptions.count();
    }

    /** Returns the number of events delivered since the start. */
    public long deliveredEvents() {
        return delivery.deliveredEvents();
    }

    /** Returns the number of delivered events that reported a state in place of other events. */
    public long mergedEvents() {
        return delivery.mergedEvents();
    }

    /** Returns the number of subscriptions that were ended as they were read too slowly. */
    public long slowStreams() {
        return delivery.slowStreams();
    }

    /** Returns the revision up to which all records are known; negative if none were read yet. */
    public long appliedRevision() {
        return jobs.appliedRevision();
    }

    // ---- stored records ----

    /**
     * Takes the records of all jobs that were changed since the last update.
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
            if (subscription.isCursorAheadAfterUpdate(jobs.appliedRevision())) {
                delivery.end(subscription, Subscriber.EndReason.CURSOR_AHEAD);
            }
        }
        toDeliver.forEach(subscription -> delivery.deliver(subscription, nowSeconds));
    }

    /** Takes all stored jobs, at first and whenever changes may have been missed. */
    public void onSnapshot(Snapshot snapshot, double nowSeconds) {
        // Newer records come with the changes after the revision, in order.
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

    /** Takes whether the state store is reachable; subscriptions stay open without it. */
    public void setStoreReachable(boolean isReachable, double nowSeconds) {
        if (jobs.setStoreReachable(isReachable)) {
            deliverAll(nowSeconds);
        }
    }

    private void deliverAll(double nowSeconds) {
        subscriptions.all().forEach(subscription -> delivery.deliver(subscription, nowSeconds));
    }

    // ---- transient events ----

    /** Takes the leader's next transient events. */
    public void onTransientEvents(Collection<TransientEvent> events, double nowSeconds) {
        Set<Subscription> toDeliver = new LinkedHashSet<>();
        for (TransientEvent event : events) {
            JobRecord record = jobs.jobLog().get(event.jobId());
            if (jobs.applyTransientEvent(event) && record != null) {
                offer(record, event, toDeliver);
            }
        }
        jobs.dropEventsOfUnknownJobs();
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

    /** Takes the latest transient events of all jobs, as earlier ones may have been missed. */
    public void resetTransientEvents(Collection<TransientEvent> events, double nowSeconds) {
        jobs.resetTransientEvents(events);
        for (Subscription subscription : subscriptions.all()) {
            subscription.startResync();
            delivery.deliver(subscription, nowSeconds);
        }
    }

    // ---- subscriptions ----

    /**
     * Opens a subscription and delivers what its subscriber takes.
     *
     * @param cursor empty to begin now, with the present state of the selected jobs
     * @param namedJobs the records of the jobs that the filter names, as just read: they may have
     *     ended too long ago to be in the log
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

    /** Starts a subscription once records were read from the store. */
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
            // The log has evicted more since the read.
            loadSnapshot(subscription, nowSeconds);
            return;
        }
        subscription.loadBacklog(snapshot.revision(), snapshot.jobs());
        subscription.transitionTo(Subscription.State.DELIVERING);
        delivery.deliver(subscription, nowSeconds);
    }

    /** To be called when a subscription's subscriber has become ready. */
    public void onReady(Subscription subscription, double nowSeconds) {
        delivery.deliver(subscription, nowSeconds);
    }

    /** To be called when a subscription's client has gone; its subscriber is not called again. */
    public void onClosed(Subscription subscription) {
        if (subscription.transitionTo(Subscription.State.ENDED)) {
            subscriptions.remove(subscription);
        }
    }

    /** Ends stalled subscriptions; to be called about every second. */
    public void tick(double nowSeconds) {
        for (Subscription subscription : subscriptions.all()) {
            if (subscription.isStalled(nowSeconds, limits.stallTimeoutSeconds())) {
                delivery.end(subscription, Subscriber.EndReason.SLOW);
            }
        }
    }

    /** Ends all subscriptions, each with a cursor to resume elsewhere, and accepts no more. */
    public void drain() {
        subscriptions.close();
        subscriptions
                .all()
                .forEach(subscription -> delivery.end(subscription, Subscriber.EndReason.DRAINED));
    }
}
