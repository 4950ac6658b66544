package io.kelphoist.heartbeat;

import io.kelphoist.sockets.SocketBudget;
import io.undertow.server.ServerConnection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.xnio.IoUtils;

/**
 * Connections on which workers send heartbeats. A bounded number of them is kept open between two
 * heartbeats; all others are closed after the response.
 *
 * <p>Owns the connections that are kept open. Confined to the controller's event loop, except
 * {@link #size}.
 */
public final class WorkerConnections {
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;
    private static final double IDLE_CHECK_INTERVAL_SECONDS = 2;

    private final SocketBudget budget;
    private final double idleTimeoutSeconds;
    private LongSupplier incomingConnectionCount = () -> 0;

    /** Time of the last heartbeat on each connection, the least recently used connection first. */
    private final Map<ServerConnection, Double> lastUseSecondsByConnection =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

    private double nextIdleCheckAtSeconds;

    /**
     * Creates an empty set of connections.
     *
     * @param budget bounds the number of connections that are kept open
     * @param idleTimeoutSeconds time without a heartbeat after which a connection is closed: the
     *     worker no longer uses it, even if no close was received
     */
    public WorkerConnections(SocketBudget budget, double idleTimeoutSeconds) {
        this.budget = budget;
        this.idleTimeoutSeconds = idleTimeoutSeconds;
    }

    /** Sets the supplier of the number of open incoming connections, which is 0 until then. */
    public void setIncomingConnectionCount(LongSupplier connectionCount) {
        incomingConnectionCount = connectionCount;
    }

    /**
     * Decides whether a connection on which a heartbeat arrived is kept open after the response,
     * and records its use if so. If not, the caller must have it closed after the response.
     */
    boolean keepAlive(ServerConnection connection, double nowSeconds) {
        if (budget.isNearIncomingLimit(incomingConnectionCount.getAsLong())) {
            return false;
        }
        if (lastUseSecondsByConnection.replace(connection, nowSeconds) != null) {
            return true;
        }
        if (lastUseSecondsByConnection.size() >= budget.maxKeptWorkerConnections()) {
            return false;
        }
        lastUseSecondsByConnection.put(connection, nowSeconds);
        connection.addCloseListener(lastUseSecondsByConnection::remove);
        return true;
    }

    /**
     * Closes idle connections, if a check is due. Without this, a connection that was cut off
     * without a close would stay open for much longer or for ever.
     */
    public void closeIdle(double nowSeconds) {
        if (nowSeconds < nextIdleCheckAtSeconds) {
            return;
        }
        nextIdleCheckAtSeconds = nowSeconds + IDLE_CHECK_INTERVAL_SECONDS;
        while (closeLeastRecentlyUsedIfIdle(nowSeconds)) {
            // Each call uses a new iterator, because the close listener also removes map entries.
        }
    }

    private boolean closeLeastRecentlyUsedIfIdle(double nowSeconds) {
        Iterator<Map.Entry<ServerConnection, Double>> iterator =
                lastUseSecondsByConnection.entrySet().iterator();
        if (!iterator.hasNext()) {
            return false;
        }
        Map.Entry<ServerConnection, Double> leastRecentlyUsed = iterator.next();
        if (nowSeconds - leastRecentlyUsed.getValue() < idleTimeoutSeconds) {
            return false;
        }
        iterator.remove();
        IoUtils.safeClose(leastRecentlyUsed.getKey());
        return true;
    }

    /**
     * Returns the number of connections that are kept open. For metrics; callable on any thread.
     */
    public int size() {
        return lastUseSecondsByConnection.size();
    }
}
