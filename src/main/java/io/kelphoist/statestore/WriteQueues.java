package io.kelphoist.statestore;

import com.google.common.collect.Iterables;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The writes of a {@link GroupCommitter} that wait to be sent: urgent writes before normal ones,
 * and each kind in the order in which it was submitted. Calls no listener. Runs on the event loop.
 */
final class WriteQueues {
    private final Deque<GroupCommitter.Write> urgent = new ArrayDeque<>();
    private final Deque<GroupCommitter.Write> normal = new ArrayDeque<>();

    private Deque<GroupCommitter.Write> queueOf(GroupCommitter.Write write) {
        return write.urgency() == GroupCommitter.Urgency.URGENT ? urgent : normal;
    }

    int size() {
        return urgent.size() + normal.size();
    }

    boolean isEmpty() {
        return urgent.isEmpty() && normal.isEmpty();
    }

    /** Returns the writes in the order in which they are to be sent. */
    Iterable<GroupCommitter.Write> inOrder() {
        return Iterables.concat(urgent, normal);
    }

    void add(GroupCommitter.Write write) {
        queueOf(write).add(write);
    }

    /** Puts writes back at the front of their queues, in their order. */
    void putBack(List<GroupCommitter.Write> writes) {
        for (int i = writes.size() - 1; i >= 0; i--) {
            queueOf(writes.get(i)).addFirst(writes.get(i));
        }
    }

    /** Removes writes that are the first ones of their queues, in that order. */
    void removeFirst(List<GroupCommitter.Write> writes) {
        writes.forEach(write -> queueOf(write).poll());
    }

    /** Removes and returns the expired writes at the front of each queue. */
    List<GroupCommitter.Write> pollExpired(double nowSeconds) {
        List<GroupCommitter.Write> expired = new ArrayList<>();
        pollExpired(urgent, nowSeconds, expired);
        pollExpired(normal, nowSeconds, expired);
        return expired;
    }

    private static void pollExpired(
            Deque<GroupCommitter.Write> queue,
            double nowSeconds,
            List<GroupCommitter.Write> expired) {
        while (!queue.isEmpty() && queue.peek().expiresAtSeconds() < nowSeconds) {
            expired.add(queue.poll());
        }
    }
}
