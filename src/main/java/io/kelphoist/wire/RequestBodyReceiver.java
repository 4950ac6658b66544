package io.kelphoist.wire;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the bodies of requests that a listener serves. A body is never kept beyond its limit: a
 * request whose body exceeds it is refused by {@link RefusedRequests}, whether or not it states the
 * body's length. Confined to the listener's I/O thread.
 */
public final class RequestBodyReceiver {
    private static final byte[] EMPTY_BODY = {};
    private static final long UNLIMITED_BYTES = -1;

    /** Handles a request whose body was read completely. */
    public interface BodyHandler {
        /** Responds to the request, possibly after the call has returned. */
        void handle(HttpServerExchange exchange, byte[] body);
    }

    private final RefusedRequests refusedRequests;

    /** Creates a receiver whose refusals are bounded by the given ones. */
    public RequestBodyReceiver(RefusedRequests refusedRequests) {
        this.refusedRequests = refusedRequests;
    }

    /**
     * Returns a server builder without Undertow's own limit of 2 MiB for all bodies, at which it
     * would close connections with unread bytes.
     */
    public static Undertow.Builder newServerBuilder() {
        return Undertow.builder().setServerOption(UndertowOptions.MAX_ENTITY_SIZE, UNLIMITED_BYTES);
    }

    /**
     * Reads a request's body and passes it to the handler. If the body exceeds the limit or can't
     * be read, responds with status 400 (bad request) and closes the connection.
     */
    public void receive(HttpServerExchange exchange, int maxBytes, BodyHandler handler) {
        receive(exchange, maxBytes, StatusCodes.BAD_REQUEST, handler);
    }

    /**
     * Reads a request's body and passes it to the handler.
     *
     * @param refusalStatus status of the response if the body exceeds the limit or can't be read
     */
    public void receive(
            HttpServerExchange exchange, int maxBytes, int refusalStatus, BodyHandler handler) {
        if (exchange.getRequestContentLength() > maxBytes) {
            HttpExchanges.dispatch(
                    exchange,
                    () ->
                            refusedRequests.refuse(
                                    exchange, exchange.getRequestChannel(), refusalStatus));
        } else if (exchange.isRequestComplete()) {
            HttpExchanges.dispatch(exchange, () -> handler.handle(exchange, EMPTY_BODY));
        } else if (exchange.getRequestContentLength() >= 0) {
            receiveFullBody(exchange, refusalStatus, handler);
        } else {
            BodyReader reader = new BodyReader(exchange, maxBytes, refusalStatus, handler);
            HttpExchanges.dispatch(exchange, reader::start);
        }
    }

    private static void receiveFullBody(
            HttpServerExchange exchange, int refusalStatus, BodyHandler handler) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) ->
                                HttpExchanges.dispatch(
                                        received, () -> handler.handle(received, body)),
                        (received, error) ->
                                HttpExchanges.dispatch(
                                        received, () -> closeWithStatus(received, refusalStatus)));
    }

    /** Responds to a request whose connection failed while the body was read. */
    private static void closeWithStatus(HttpServerExchange exchange, int status) {
        exchange.setPersistent(false);
        HttpExchanges.sendStatus(exchange, status);
    }

    /** Reads a body whose length is not stated. */
    private final class BodyReader {
        private final HttpServerExchange exchange;
        private final int maxBytes;
        private final int refusalStatus;
        private final BodyHandler handler;
        private final StreamSourceChannel channel;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        BodyReader(
                HttpServerExchange exchange, int maxBytes, int refusalStatus, BodyHandler handler) {
            this.exchange = exchange;
            this.maxBytes = maxBytes;
            this.refusalStatus = refusalStatus;
            this.handler = handler;
            this.channel = exchange.getRequestChannel();
        }

        void start() {
            channel.getReadSetter().set(ready -> read());
            channel.resumeReads();
            read();
        }

        private void read() {
            try (PooledByteBuffer pooled =
                    exchange.getConnection().getByteBufferPool().allocate()) {
                int count = readAvailable(pooled.getBuffer());
                if (body.size() > maxBytes) {
                    channel.suspendReads();
                    refusedRequests.refuse(exchange, channel, refusalStatus);
                } else if (count < 0) {
                    channel.suspendReads();
                    Connectors.executeRootHandler(this::handleBody, exchange);
                }
            } catch (IOException e) {
                closeWithStatus(exchange, refusalStatus);
            }
        }

        /**
         * Called as the exchange's handler, so that a failure ends the exchange with status 500.
         */
        private void handleBody(HttpServerExchange received) {
            HttpExchanges.dispatch(received, () -> handler.handle(received, body.toByteArray()));
        }

        /** Returns -1 at the end of the body, and 0 if there is no more to read now. */
        private int readAvailable(ByteBuffer buffer) throws IOException {
            int count = channel.read(buffer);
            while (count > 0 && append(buffer)) {
                count = channel.read(buffer);
            }
            return count;
        }

        /** Returns whether the body is within its limit. */
        private boolean append(ByteBuffer buffer) {
            buffer.flip();
            byte[] piece = new byte[buffer.remaining()];
            buffer.get(piece);
            body.writeBytes(piece);
            buffer.clear();
            return body.size() <= maxBytes;
        }
    }
}
