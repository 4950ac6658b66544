package io.kelphoist.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;

/** Responds to requests that the controller serves. Runs on the I/O thread. */
public final class HttpExchanges {
    /** Content type of messages to and from users, workers and the cloud. */
    public static final String CBOR = "application/cbor";

    /** Content type of messages between controllers. */
    public static final String JSON = "application/json";

    /** Maximum size of the body of a user's or a worker's request. */
    public static final int MAX_REQUEST_BYTES = 64 * 1024;

    private HttpExchanges() {}

    /**
     * Runs a task on the current thread after the current call of the exchange's handler has
     * returned; the exchange stays open until it is responded to.
     */
    public static void dispatch(HttpServerExchange exchange, Runnable task) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, task);
    }

    /** Responds with a message in CBOR. */
    public static void sendCbor(HttpServerExchange exchange, int status, ObjectNode body) {
        sendBody(exchange, status, CBOR, MessageEncoding.encodeCbor(body));
    }

    /** Responds with a body that is already encoded in CBOR. */
    public static void sendCbor(HttpServerExchange exchange, int status, byte[] body) {
        sendBody(exchange, status, CBOR, body);
    }

    /** Responds with a message in JSON. */
    public static void sendJson(HttpServerExchange exchange, int status, ObjectNode body) {
        sendBody(exchange, status, JSON, MessageEncoding.encodeJson(body));
    }

    /** Responds with a body that is already encoded in JSON. */
    public static void sendJson(HttpServerExchange exchange, int status, byte[] body) {
        sendBody(exchange, status, JSON, body);
    }

    /** Responds with a status that says that the request is invalid, and the reason in CBOR. */
    public static void sendError(HttpServerExchange exchange, int status, String reason) {
        sendCbor(exchange, status, MessageEncoding.newObject().put("error", reason));
    }

    /**
     * Responds with status 503 (service unavailable) and the delay after which to repeat the
     * request.
     */
    public static void sendRetryLater(HttpServerExchange exchange, int delaySeconds) {
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Integer.toString(delaySeconds));
        sendStatus(exchange, StatusCodes.SERVICE_UNAVAILABLE);
    }

    /**
     * Responds with a status and without a body. If the response has started already, only ends the
     * exchange.
     */
    public static void sendStatus(HttpServerExchange exchange, int status) {
        if (!exchange.isResponseStarted()) {
            exchange.setStatusCode(status);
        }
        exchange.endExchange();
    }

    private static void sendBody(
            HttpServerExchange exchange, int status, String contentType, byte[] body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
}
