package io.kelphoist.heartbeat;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides what a controller that is not the leader does with a worker's heartbeat: relay it to the
 * leader, or redirect the worker to another controller.
 *
 * <p>A worker waits five seconds for an unreachable controller, so two such attempts in a row let a
 * lease of ten seconds expire. Therefore the first heartbeat of a worker is relayed, which renews
 * its lease, and the worker is redirected to the leader only while its lease is fresh. A worker
 * that returns after a redirect to the leader could not connect to the leader, and its heartbeats
 * are relayed for a while. A controller that has no contact to the leader itself redirects workers
 * to another controller.
 *
 * <p>Owns a bounded history per worker. Performs no I/O: the time (the event loop's monotonic
 * clock, in seconds) is passed in. Confined to the controller's event loop.
 */
public final class HeartbeatRouter {
    /** What to do with a heartbeat. */
    sealed interface Route permits Relay, Redirect {}

    /** Relay the heartbeat to the leader, and the response of the leader to the worker. */
    record Relay(String leader) implements Route {}

    /**
     * Redirect the worker to another controller.
     *
     * @param controller name of that controller; empty to let the worker try any other one
     */
    record Redirect(Optional<String> controller) implements Route {}

    /** Redirect that names no controller, because the leader is unknown. */
    private static final Redirect REDIRECT_ANYWHERE = new Redirect(Optional.empty());

    /** How long heartbeats of a worker that could not connect to the leader are relayed. */
    private static final double RELAY_DURATION_SECONDS = 30;

    private static final double HISTORY_RETENTION_SECONDS = 120;

    /** A lease is fresh for this fraction of its duration after it was renewed: one third. */
    private static final int FRESH_LEASE_DIVISOR = 3;

    /** Zone of each other controller, by the name of the controller. */
    private final Map<String, String> peerZones;

    private final double leaseSeconds;
    private final Map<String, WorkerHistory> historyByWorker = new HashMap<>();
    private double lastEvictionAtSeconds;

    /** What this router did with the latest heartbeats of one worker. */
    private static final class WorkerHistory {
        double relaySucceededAtSeconds = Double.NEGATIVE_INFINITY;

        /** Last redirect to the leader, unless the worker has returned from it since. */
        double redirectedToLeaderAtSeconds = Double.NEGATIVE_INFINITY;

        /**
         * Until when heartbeats are relayed, because the worker could not connect to the leader.
         */
        double relayUntilSeconds = Double.NEGATIVE_INFINITY;

        /**
         * Last redirect to a controller other than the leader, for lack of contact to the leader.
         */
        double redirectedToOtherPeerAtSeconds = Double.NEGATIVE_INFINITY;

        /** Number of such redirects, each within the duration of a lease after the one before. */
        int otherPeerRedirectCount;

        double lastHeartbeatAtSeconds;
    }

    /**
     * Creates a router without history.
     *
     * @param peerZones names of the other controllers and their zones
     * @param leaseSeconds duration of a worker's lease
     */
    public HeartbeatRouter(Map<String, String> peerZones, double leaseSeconds) {
        this.peerZones = new LinkedHashMap<>(peerZones);
        this.leaseSeconds = leaseSeconds;
    }

    /**
     * Decides what to do with a heartbeat, and records the decision in the worker's history. While
     * the leader is unknown, redirects the worker to any other controller and records nothing.
     *
     * @param leader name of the leader; empty if it is unknown
     * @param hasLeaderContact whether this controller has had contact to the leader recently; see
     *     {@link io.kelphoist.leadership.LeaderElector#hasRecentLeaderContact}
     */
    Route route(
            String worker, Optional<String> leader, boolean hasLeaderContact, double nowSeconds) {
        if (leader.isEmpty()) {
            return REDIRECT_ANYWHERE;
        }
        evictIdle(nowSeconds);
        WorkerHistory history =
                historyByWorker.computeIfAbsent(worker, ignored -> new WorkerHistory());
        history.lastHeartbeatAtSeconds = nowSeconds;
        if (!hasLeaderContact) {
            countRedirectToOtherPeer(history, nowSeconds);
            return new Redirect(otherPeer(leader.get()));
        }
        return routeToLeader(history, leader.get(), nowSeconds);
    }

