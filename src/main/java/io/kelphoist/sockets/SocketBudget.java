package io.kelphoist.sockets;

/**
 * Division of the sockets that a controller may open. The number of connections that workers keep
 * open grows with the number of workers, of which there are thousands, while connections of users
 * and to the state store, the cloud and the other controllers must always be possible. Therefore
 * both the connections from workers that are kept open between two heartbeats and the connections
 * to workers are bounded. Beyond a bound a new connection is opened per request instead of keeping
 * a socket open.
 *
 * @param limit number of sockets that the process may open, from the platform's settings
 */
public record SocketBudget(int limit) {
    /** Number of sockets where the platform's settings have no limit. */
    public static final int DEFAULT_LIMIT = 4096;

    /** Connections to the state store, the cloud and the other controllers. */
    private static final int RESERVED_OUTGOING_CONNECTIONS = 48;

    /** Share of the limit that is left unused. */
    private static final double SPARE_SHARE = 0.05;

    private static final double KEPT_WORKER_CONNECTION_SHARE = 0.35;
    private static final double COMMAND_CONNECTION_SHARE = 0.2;
    private static final int BACKLOG_DIVISOR = 6;
    private static final int MAX_BACKLOG = 512;

    /**
     * Above this share of the maximum number of incoming connections no worker connection is kept
     * open, so that users can connect.
     */
    private static final double NEAR_INCOMING_LIMIT_SHARE = 0.8;

    /**
     * Returns the maximum number of connections from workers that are kept open after a response.
     */
    public int maxKeptWorkerConnections() {
        return Math.max(1, (int) (KEPT_WORKER_CONNECTION_SHARE * limit));
    }

    /** Returns the maximum number of connections to workers, in use or idle. */
    public int maxCommandConnections() {
        return Math.max(1, (int) (COMMAND_CONNECTION_SHARE * limit));
    }

    /**
     * Returns the maximum number of incoming connections that wait to be accepted; they use sockets
     * too.
     */
    public int backlog() {
        return Math.max(1, Math.min(MAX_BACKLOG, limit / BACKLOG_DIVISOR));
    }

    /**
     * Returns the maximum number of accepted incoming connections. Further ones wait in the
     * backlog, so that outgoing connections do not fail for lack of sockets.
     */
    public int maxIncomingConnections() {
        int usable = (int) (limit * (1 - SPARE_SHARE));
        return Math.max(
                1, usable - maxCommandConnections() - RESERVED_OUTGOING_CONNECTIONS - backlog());
    }

    /**
     * Returns whether the number of incoming connections is so close to its maximum that worker
     * connections are not kept open.
     */
    public boolean isNearIncomingLimit(long incomingConnections) {
        return incomingConnections > NEAR_INCOMING_LIMIT_SHARE * maxIncomingConnections();
    }
}
