package io.kelphoist.events;

/**
 * Limits that bound the memory of an {@link EventBroker}.
 *
 * @param maxStreams number of open subscriptions in total
 * @param maxStreamsPerClient number of open subscriptions of one client
 * @param maxBufferedEvents number of transient events buffered for one subscription; if there are
 *     more, only the latest event of each job is kept, and the subscription is ended as too slow if
 *     more than half of this number are left
 * @param maxEndedJobs number of ended jobs that are retained for subscriptions that resume
 * @param stallTimeoutSeconds how long a subscriber may be not ready, counted from the first
 *     delivery for which it was not; after that its subscription is ended
 */
public record EventBrokerLimits(
        int maxStreams,
        int maxStreamsPerClient,
        int maxBufferedEvents,
        int maxEndedJobs,
        double stallTimeoutSeconds) {
    /** Limits for tests and benchmarks. A controller takes its limits from its settings. */
    public static final EventBrokerLimits DEFAULT =
            new EventBrokerLimits(
                    /* maxStreams= */ 2000,
                    /* maxStreamsPerClient= */ 200,
                    /* maxBufferedEvents= */ 256,
                    /* maxEndedJobs= */ 20_000,
                    /* stallTimeoutSeconds= */ 60);
}
