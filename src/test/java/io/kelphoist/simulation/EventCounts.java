package io.kelphoist.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts events in simulated runs, so that a test can assert that the events that its property is
 * about did occur. Otherwise the property could hold trivially.
 *
 * @param <E> kinds of events that are counted
 */
public abstract class EventCounts<E extends Enum<E>> {
    private final Map<E, Integer> counts;

    /** Creates counts of 0 for all kinds of events. */
    protected EventCounts(Class<E> events) {
        counts = new EnumMap<>(events);
    }

    /** Counts one event. */
    public void increment(E event) {
        add(event, 1);
    }

    /** Counts several events of one kind. */
    public void add(E event, int count) {
        counts.merge(event, count, Integer::sum);
    }

    /** Adds the counts of another run. */
    public void addAll(EventCounts<E> other) {
        other.counts.forEach(this::add);
    }

    /** Returns how many events of a kind were counted. */
    public int get(E event) {
        return counts.getOrDefault(event, 0);
    }

    /** Fails unless more than {@code threshold} events of a kind were counted. */
    public void assertMoreThan(int threshold, E event) {
        int count = get(event);
        assertTrue(
                count > threshold,
                event + " occurred " + count + " times, expected more than " + threshold);
    }
}
