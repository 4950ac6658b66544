package io.kelphoist.daemon;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a controller that does not lead does with a worker's report. Trying a node in vain costs a worker five seconds,
 * so that two in a row end its lease: one that comes along is relayed first, and sent to the leader only with a fresh
 * lease. One that comes back from there can't reach the leader, and is relayed for a while. A controller that does not
 * hear of the leader itself sends workers to another one.
 */
final class Routes {
    /** Relay to this node, or redirect to it (null: to no particular one). */
    record Route(boolean relay, String node) { }

    private static final double RELAY_FOR_S = 30;
    private static final double KEEP_S = 120;
    private final List<String> peers;
    private final double leaseS;
    private final Map<String, Entry> workers = new HashMap<>();
    private double sweptAt;

    private static final class Entry {
        double answeredAt = Double.NEGATIVE_INFINITY;
        double redirectedAt = Double.NEGATIVE_INFINITY;
        double relayUntil = Double.NEGATIVE_INFINITY;
        /** Sent to another controller, as this one did not hear the leader. */
        double sentOnAt = Double.NEGATIVE_INFINITY;
        double seenAt;
    }

    Routes(List<String> peers, double leaseS) {
        this.peers = List.copyOf(peers);
        this.leaseS = leaseS;
    }

    Route route(String worker, String leader, boolean leaderReachesUs, double now) {
        if (leader == null) {
            return new Route(false, null);
        }
        sweep(now);
        Entry e = workers.computeIfAbsent(worker, w -> new Entry());
        e.seenAt = now;
        if (!leaderReachesUs) {
            e.sentOnAt = now;
            return new Route(false, other(leader));
        }
        if (now - e.redirectedAt < leaseS) {
            e.relayUntil = now + RELAY_FOR_S;
            e.redirectedAt = Double.NEGATIVE_INFINITY;
        }
        boolean fresh = now - e.answeredAt < leaseS / 3;
        if (now < e.relayUntil || !fresh) {
            return new Route(true, leader);
        }
        e.redirectedAt = now;
        return new Route(false, leader);
    }

    /** Whether a worker was sent to others a lease ago at most, and so found none there that answers. */
    boolean cameBack(String worker, double now) {
        Entry e = workers.get(worker);
        return e != null && now - e.sentOnAt < leaseS;
    }

    void relayed(String worker, boolean answered, double now) {
        Entry e = workers.get(worker);
        if (e != null) {
            if (answered) {
                e.answeredAt = now;
            } else {
                e.relayUntil = Double.NEGATIVE_INFINITY;
            }
        }
    }

    private String other(String leader) {
        for (String peer : peers) {
            if (!peer.equals(leader)) {
                return peer;
            }
        }
        return null;
    }

    private void sweep(double now) {
        if (now - sweptAt > KEEP_S) {
            sweptAt = now;
            workers.values().removeIf(e -> now - e.seenAt > KEEP_S);
        }
    }
}