    private void countRedirectToOtherPeer(WorkerHistory history, double nowSeconds) {
        boolean isRepeated = nowSeconds - history.redirectedToOtherPeerAtSeconds < leaseSeconds;
        history.otherPeerRedirectCount = isRepeated ? history.otherPeerRedirectCount + 1 : 1;
        history.redirectedToOtherPeerAtSeconds = nowSeconds;
    }

    private Route routeToLeader(WorkerHistory history, String leader, double nowSeconds) {
        boolean hasReturnedFromLeader =
                nowSeconds - history.redirectedToLeaderAtSeconds < leaseSeconds;
        if (hasReturnedFromLeader) {
            history.relayUntilSeconds = nowSeconds + RELAY_DURATION_SECONDS;
            history.redirectedToLeaderAtSeconds = Double.NEGATIVE_INFINITY;
        }
        boolean isLeaseFresh =
                nowSeconds - history.relaySucceededAtSeconds < leaseSeconds / FRESH_LEASE_DIVISOR;
        if (nowSeconds < history.relayUntilSeconds || !isLeaseFresh) {
            return new Relay(leader);
        }
        history.redirectedToLeaderAtSeconds = nowSeconds;
        return new Redirect(Optional.of(leader));
    }

    /**
     * Returns whether a worker was redirected to the other follower within its lease and returned,
     * so that the other follower cannot serve it. To be called when a heartbeat of the worker has
     * arrived.
     *
     * <p>Two redirects are needed if the other follower is not in the leader's zone. It may have
     * relayed the first heartbeat and then redirected the worker to the leader once, because it
     * does not know that the worker cannot connect to the leader. After the second redirect it
     * relays the heartbeats of the worker. One redirect is enough if the other follower is in the
     * leader's zone, because it is as unreachable for the worker as the leader, or if there is no
     * other follower.
     */
    boolean haveRedirectsFailed(String worker, String leader, double nowSeconds) {
        WorkerHistory history = historyByWorker.get(worker);
        boolean isOtherPeerOutsideLeaderZone =
                otherPeer(leader)
                        .filter(peer -> !peerZones.get(peer).equals(peerZones.get(leader)))
                        .isPresent();
        int requiredRedirects = isOtherPeerOutsideLeaderZone ? 2 : 1;
        return history != null
                && nowSeconds - history.redirectedToOtherPeerAtSeconds < leaseSeconds
                && history.otherPeerRedirectCount >= requiredRedirects;
    }

    /**
     * Records the outcome of relaying a worker's heartbeat to the leader.
     *
     * @param isSuccess whether the leader responded, which renewed the worker's lease
     */
    void onRelayEnded(String worker, boolean isSuccess, double nowSeconds) {
        WorkerHistory history = historyByWorker.get(worker);
        if (history != null) {
            if (isSuccess) {
                history.relaySucceededAtSeconds = nowSeconds;
            } else {
                history.relayUntilSeconds = Double.NEGATIVE_INFINITY;
            }
        }
    }

    /** Returns the first controller other than this one and the leader; empty if there is none. */
    private Optional<String> otherPeer(String leader) {
        for (String peer : peerZones.keySet()) {
            if (!peer.equals(leader)) {
                return Optional.of(peer);
            }
        }
        return Optional.empty();
    }

    /** Removes the histories of workers that have not sent a heartbeat here for some time. */
    private void evictIdle(double nowSeconds) {
        if (nowSeconds - lastEvictionAtSeconds > HISTORY_RETENTION_SECONDS) {
            lastEvictionAtSeconds = nowSeconds;
            historyByWorker
                    .values()
                    .removeIf(
                            history ->
                                    nowSeconds - history.lastHeartbeatAtSeconds
                                            > HISTORY_RETENTION_SECONDS);
        }
    }
}
