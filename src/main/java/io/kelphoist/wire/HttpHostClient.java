package io.kelphoist.wire;

import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * HTTP client for one host, over a bounded number of persistent connections with one request at a
 * time on each.
 *
 * <p>Every call ends with exactly one {@link CallResult}, also after failures. Owns the pool of
 * idle connections and the queue of calls that wait for a connection. All methods and callbacks run
 * on one I/O thread.
 */
public final class HttpHostClient {
    /** Outcome of a call. */
    public sealed interface CallResult {}

    /** The host sent a complete response. */
    public static final class Response implements CallResult {
        private final int status;
        private final byte[] body;

        Response(int status, byte[] body) {
            this.status = status;
            this.body = body;
        }

        /** Returns the HTTP status. */
        public int status() {
            return status;
        }

        /** Returns the body, which the caller must not change; empty if the response has none. */
        public byte[] body() {
            return body;
        }
    }

    /** The request was not sent, so it can't be executed, now or later. */
    public record NotSent() implements CallResult {}

    /**
     * No complete response was received: the request may have been executed, or may be executed
     * later.
     */
    public record NoResponse() implements CallResult {}

    /** Receives the outcome of a call. */
    public interface ResultHandler {
        /** Runs once for each call, on the I/O thread. */
        void onResult(CallResult result);
    }

    static final CallResult NOT_SENT = new NotSent();
    static final CallResult NO_RESPONSE = new NoResponse();

    final XnioIoThread ioThread;
    final ByteBufferPool buffers;
    final URI uri;
    final String host;
    final String contentType;
    private final int maxConnections;
    private final Deque<ClientConnection> idleConnections = new ArrayDeque<>();
    private final Deque<HttpCall> queuedCalls = new ArrayDeque<>();
    private int activeCalls;

    /**
     * Creates a client. It does not connect before the first call.
     *
     * @param address host and port
     * @param contentType content type of the request bodies
     * @param maxConnections maximum number of connections and so of calls in flight; further calls
     *     are queued
     */
    public HttpHostClient(
            XnioIoThread ioThread,
            ByteBufferPool buffers,
            String address,
            String contentType,
            int maxConnections) {
        this.ioThread = ioThread;
        this.buffers = buffers;
        this.uri = URI.create("http://" + address);
        this.host = address;
        this.contentType = contentType;
        this.maxConnections = maxConnections;
    }

    /**
     * Sends a request.
     *
     * @param timeoutMillis maximum time until the result, including the time in the queue
     */
    public void call(HttpRequest request, int timeoutMillis, ResultHandler handler) {
        HttpCall call = new HttpCall(this, request, handler);
        call.startTimer(timeoutMillis);
        if (activeCalls >= maxConnections) {
            queuedCalls.add(call);
        } else {
            activeCalls++;
            call.start();
        }
    }

    /**
     * Closes the idle connections. Calls in flight and queued calls continue, and their reusable
     * connections are returned to the pool.
     */
    public void close() {
        for (ClientConnection connection = idleConnections.poll();
                connection != null;
                connection = idleConnections.poll()) {
            IoUtils.safeClose(connection);
        }
    }

    /** Returns whether no call is in flight or queued. */
    public boolean isIdle() {
        return activeCalls == 0 && queuedCalls.isEmpty();
    }

    /** Takes an open connection from the pool; null if the pool has none. */
    ClientConnection pollIdleConnection() {
        for (ClientConnection connection = idleConnections.poll();
                connection != null;
                connection = idleConnections.poll()) {
            if (connection.isOpen()) {
                return connection;
            }
            IoUtils.safeClose(connection);
        }
        return null;
    }

    /** Puts a reusable connection back into the pool. */
    void returnConnection(ClientConnection connection) {
        idleConnections.push(connection);
    }

    /** Removes a call from the queue before it is started. */
    void removeQueued(HttpCall call) {
        queuedCalls.remove(call);
    }

    /** Starts the next queued call, after a started call has ended. */
    void onCallFinished() {
        HttpCall next = queuedCalls.poll();
        if (next != null) {
            next.start();
        } else {
            activeCalls--;
        }
    }
}
