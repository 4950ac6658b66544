package io.kelphoist.election;

import io.kelphoist.simulation.ScheduledEvents;

/**
 * The simulated true time in seconds and the events scheduled in it. Events at the same time run in
 * the order in which they were scheduled.
 */
final class SimulatedTimeline {
    private static final double START_SECONDS = 100;

    private final ScheduledEvents events = new ScheduledEvents();
    private double nowSeconds = START_SECONDS;

    double nowSeconds() {
        return nowSeconds;
    }

    void schedule(double delaySeconds, Runnable action) {
        events.add(nowSeconds + delaySeconds, action);
    }

    void advance(double seconds) {
        nowSeconds += seconds;
    }

    void runDueEvents() {
        events.runUntil(nowSeconds, atSeconds -> {});
    }
}
