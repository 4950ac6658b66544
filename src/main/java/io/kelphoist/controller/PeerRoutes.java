package io.kelphoist.controller;

import io.kelphoist.peer.GrantCodec;
import io.kelphoist.peer.GrantResponse;
import io.kelphoist.peer.HandoverCodec;
import io.kelphoist.peer.PeerPaths;
import io.kelphoist.peer.TaskEventCodec;
import io.kelphoist.wire.HttpExchanges;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.RefusedRequests;
import io.kelphoist.wire.RequestBodyReceiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.Optional;

/** The HTTP routes for the other controllers. Runs on the event loop. */
final class PeerRoutes implements HttpHandler {
    private static final int MAX_BODY_BYTES = 4 << 20;

    /** Handles a message from another controller. */
    private interface MessageHandler {
        /**
         * Returns the encoded response.
         *
         * @throws MalformedMessageException if the message cannot be decoded
         */
        byte[] handle(byte[] message) throws MalformedMessageException;
    }

    private final ControllerComponents components;
    private final RequestBodyReceiver requestBodies;

    PeerRoutes(ControllerComponents components) {
        this.components = components;
        this.requestBodies =
                new RequestBodyReceiver(
                        new RefusedRequests(
                                RefusedRequests.Limits.DEFAULT,
                                components.counters()::onRefusedRequestCutOff));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case PeerPaths.GRANT -> receiveMessage(exchange, this::onGrantRequest);
            case PeerPaths.HANDOVER -> receiveMessage(exchange, this::onHandover);
            case PeerPaths.EVENTS -> receiveMessage(exchange, this::onEventsRequest);
            case PeerPaths.HEARTBEAT ->
                    requestBodies.receive(
                            exchange,
                            MAX_BODY_BYTES,
                            components.heartbeatEndpoint()::handleRelayed);
            default ->
                    requestBodies.receive(
                            exchange,
                            MAX_BODY_BYTES,
                            StatusCodes.NOT_FOUND,
                            (received, body) ->
                                    HttpExchanges.sendStatus(received, StatusCodes.NOT_FOUND));
        }
    }

    private void receiveMessage(HttpServerExchange exchange, MessageHandler handler) {
        requestBodies.receive(
                exchange, MAX_BODY_BYTES, (received, body) -> respond(received, body, handler));
    }

    private void respond(HttpServerExchange exchange, byte[] body, MessageHandler handler) {
        try {
            HttpExchanges.sendJson(exchange, StatusCodes.OK, handler.handle(body));
        } catch (MalformedMessageException e) {
            components.counters().onMalformedMessage();
            HttpExchanges.sendStatus(exchange, StatusCodes.BAD_REQUEST);
        }
    }

    private byte[] onGrantRequest(byte[] message) throws MalformedMessageException {
        GrantResponse response =
                components.grantExchange().onGrantRequest(GrantCodec.decodeRequest(message));
        return GrantCodec.encodeResponseBody(response);
    }

    private byte[] onHandover(byte[] message) throws MalformedMessageException {
        components.grantExchange().onPeerTermEnded(HandoverCodec.decode(message));
        return HandoverCodec.encodeResponseBody();
    }

    private byte[] onEventsRequest(byte[] message) throws MalformedMessageException {
        TaskEventCodec.EventsRequest request = TaskEventCodec.decodeRequest(message);
        Optional<TaskEventCodec.TermUpdate> update =
                components.observers().eventFeed().flatMap(feed -> feed.onEventsRequest(request));
        return TaskEventCodec.encodeResponseBody(update);
    }
}
