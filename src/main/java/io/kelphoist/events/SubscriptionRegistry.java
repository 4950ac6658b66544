package io.kelphoist.events;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Owns the set of open subscriptions, indexed by the jobs that they name, and enforces the limits
 * on their number. Confined to the event thread, except for {@link #count}.
 */
final class SubscriptionRegistry {
    private final EventBrokerLimits limits;
    private final Set<Subscription> subscriptions = new LinkedHashSet<>();
    private final Set<Subscription> byOwner = new LinkedHashSet<>();
    private final Map<String, Set<Subscription>> subscriptionsByJobId = new HashMap<>();
    private final Map<String, Integer> countByClient = new HashMap<>();
    private boolean closed;

    /** Written by the event thread, read by other threads, for the metrics. */
    private volatile int count;

    SubscriptionRegistry(EventBrokerLimits limits) {
        this.limits = limits;
    }

    /** Returns the number of open subscriptions. May be called on any thread. */
    int count() {
        return count;
    }

    /** From now on, {@link #checkLimits} rejects every new subscription. */
    void close() {
        closed = true;
    }

    /**
     * Throws if a new subscription of the client would exceed a limit; if the registry is closed,
     * as if the limit on the total number were reached.
     */
    void checkLimits(String clientName) throws EventBroker.TooManyStreamsException {
        if (closed || subscriptions.size() >= limits.maxStreams()) {
            throw new EventBroker.TooManyStreamsException(EventBroker.StreamLimit.TOTAL);
        }
        if (countByClient.getOrDefault(clientName, 0) >= limits.maxStreamsPerClient()) {
            throw new EventBroker.TooManyStreamsException(EventBroker.StreamLimit.PER_CLIENT);
        }
    }

    void add(Subscription subscription) {
        subscriptions.add(subscription);
        count = subscriptions.size();
        countByClient.merge(subscription.clientName(), 1, Integer::sum);
        if (subscription.filter() instanceof SubscriptionFilter.ByJobIds byJobIds) {
            for (String jobId : byJobIds.jobIds()) {
                subscriptionsByJobId
                        .computeIfAbsent(jobId, key -> new LinkedHashSet<>())
                        .add(subscription);
            }
        } else {
            byOwner.add(subscription);
        }
    }

    void remove(Subscription subscription) {
        subscriptions.remove(subscription);
        count = subscriptions.size();
        byOwner.remove(subscription);
        countByClient.computeIfPresent(
                subscription.clientName(), (name, open) -> open == 1 ? null : open - 1);
        if (subscription.filter() instanceof SubscriptionFilter.ByJobIds byJobIds) {
            byJobIds.jobIds().forEach(jobId -> removeFromIndex(jobId, subscription));
        }
    }

    private void removeFromIndex(String jobId, Subscription subscription) {
        Set<Subscription> namingSubscriptions = subscriptionsByJobId.get(jobId);
        if (namingSubscriptions != null
                && namingSubscriptions.remove(subscription)
                && namingSubscriptions.isEmpty()) {
            subscriptionsByJobId.remove(jobId);
        }
    }

    /** Returns a copy of the set of open subscriptions, so that it can change during iteration. */
    List<Subscription> all() {
        return new ArrayList<>(subscriptions);
    }

    /**
     * Returns a copy of the open subscriptions whose filter is by owner, so that one of them can
     * end during iteration.
     */
    List<Subscription> byOwner() {
        return new ArrayList<>(byOwner);
    }

    /** Returns a copy of the open subscriptions that name a job, for the same reason. */
    List<Subscription> byJobId(String jobId) {
        return new ArrayList<>(subscriptionsByJobId.getOrDefault(jobId, Set.of()));
    }
}
