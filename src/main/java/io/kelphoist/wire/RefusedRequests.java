package io.kelphoist.wire;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.Channels;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Requests that are refused before their body was read. The response is sent at once. The rest of
 * the body is then read and discarded, and the connection is closed after it: closing a connection
 * with unread bytes resets it, and a client that still writes then gets an error in place of the
 * response.
 *
 * <p>Discarding is bounded in bytes and in time for each request, and in requests at once. After
 * the bound in bytes nothing more is read, so that the client has the rest of the time to read the
 * response. A request that reaches the bound in time, or the oldest one of too many, is cut off.
 *
 * <p>Owns the refused requests whose bodies are being discarded. Confined to the I/O thread of one
 * listener.
 */
public final class RefusedRequests {
    /**
     * Bounds on what is read after a refusal.
     *
     * @param bodyBytes maximum number of bytes that are discarded of one body
     * @param millis maximum time for which one body is discarded
     * @param concurrentRequests maximum number of requests whose bodies are discarded at once
     */
    public record Limits(int bodyBytes, int millis, int concurrentRequests) {
        /** The limits of one listener of a controller. */
        public static final Limits DEFAULT = new Limits(4 << 20, 5_000, 64);
    }

    /** Maximum number of bytes that are discarded before other connections are served. */
    private static final int MAX_BYTES_PER_TURN = 64 << 10;

    private static final Logger LOG = LoggerFactory.getLogger(RefusedRequests.class);

    private final Limits limits;
    private final Runnable cutOffListener;

    /** The requests that are being discarded, the oldest first. */
    private final Set<DiscardedBody> discardedBodies = new LinkedHashSet<>();

    /**
     * Creates an empty set.
     *
     * @param cutOffListener called for each request whose connection is closed at a bound
     */
    public RefusedRequests(Limits limits, Runnable cutOffListener) {
        this.limits = limits;
        this.cutOffListener = cutOffListener;
    }

    /**
     * Responds to a request with a status and without a body, and closes the connection once the
     * request's body was discarded. Must not be called within the call of the exchange's handler.
     *
     * @param requestChannel the channel of the request's body, which the caller no longer reads
     */
    void refuse(HttpServerExchange exchange, StreamSourceChannel requestChannel, int status) {
        if (discardedBodies.size() >= limits.concurrentRequests()) {
            discardedBodies.iterator().next().cutOff();
        }
        exchange.setPersistent(false);
        DiscardedBody body = new DiscardedBody(exchange, requestChannel);
        try {
            sendStatus(exchange, status);
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        body.start();
    }

    private static void sendStatus(HttpServerExchange exchange, int status) throws IOException {
        exchange.setStatusCode(status);
        exchange.setResponseContentLength(0);
        StreamSinkChannel channel = exchange.getResponseChannel();
        channel.shutdownWrites();
        if (!channel.flush()) {
            channel.getWriteSetter()
                    .set(
                            ChannelListeners.flushingChannelListener(
                                    null, ChannelListeners.closingChannelExceptionHandler()));
            channel.resumeWrites();
        }
    }

    /** A body that is read and discarded. */
    private final class DiscardedBody {
        private final HttpServerExchange exchange;
        private final StreamSourceChannel channel;
        private int remainingBytes = limits.bodyBytes();
        private XnioExecutor.Key timeout;

        DiscardedBody(HttpServerExchange exchange, StreamSourceChannel channel) {
            this.exchange = exchange;
            this.channel = channel;
        }

        void start() {
            discardedBodies.add(this);
            exchange.addExchangeCompleteListener(
                    (completed, next) -> {
                        end();
                        next.proceed();
                    });
            timeout =
                    exchange.getIoThread()
                            .executeAfter(this::cutOff, limits.millis(), TimeUnit.MILLISECONDS);
            channel.getReadSetter().set(ready -> discard());
            channel.resumeReads();
            discard();
        }

        private void discard() {
            try {
                int maxBytes = Math.min(remainingBytes, MAX_BYTES_PER_TURN);
                long count = Channels.drain(channel, maxBytes);
                if (count < 0) {
                    // The exchange is complete.
                    return;
                }
                remainingBytes -= (int) count;
                if (remainingBytes == 0) {
                    channel.suspendReads();
                }
            } catch (IOException e) {
                end();
                IoUtils.safeClose(exchange.getConnection());
            }
        }

        private void cutOff() {
            cutOffListener.run();
            LOG.debug(
                    "refused request cut off: source={} discardedBytes={}",
                    exchange.getSourceAddress(),
                    limits.bodyBytes() - remainingBytes);
            end();
            IoUtils.safeClose(exchange.getConnection());
        }

        private void end() {
            discardedBodies.remove(this);
            timeout.remove();
        }
    }
}
