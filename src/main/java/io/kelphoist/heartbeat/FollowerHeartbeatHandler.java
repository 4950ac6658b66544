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
 * the worker to another controller, or renews the worker's lease under a lease delegation. Confined
 * to the controller's event loop.
 */
public final class FollowerHeartbeatHandler {
    /** Redirects the worker. {@link StatusCodes} does not define this status. */
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

    /**
     * Responds to a heartbeat that a worker sent to this controller: at once, or if the heartbeat
     * is relayed, when the leader has responded or the relay has failed.
     */
    void handle(HttpServerExchange exchange, ReceivedHeartbeat received, double nowSeconds) {
        Heartbeat heartbeat = received.heartbeat();
        Optional<String> leader = elector.leader().filter(relayClient::hasPeer);
        boolean hasLeaderContact = elector.hasRecentLeaderContact(nowSeconds);
        if (!hasLeaderContact
                && cannotBeServedElsewhere(heartbeat, leader, nowSeconds)
                && tryDelegatedRenewal(exchange, heartbeat, nowSeconds)) {
            return;
        }
        HeartbeatRouter.Route route =
                router.route(heartbeat.machineName(), leader, hasLeaderContact, nowSeconds);
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
     * Returns whether no other controller can be expected to renew the worker's lease. While there
     * is a leader, other controllers may have contact to it, so the lease is renewed here only
     * after redirects of the worker to them have failed. This controller does not rely on such a
     * leader if it has not read the leadership keys recently.
     */
    private boolean cannotBeServedElsewhere(
            Heartbeat heartbeat, Optional<String> leader, double nowSeconds) {
        return leader.isEmpty()
                || !elector.hasReadKeysRecently(nowSeconds)
                || router.haveRedirectsFailed(heartbeat.machineName(), leader.get(), nowSeconds);
    }

    /**
     * Relays a heartbeat to the leader, for a worker that cannot connect to the leader or whose
     * lease might expire if it were redirected.
     */
    private void relay(HttpServerExchange exchange, ReceivedHeartbeat received, String leader) {
        counters.onHeartbeatRelayed();
        relayClient.relay(
                leader,
                received,
                response -> onRelayEnded(exchange, received.heartbeat(), response));
    }

    /**
     * Passes the leader's response to the worker. If the relay failed, renews the worker's lease
     * under the delegation, unless the leader had contact to this controller recently or this
     * controller has become the leader; otherwise refuses the heartbeat.
     */
    private void onRelayEnded(
            HttpServerExchange exchange, Heartbeat heartbeat, Optional<byte[]> response) {
        router.onRelayEnded(heartbeat.machineName(), response.isPresent(), loop.nowSeconds());
        if (response.isPresent()) {
            HttpExchanges.sendCbor(exchange, StatusCodes.OK, response.get());
        } else if (elector.hasRecentLeaderContact(loop.nowSeconds())
                || elector.election().isLeader(loop.nowSeconds())
                || !tryDelegatedRenewal(exchange, heartbeat, loop.nowSeconds())) {
            HttpExchanges.sendStatus(exchange, StatusCodes.SERVICE_UNAVAILABLE);
        }
    }

    /**
     * Renews a worker's lease under the lease delegation that this controller holds, and responds
     * to the heartbeat. Returns false and sends no response if the delegation does not allow the
     * renewal now.
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
