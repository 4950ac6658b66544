package io.kelphoist.heartbeat;

import io.kelphoist.election.Election;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.leadership.LeaderElector;
import io.kelphoist.metrics.ControllerCounters;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.HeartbeatResponse;
import io.kelphoist.scheduler.spi.PendingResponse;
import io.kelphoist.wire.HttpExchanges;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.ReceivedHeartbeat;
import io.kelphoist.wire.WorkerCodec;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP endpoint for heartbeats that workers send directly or that other controllers relay. The
 * leader responds to them itself. On any other controller {@link FollowerHeartbeatHandler} handles
 * direct heartbeats, which are deferred for a short time while an election is in progress; relayed
 * heartbeats are refused there.
 *
 * <p>Owns the number of deferred heartbeats. Confined to the controller's event loop.
 */
public final class HeartbeatEndpoint {
    /** Responds to heartbeats as the leader. */
    public interface LeaderResponder {
        /**
         * Responds to a heartbeat, now or within seconds.
         *
         * @param relayAddress IP address of the controller that relayed the heartbeat; empty if the
         *     worker sent it here
         * @param hold for how long the response may be held
         * @param onResponse receives the response, which renews the worker's lease; empty if this
         *     controller must not renew the lease now
         */
        void respondToHeartbeat(
                Heartbeat heartbeat,
                String relayAddress,
                PendingResponse.Hold hold,
                Consumer<Optional<HeartbeatResponse>> onResponse);
    }

    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatEndpoint.class);
    private static final String NOT_RELAYED = "";

    /**
     * Maximum time from the arrival of a heartbeat for which it waits for the end of an election.
     */
    private static final double MAX_DEFERRAL_SECONDS = 0.8;

    private static final double DEFERRAL_RETRY_INTERVAL_SECONDS = 0.05;
    private static final int MAX_DEFERRED_HEARTBEATS = 200;

    private final LeaderElector elector;
    private final EventLoop loop;
    private final ControllerCounters counters;
    private final WorkerConnections connections;
    private final LeaderResponder leaderResponder;
    private final FollowerHeartbeatHandler followerHandler;
    private int deferredCount;

    /** Creates the endpoint; the caller registers its handlers with the HTTP server. */
    public HeartbeatEndpoint(
            LeaderElector elector,
            EventLoop loop,
            ControllerCounters counters,
            WorkerConnections connections,
            LeaderResponder leaderResponder,
            FollowerHeartbeatHandler followerHandler) {
        this.elector = elector;
        this.loop = loop;
        this.counters = counters;
        this.connections = connections;
        this.leaderResponder = leaderResponder;
        this.followerHandler = followerHandler;
    }

    /** Handles a heartbeat that a worker sent to this controller. */
    public void handleDirect(HttpServerExchange exchange, byte[] body) {
        ReceivedHeartbeat received;
        try {
            received = WorkerCodec.decodeHeartbeatBody(body);
        } catch (MalformedMessageException e) {
            counters.onMalformedMessage();
            LOG.debug("malformed heartbeat: error={}", e.getMessage());
            HttpExchanges.sendStatus(exchange, StatusCodes.BAD_REQUEST);
            return;
        }
        counters.onHeartbeat();
        if (!connections.keepAlive(exchange.getConnection(), loop.nowSeconds())) {
            exchange.setPersistent(false);
        }
        handle(exchange, received, loop.nowSeconds() + MAX_DEFERRAL_SECONDS);
    }

    /**
     * Handles a heartbeat that another controller relayed because it takes this one for the leader.
     * Refuses it if this controller is not the leader.
     */
    public void handleRelayed(HttpServerExchange exchange, byte[] body) {
        try {
            Heartbeat heartbeat = WorkerCodec.decodeRelayedHeartbeat(body);
            String relayAddress = exchange.getSourceAddress().getAddress().getHostAddress();
            if (elector.election().state() == Election.State.LEADER) {
                leaderResponder.respondToHeartbeat(
                        heartbeat,
                        relayAddress,
                        PendingResponse.Hold.BRIEF,
                        response -> sendRelayed(exchange, response));
            } else {
                HttpExchanges.sendStatus(exchange, StatusCodes.SERVICE_UNAVAILABLE);
            }
        } catch (MalformedMessageException e) {
            counters.onMalformedMessage();
            HttpExchanges.sendStatus(exchange, StatusCodes.BAD_REQUEST);
        }
    }

    private static void sendRelayed(
            HttpServerExchange exchange, Optional<HeartbeatResponse> response) {
        if (response.isEmpty()) {
            HttpExchanges.sendStatus(exchange, StatusCodes.SERVICE_UNAVAILABLE);
        } else {
            HttpExchanges.sendJson(
                    exchange,
                    StatusCodes.OK,
                    WorkerCodec.encodeRelayedHeartbeatResponse(response.get()));
        }
    }

    private void handle(
            HttpServerExchange exchange, ReceivedHeartbeat received, double deferUntilSeconds) {
        double nowSeconds = loop.nowSeconds();
        Election.State state = elector.election().state();
        if (state == Election.State.LEADER) {
            handleAsLeader(exchange, received.heartbeat(), nowSeconds);
        } else if (state != Election.State.FOLLOWER
                && nowSeconds < deferUntilSeconds
                && deferredCount < MAX_DEFERRED_HEARTBEATS) {
            // The election is likely to end within this time, possibly with this controller as the
            // leader.
            defer(exchange, received, deferUntilSeconds);
        } else {
            followerHandler.handle(exchange, received, nowSeconds);
        }
    }

    private void handleAsLeader(
            HttpServerExchange exchange, Heartbeat heartbeat, double nowSeconds) {
        counters.onDirectHeartbeat(nowSeconds);
        // Held for long, a connection that is closed with the response would occupy a socket.
        PendingResponse.Hold hold =
                exchange.isPersistent() ? PendingResponse.Hold.LONG : PendingResponse.Hold.BRIEF;
        leaderResponder.respondToHeartbeat(
                heartbeat,
                NOT_RELAYED,
                hold,
                response -> sendAsLeader(exchange, heartbeat, response));
    }

    private void sendAsLeader(
            HttpServerExchange exchange,
            Heartbeat heartbeat,
            Optional<HeartbeatResponse> response) {
        double nowSeconds = loop.nowSeconds();
        if (response.isPresent()) {
            HttpExchanges.sendCbor(
                    exchange,
                    StatusCodes.OK,
                    WorkerCodec.encodeHeartbeatResponseBody(response.get()));
        } else if (elector.election().isLeader(nowSeconds)
                || !followerHandler.tryDelegatedRenewal(exchange, heartbeat, nowSeconds)) {
            // A leader whose leader lease or grants are valid refuses to renew a lease only for a
            // reason such as an agent epoch that has ended or cancellations that it may lack. So it
            // must not renew the same lease under its own delegation.
            HttpExchanges.sendStatus(exchange, StatusCodes.SERVICE_UNAVAILABLE);
        }
    }

    private void defer(
            HttpServerExchange exchange, ReceivedHeartbeat received, double deferUntilSeconds) {
        deferredCount++;
        loop.schedule(
                DEFERRAL_RETRY_INTERVAL_SECONDS,
                () -> {
                    deferredCount--;
                    handle(exchange, received, deferUntilSeconds);
                });
    }
}
