package io.kelphoist.heartbeat;

import io.kelphoist.sockets.SocketBudget;
import io.undertow.server.ServerConnection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.xnio.IoUtils;

/**
 * Connections on which workers send heartbeats. A bounded number is kept open between two
 * heartbeats; all others are closed after the response.
 *
 * <p>Owns the kept connections. Confined to the controller's event loop, except {@link #size}.
 */
public final class WorkerConnections {
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;
    private static final double SWEEP_INTERVAL_SECONDS = 2;

    private final SocketBudget budget;
    private final double idleTimeoutSeconds;
    private LongSupplier incomingConnectionCount = () -> 0;

    /** When each connection was last used, the least recently used first. */
    private final Map<ServerConnection, Double> lastUseSecondsByConnection =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

    private double nextSweepAtSeconds;

    /**
     * Creates an empty set of connections.
     *
     * @param idleTimeoutSeconds silence after which a worker has certainly given its connection up,
     *     even if no close was received
     */
    public WorkerConnections(SocketBudget budget, double idleTimeoutSeconds) {
        this.budget = budget;
        this.idleTimeoutSeconds = idleTimeoutSeconds;
    }

    /** Sets the source of the number of open incoming connections; 0 until then. */
    public void setIncomingConnectionCount(LongSupplier connectionCount) {
        incomingConnectionCount = connectionCount;
    }

    /** Whether a connection on which a heartbeat arrived is kept open after the response. */
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
     * Closes idle connections. Without this a connection that was cut off would be closed much
     * later, if ever.
     */
    public void closeIdle(double nowSeconds) {
        if (nowSeconds < nextSweepAtSeconds) {
            return;
        }
        nextSweepAtSeconds = nowSeconds + SWEEP_INTERVAL_SECONDS;
        while (closeLeastRecentlyUsedIfIdle(nowSeconds)) {
            // A new iterator each time, because a close listener removes entries as well.
        }
    }

    private boolean closeLeastRecentlyUsedIfIdle(double nowSeconds) {
        Iterator<Map.Entry<ServerConnection, Double>> iterator =
                lastUseSecondsByConnection.entrySet().iterator();
        if (!iterator.hasNext()) {
            return false;
        }
        Map.Entry<ServerConnection, Double> eldest = iterator.next();
        if (nowSeconds - eldest.getValue() < idleTimeoutSeconds) {
            return false;
        }
        iterator.remove();
        IoUtils.safeClose(eldest.getKey());
        return true;
    }

    /** Number of kept connections; for the metrics, from any thread. */
    public int size() {
        return lastUseSecondsByConnection.size();
    }
}
