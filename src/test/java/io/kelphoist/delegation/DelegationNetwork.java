package io.kelphoist.delegation;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;

/**
 * The simulated true time in seconds, and messages between controllers, which are held while a link
 * is blocked.
 */
final class DelegationNetwork {
    /** Delivery time of a message. */
    private static final double MESSAGE_DELIVERY_SECONDS = 0.01;

    /** An action that is scheduled at a time. */
    private record Event(double atSeconds, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atSeconds));
    private final Deque<Runnable> heldMessages = new ArrayDeque<>();
    private final boolean[][] blocked;
    private double nowSeconds;

    DelegationNetwork(int controllers) {
        blocked = new boolean[controllers][controllers];
    }

    double nowSeconds() {
        return nowSeconds;
    }

    void advance(double seconds) {
        nowSeconds += seconds;
    }

    void schedule(double delaySeconds, Runnable action) {
        events.add(new Event(nowSeconds + delaySeconds, action));
    }

    void runDueEvents() {
        while (!events.isEmpty() && events.peek().atSeconds() <= nowSeconds) {
            events.poll().action().run();
        }
    }

    /**
     * Blocks or unblocks messages in one direction. When any link is unblocked, all held messages
     * are delivered.
     */
    void setBlocked(int from, int to, boolean isBlocked) {
        blocked[from][to] = isBlocked;
        if (!isBlocked) {
            heldMessages.forEach(message -> schedule(0, message));
            heldMessages.clear();
        }
    }

    void send(DelegationController from, DelegationController to, Runnable onArrival) {
        long incarnation = to.incarnation();
        Runnable message =
                () -> {
                    // A restarted process has new connections. The worst case is simulated: it
                    // still receives messages that were sent on an old connection.
                    if (to.isUp() && to.incarnation() >= incarnation) {
                        onArrival.run();
                    }
                };
        if (blocked[from.index()][to.index()]) {
            heldMessages.add(message);
        } else {
            schedule(MESSAGE_DELIVERY_SECONDS, message);
        }
    }
}
