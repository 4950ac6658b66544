package io.kelphoist.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.DoubleConsumer;

/**
 * Queue of the events that are scheduled in virtual time. Events scheduled for the same time run in
 * the order in which they were added.
 */
public final class ScheduledEvents {
    private record Event(double atSeconds, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::atSeconds).thenComparing(Event::order));
    private long nextOrder;

    /** Schedules an action. */
    public void add(double atSeconds, Runnable action) {
        events.add(new Event(atSeconds, nextOrder++, action));
    }

    /**
     * Runs all events that are due at {@code untilSeconds} or earlier, including those that are
     * scheduled by the events that run.
     *
     * @param onTime receives the time of each event before the event runs
     */
    public void runUntil(double untilSeconds, DoubleConsumer onTime) {
        Event next = pollDue(untilSeconds);
        while (next != null) {
            onTime.accept(next.atSeconds());
            next.action().run();
            next = pollDue(untilSeconds);
        }
    }

    /** Removes and returns the earliest event that is due at that time; null if none is. */
    private Event pollDue(double untilSeconds) {
        return !events.isEmpty() && events.peek().atSeconds() <= untilSeconds
                ? events.poll()
                : null;
    }
}
