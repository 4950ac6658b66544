package io.kelphoist.emulator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Deque;

/**
 * Base class of the emulators: an HTTP server on a loopback port that decodes requests and encodes
 * responses. Owns the server; close it after use.
 */
public abstract class EmulatedService implements AutoCloseable {
    /** An HTTP response with its body before encoding. */
    public record Response(int status, ObjectNode body) {}

    /** Each open watch occupies a thread, and each controller has up to six open watches. */
    private static final int WORKER_THREADS = 64;

    private final Undertow server;

    EmulatedService() {
        server =
                Undertow.builder()
                        .setIoThreads(1)
                        .setWorkerThreads(WORKER_THREADS)
                        .addHttpListener(0, "127.0.0.1", new BlockingHandler(this::serve))
                        .build();
        server.start();
    }

    /** Returns the address of the server as host:port. */
    public final String address() {
        InetSocketAddress socketAddress =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return "127.0.0.1:" + socketAddress.getPort();
    }

    private void serve(HttpServerExchange exchange)
            throws IOException, MalformedMessageException, InterruptedException {
        byte[] body = exchange.getInputStream().readAllBytes();
        ObjectNode request =
                body.length == 0 ? MessageEncoding.newObject() : MessageEncoding.decodeCbor(body);
        Response response = respond(exchange, request);
        exchange.setStatusCode(response.status());
        exchange.getResponseSender()
                .send(ByteBuffer.wrap(MessageEncoding.encodeCbor(response.body())));
    }

    /** Returns the first value of a query parameter, or the default if the parameter is absent. */
    static String query(HttpServerExchange exchange, String name, String defaultValue) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? defaultValue : values.getFirst();
    }

    /**
     * Handles a request on a worker thread; may block.
     *
     * @param body the decoded body; an object without fields if the request has no body
     */
    protected abstract Response respond(HttpServerExchange exchange, ObjectNode body)
            throws InterruptedException;

    /** Stops the server. */
    @Override
    public void close() {
        server.stop();
    }
}
