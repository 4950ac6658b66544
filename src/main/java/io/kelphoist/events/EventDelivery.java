package io.kelphoist.events;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import java.util.concurrent.Executor;

/**
 * Delivers events to the subscribers of open subscriptions, and ends subscriptions. Stored records
 * are delivered before transient events, so that no event of a job precedes its acceptance.
 *
 * <p>Delivery takes turns: after a bounded number of events, a subscription schedules its next turn
 * on the event thread, so that the other subscriptions are served in between.
 *
 * <p>Owns the counters of deliveries. Confined to the event thread, except for the counters.
 */
final class EventDelivery {
    private static final int MAX_EVENTS_PER_TURN = 128;

    private final JobEventState jobs;
    private final SubscriptionRegistry subscriptions;

    /** Runs tasks on the event thread. */
    private final Executor executor;

    /** Like the other counters, written by the event thread and read by others, for the metrics. */
    private volatile long deliveredEvents;

    private volatile long currentStateEvents;
    private volatile long slowStreams;

    EventDelivery(JobEventState jobs, SubscriptionRegistry subscriptions, Executor executor) {
        this.jobs = jobs;
        this.subscriptions = subscriptions;
        this.executor = executor;
    }

    long deliveredEvents() {
        return deliveredEvents;
    }

    long currentStateEvents() {
        return currentStateEvents;
    }

    long slowStreams() {
        return slowStreams;
    }

    /**
     * Delivers events while the subscriber is ready, for at most one turn. Has no effect unless the
     * subscription is in the state {@code DELIVERING}.
     */
    void deliver(Subscription subscription, double nowSeconds) {
        for (int sent = 0; subscription.state() == Subscription.State.DELIVERING; sent++) {
            if (!subscription.checkReady(nowSeconds)) {
                return;
            }
            if (sent == MAX_EVENTS_PER_TURN) {
                scheduleNextTurn(subscription, nowSeconds);
                return;
            }
            if (subscription.mayHaveMissedFinalEvents(jobs.jobLog().evictedUpTo())) {
                end(subscription, Subscriber.EndReason.SLOW);
            } else if (!deliverNext(subscription)) {
                if (subscription.isComplete()) {
                    end(subscription, Subscriber.EndReason.COMPLETE);
                }
                return;
            }
        }
    }

    private void scheduleNextTurn(Subscription subscription, double nowSeconds) {
        if (subscription.reserveTurn()) {
            executor.execute(
                    () -> {
                        subscription.beginTurn();
                        deliver(subscription, nowSeconds);
                    });
        }
    }

    /**
     * Ends a subscription; its subscriber receives the reason and a cursor to resume from. Has no
     * effect if it has ended already.
     */
    void end(Subscription subscription, Subscriber.EndReason reason) {
        Cursor cursor = subscription.cursor();
        if (!subscription.transitionTo(Subscription.State.ENDED)) {
            return;
        }
        subscriptions.remove(subscription);
        if (reason == Subscriber.EndReason.SLOW) {
            slowStreams++;
        }
        subscription.subscriber().onEnded(reason, cursor);
    }

    /** Delivers one event; returns false if there is none. */
    private boolean deliverNext(Subscription subscription) {
        return deliverNextRecord(subscription)
                || deliverNextResyncRecord(subscription)
                || deliverNextTransientEvent(subscription)
                || deliverStoreReachability(subscription);
    }

    private boolean deliverNextRecord(Subscription subscription) {
        JobRecord record = subscription.nextRecord(jobs.jobLog(), jobs.appliedRevision());
        if (record == null) {
            return false;
        }
        send(subscription, toJobEvent(subscription, record));
        return true;
    }

    private JobEvent toJobEvent(Subscription subscription, JobRecord record) {
        if (record.status().isFinal()) {
            return JobEvent.ended(record);
        }
        TransientEvent latest = jobs.latestTransientEvent(record.id());
        boolean reportsCurrentState =
                latest != null || record.version() <= subscription.startRevision();
        return JobEvent.accepted(record, latest, reportsCurrentState);
    }

    /**
     * Delivers the latest transient event of the next job of the resynchronization; skips jobs that
     * have none.
     */
    private boolean deliverNextResyncRecord(Subscription subscription) {
        JobRecord record = subscription.nextResyncRecord(jobs.jobLog());
        while (record != null) {
            TransientEvent latest = jobs.latestTransientEvent(record.id());
            if (latest != null) {
                send(subscription, JobEvent.of(record, latest).asCurrentState());
                return true;
            }
            record = subscription.nextResyncRecord(jobs.jobLog());
        }
        return false;
    }

    private boolean deliverNextTransientEvent(Subscription subscription) {
        JobEvent event = subscription.nextTransientEvent();
        while (event != null) {
            // The job may have ended since the event was buffered. Its final event has then been
            // delivered, and no other event may follow.
            JobRecord record = jobs.jobLog().get(event.jobId());
            if (record != null && record.status() == JobStatus.ACTIVE) {
                send(subscription, event);
                return true;
            }
            event = subscription.nextTransientEvent();
        }
        return false;
    }

    private boolean deliverStoreReachability(Subscription subscription) {
        boolean storeReachable = jobs.storeReachable();
        if (!subscription.updateReportedReachability(storeReachable)) {
            return false;
        }
        subscription.subscriber().onStoreReachabilityChanged(storeReachable, subscription.cursor());
        return true;
    }

    private void send(Subscription subscription, JobEvent event) {
        deliveredEvents++;
        if (event.reportsCurrentState()) {
            currentStateEvents++;
        }
        subscription.subscriber().onEvent(event, subscription.cursor());
    }
}
