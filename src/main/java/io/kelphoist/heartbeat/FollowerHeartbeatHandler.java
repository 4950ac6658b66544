package io.kelphoist.heartbeat;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.leadership.LeaderElector;
import io.kelphoist.leadership.LeaseDelegationHandler;
import io.kelphoist.metrics.ControllerCounters;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.HeartbeatResponse;
import io.kelphoist.peer.HeartbeatRelayClient;
import io.kelphoist.peer.PeerClient;
import io.kelphoist.wire.HttpExchanges;
import io.kelphoist.wire.ReceivedHeartbeat;
import io.kelphoist.wire.WorkerCodec;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Handles heartbeats on a controller that is not the leader: relays them to the leader, redirects
 * the worker, or renews the worker's lease under a delegation. Confined to the controller's event
 * loop.
 */
public final class FollowerHeartbeatHandler {
    /** Missing among Undertow's status codes. */
    private static final int MISDIRECTED_REQUEST = 421;

    private final LeaderElector elector;
    private final HeartbeatRelayClient relayClient;
    private final EventLoop loop;
    private final ControllerCounters counters;
    private final HeartbeatRouter router;
    private final LeaseDelegationHandler delegationHandler;

    /** Creates the handler. */
    public FollowerHeartbeatHandler(
            LeaderElector elector,
            PeerClient peers,
            EventLoop loop,
            ControllerCounters counters,
            HeartbeatRouter router,
            LeaseDelegationHandler delegationHandler) {
        this.elector = elector;
        this.relayClient = new HeartbeatRelayClient(peers);
        this.loop = loop;
        this.counters = counters;
        this.router = router;
        this.delegationHandler = delegationHandler;
    }

    /** Answers a heartbeat. */
    void handle(HttpServerExchange exchange, ReceivedHeartbeat received, double nowSeconds) {
        Heartbeat heartbeat = received.heartbeat();
        Optional<String> knownLeader = elector.leader().filter(relayClient::hasPeer);
        boolean leaderReachesUs = elector.hasRecentLeaderContact(nowSeconds);
        if (!leaderReachesUs
                && isOutOfAlternatives(heartbeat, knownLeader, nowSeconds)
                && tryDelegatedRenewal(exchange, heartbeat, nowSeconds)) {
            return;
        }
        HeartbeatRouter.Route route =
                router.route(heartbeat.machineName(), knownLeader, leaderReachesUs, nowSeconds);
        if (route instanceof HeartbeatRouter.Relay relay) {
            relay(exchange, received, relay.leader());
        } else if (route instanceof HeartbeatRouter.Redirect redirect) {
            HttpExchanges.sendCbor(
                    exchange,
                    MISDIRECTED_REQUEST,
                    WorkerCodec.encodeRedirectBody(redirect.controller()));
        }
    }

    /**
     * Whether the worker can't be served elsewhere. While there is a leader that other controllers
     * may reach, its lease is renewed here only after it has tried those in vain.
     */
    private boolean isOutOfAlternatives(
            Heartbeat heartbeat, Optional<String> knownLeader, double nowSeconds) {
        return knownLeader.isEmpty()
                || !elector.hasReadKeysRecently(nowSeconds)
                || router.hasTriedPeersInVain(
                        heartbeat.machineName(), knownLeader.get(), nowSeconds);
    }

    /**
     * Relays a heartbeat to the leader, for a worker that can't reach it or whose lease might
     * expire if it were redirected.
     */
    private void relay(HttpServerExchange exchange, ReceivedHeartbeat received, String leader) {
        counters.onHeartbeatRelayed();
        relayClient.relay(
                leader, received, response -> onRelayed(exchange, received.heartbeat(), response));
    }

    private void onRelayed(
            HttpServerExchange exchange, Heartbeat heartbeat, Optional<byte[]> response) {
        router.onRelayed(heartbeat.machineName(), response.isPresent(), loop.nowSeconds());
        if (response.isPresent()) {
            HttpExchanges.sendCbor(exchange, StatusCodes.OK, response.get());
        } else if (elector.hasRecentLeaderContact(loop.nowSeconds())
                || elector.election().isLeader(loop.nowSeconds())
                || !tryDelegatedRenewal(exchange, heartbeat, loop.nowSeconds())) {
            HttpExchanges.sendStatus(exchange, StatusCodes.SERVICE_UNAVAILABLE);
        }
    }

    /**
     * Renews a worker's lease under the held delegation and responds to the heartbeat; returns
     * false and sends nothing if that is not allowed now.
     */
    boolean tryDelegatedRenewal(
            HttpServerExchange exchange, Heartbeat heartbeat, double nowSeconds) {
        OptionalLong fencingToken = delegationHandler.renewLease(heartbeat, nowSeconds);
        if (fencingToken.isEmpty()) {
            return false;
        }
        counters.onDelegatedRenewal();
        HttpExchanges.sendCbor(
                exchange,
                StatusCodes.OK,
                WorkerCodec.encodeHeartbeatResponseBody(
                        new HeartbeatResponse(fencingToken.getAsLong(), List.of())));
        return true;
    }
}
