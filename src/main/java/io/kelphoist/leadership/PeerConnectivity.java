package io.kelphoist.leadership;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.statestore.StateStoreClient;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Tracks when messages of the leader and of the other controllers arrived, and when another
 * controller last reported that it reaches the state store. Sends probes to the other controllers
 * while requests to the state store fail. Owns these times. Runs on the event loop.
 */
final class PeerConnectivity {
    private static final double PROBE_INTERVAL_SECONDS = 0.8;

    /**
     * Several times the interval between a leader's grant requests, which is 0.375 seconds at the
     * default duration of a grant.
     */
    private static final double LEADER_CONTACT_TIMEOUT_SECONDS = 2.0;

    /** Peers are probed once requests to the state store have failed for longer than this. */
    private static final double MIN_FAILURE_BEFORE_PROBE_SECONDS = 1;

    /**
     * No controller is considered isolated from the state store while its requests have failed for
     * less than this.
     */
    private static final double MIN_FAILURE_FOR_ISOLATION_SECONDS = 2;

    /** How long a peer's report that it reaches the state store is taken into account. */
    private static final double PEER_REPORT_VALIDITY_SECONDS = 2.5;

    /**
     * This controller is considered isolated if for this long requests to the state store have
     * failed and no message of a peer has arrived.
     */
    private static final double PEER_SILENCE_FOR_ISOLATION_SECONDS = 4;

    private final Collection<String> peerNames;
    private final Consumer<String> peerProbe;
    private final StateStoreClient stateClient;
    private final EventLoop eventLoop;

    /** The leader according to the election; empty if it has none. */
    private Optional<String> leader = Optional.empty();

    private double leaderChangedAtSeconds = Double.NEGATIVE_INFINITY;

    /** Sender of the last grant request; empty if none has arrived. */
    private Optional<String> lastGrantRequester = Optional.empty();

    private double lastGrantRequestAtSeconds = Double.NEGATIVE_INFINITY;
    private double lastPeerMessageAtSeconds = Double.NEGATIVE_INFINITY;
    private double peerReachedStateStoreAtSeconds = Double.NEGATIVE_INFINITY;
    private double nextProbeAtSeconds;

    /**
     * @param peerProbe sends a probe to a peer, and calls {@link #onPeerResponse} when a response
     *     arrives
     */
    PeerConnectivity(
            Collection<String> peerNames,
            Consumer<String> peerProbe,
            StateStoreClient stateClient,
            EventLoop eventLoop) {
        this.peerNames = peerNames;
        this.peerProbe = peerProbe;
        this.stateClient = stateClient;
        this.eventLoop = eventLoop;
    }

    /** Records the current leader, and when it changed. */
    void updateLeader(Optional<String> electedLeader) {
        if (!leader.equals(electedLeader)) {
            leader = electedLeader;
            leaderChangedAtSeconds = eventLoop.nowSeconds();
        }
    }

    /** A leader requested a grant; {@code requester} is its name. */
    void onGrantRequest(String requester) {
        lastPeerMessageAtSeconds = eventLoop.nowSeconds();
        lastGrantRequester = Optional.of(requester);
        lastGrantRequestAtSeconds = eventLoop.nowSeconds();
    }

    /** A peer responded to a request or a probe. */
    void onPeerResponse() {
        lastPeerMessageAtSeconds = eventLoop.nowSeconds();
    }

    /** A peer reported that it reaches the state store. */
    void onPeerReachesStateStore() {
        peerReachedStateStoreAtSeconds = eventLoop.nowSeconds();
    }

    /**
     * Whether for longer than {@code seconds} no grant request of any controller has arrived and
     * the leader has not changed.
     */
    boolean isLeaderSilentFor(double seconds, double nowSeconds) {
        return nowSeconds - lastGrantRequestAtSeconds > seconds
                && nowSeconds - leaderChangedAtSeconds > seconds;
    }

    /**
     * Whether the leader sent a grant request recently, or has changed recently. Otherwise the
     * leader has stopped, or it and this controller cannot reach each other.
     *
     * @param electedLeader the leader according to the election
     */
    boolean hasRecentLeaderContact(Optional<String> electedLeader, double nowSeconds) {
        boolean requestedByLeader =
                lastGrantRequester.isPresent() && lastGrantRequester.equals(electedLeader);
        return (requestedByLeader
                        && nowSeconds - lastGrantRequestAtSeconds < LEADER_CONTACT_TIMEOUT_SECONDS)
                || nowSeconds - leaderChangedAtSeconds < LEADER_CONTACT_TIMEOUT_SECONDS;
    }

    /**
     * Whether this controller appears to be isolated from the state store while others are not: its
     * own requests fail, and either a peer reports that it reaches the store, or no messages of
     * peers arrive. If none of the controllers can reach the store, they still receive each other's
     * messages, and none of them is considered isolated.
     */
    boolean isIsolatedFromStateStore() {
        double nowSeconds = eventLoop.nowSeconds();
        double stateStoreFailingSeconds = stateClient.failingForSeconds();
        boolean allPeersSilent =
                !peerNames.isEmpty()
                        && stateStoreFailingSeconds > PEER_SILENCE_FOR_ISOLATION_SECONDS
                        && nowSeconds - lastPeerMessageAtSeconds
                                > PEER_SILENCE_FOR_ISOLATION_SECONDS;
        boolean peerReachesStateStore =
                nowSeconds - peerReachedStateStoreAtSeconds < PEER_REPORT_VALIDITY_SECONDS;
        return stateStoreFailingSeconds > MIN_FAILURE_FOR_ISOLATION_SECONDS
                && (peerReachesStateStore || allPeersSilent);
    }

    /**
     * Sends a probe to each peer if requests to the state store have been failing for some time and
     * neither a probe was sent nor a message of any peer arrived within the probe interval.
     */
    void probeIfDue(double nowSeconds) {
        if (nowSeconds < nextProbeAtSeconds
                || stateClient.failingForSeconds() <= MIN_FAILURE_BEFORE_PROBE_SECONDS
                || nowSeconds - lastPeerMessageAtSeconds <= PROBE_INTERVAL_SECONDS) {
            return;
        }
        nextProbeAtSeconds = nowSeconds + PROBE_INTERVAL_SECONDS;
        peerNames.forEach(peerProbe);
    }
}
