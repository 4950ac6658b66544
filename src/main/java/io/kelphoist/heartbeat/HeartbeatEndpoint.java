package io.kelphoist.heartbeat;

import io.kelphoist.election.Election;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.leadership.LeaderElector;
import io.kelphoist.metrics.ControllerCounters;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.HeartbeatResponse;
import io.kelphoist.wire.HttpExchanges;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.ReceivedHeartbeat;
import io.kelphoist.wire.WorkerCodec;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP endpoint of heartbeats, from workers directly and relayed by other controllers. The leader
 * answers them; on any other controller {@link FollowerHeartbeatHandler} handles them, after a
 * short wait for an election that is in progress.
 *
 * <p>Owns the number of waiting heartbeats. Confined to the controller's event loop.
 */
public final class HeartbeatEndpoint {
    /** Answers heartbeats as the leader. */
    public interface LeaderResponder {
        /**
         * Returns the response; empty if this controller must not answer the heartbeat.
         *
         * @param relayAddress address of the controller that relayed the heartbeat; empty if it
         *     came directly
         */
        Optional<HeartbeatResponse> respondToHeartbeat(Heartbeat heartbeat, String relayAddress);
    }

    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatEndpoint.class);
    private static final String NOT_RELAYED = "";

    /** How long a heartbeat may wait for the end of an election. */
    private static final double MAX_PARK_SECONDS = 0.8;

    private static final double PARK_RETRY_INTERVAL_SECONDS = 0.05;
    private static final int MAX_PARKED = 200;

    private final LeaderElector elector;
    private final EventLoop loop;
    private final ControllerCounters counters;
    private final WorkerConnections connections;
    private final LeaderResponder leaderResponder;
    private final FollowerHeartbeatHandler followerHandler;
    private int parkedCount;

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
        handle(exchange, received, loop.nowSeconds() + MAX_PARK_SECONDS);
    }

    /** Handles a heartbeat that another controller relayed to this one as the leader. */
    public void handleRelayed(HttpServerExchange exchange, byte[] body) {
        try {
            Heartbeat heartbeat = WorkerCodec.decodeRelayedHeartbeat(body);
            String relayAddress = exchange.getSourceAddress().getAddress().getHostAddress();
            Optional<HeartbeatResponse> response =
                    elector.election().state() == Election.State.LEADER
                            ? leaderResponder.respondToHeartbeat(heartbeat, relayAddress)
                            : Optional.empty();
            if (response.isEmpty()) {
                HttpExchanges.sendStatus(exchange, StatusCodes.SERVICE_UNAVAILABLE);
            } else {
                HttpExchanges.sendJson(
                        exchange,
                        StatusCodes.OK,
                        WorkerCodec.encodeRelayedHeartbeatResponse(response.get()));
            }
        } catch (MalformedMessageException e) {
            counters.onMalformedMessage();
            HttpExchanges.sendStatus(exchange, StatusCodes.BAD_REQUEST);
        }
    }

    private void handle(
            HttpServerExchange exchange, ReceivedHeartbeat received, double parkUntilSeconds) {
        double nowSeconds = loop.nowSeconds();
        Election.State state = elector.election().state();
        if (state == Election.State.LEADER) {
            handleAsLeader(exchange, received.heartbeat(), nowSeconds);
        } else if (state != Election.State.FOLLOWER
                && nowSeconds < parkUntilSeconds
                && parkedCount < MAX_PARKED) {
            // The election ends soon, possibly with this controller as the leader.
            park(exchange, received, parkUntilSeconds);
        } else {
            followerHandler.handle(exchange, received, nowSeconds);
        }
    }

    private void handleAsLeader(
            HttpServerExchange exchange, Heartbeat heartbeat, double nowSeconds) {
        counters.onDirectHeartbeat(nowSeconds);
        Optional<HeartbeatResponse> response =
                leaderResponder.respondToHeartbeat(heartbeat, NOT_RELAYED);
        if (response.isPresent()) {
            HttpExchanges.sendCbor(
                    exchange,
                    StatusCodes.OK,
                    WorkerCodec.encodeHeartbeatResponseBody(response.get()));
        } else if (elector.election().isLeader(nowSeconds)
                || !followerHandler.tryDelegatedRenewal(exchange, heartbeat, nowSeconds)) {
            // A leader that may act and does not answer has a reason, such as an agent epoch that
            // has ended: it must not renew under its own delegation what it refuses as leader.
            HttpExchanges.sendStatus(exchange, StatusCodes.SERVICE_UNAVAILABLE);
        }
    }

    private void park(
            HttpServerExchange exchange, ReceivedHeartbeat received, double parkUntilSeconds) {
        parkedCount++;
        loop.schedule(
                PARK_RETRY_INTERVAL_SECONDS,
                () -> {
                    parkedCount--;
                    handle(exchange, received, parkUntilSeconds);
                });
    }
}
