package io.kelphoist.sockets;

/**
 * Division of the sockets that a controller may open. The number of connections that workers keep
 * open grows with the number of workers, which are thousands, while users, the state store, the
 * cloud and the other controllers must always get a connection. The workers' part is therefore
 * bounded, for connections kept between two heartbeats as well as for connections to workers. What
 * exceeds a bound costs a new connection per request instead of an open socket.
 *
 * @param limit sockets that the process may open, from the platform's settings
 */
public record SocketBudget(int limit) {
    /** Used where the platform sets no limit. */
    public static final int DEFAULT_LIMIT = 4096;

    /** Reserved for connections to the state store, the cloud and the other controllers. */
    private static final int RESERVED_OUTGOING = 48;

    /** Never used. */
    private static final double SPARE_SHARE = 0.05;

    private static final double KEPT_WORKER_SHARE = 0.35;
    private static final double COMMAND_SHARE = 0.2;
    private static final int BACKLOG_DIVISOR = 6;
    private static final int MAX_BACKLOG = 512;

    /**
     * Above this share of the incoming connections no worker connection is kept, which makes room
     * for users.
     */
    private static final double CROWDED_SHARE = 0.8;

    /** Bound on worker connections that stay open after a response. */
    public int maxKeptWorkerConnections() {
        return Math.max(1, (int) (KEPT_WORKER_SHARE * limit));
    }

    /** Bound on connections to workers, in use or idle. */
    public int maxCommandConnections() {
        return Math.max(1, (int) (COMMAND_SHARE * limit));
    }

    /** Bound on incoming connections that wait to be accepted; they use sockets as well. */
    public int backlog() {
        return Math.max(1, Math.min(MAX_BACKLOG, limit / BACKLOG_DIVISOR));
    }

    /**
     * Bound on accepted incoming connections. Further ones wait in the backlog, so that no outgoing
     * connection fails.
     */
    public int maxIncomingConnections() {
        int usable = (int) (limit * (1 - SPARE_SHARE));
        return Math.max(1, usable - maxCommandConnections() - RESERVED_OUTGOING - backlog());
    }

    /** Whether so many incoming connections are open that worker connections are not kept. */
    public boolean isNearIncomingLimit(long incomingConnections) {
        return incomingConnections > CROWDED_SHARE * maxIncomingConnections();
    }
}
