package io.kelphoist.sockets;

/**
 * Division of the sockets that a controller may open between kinds of connections. The number of
 * connections that workers keep open grows with the number of workers, of which there are
 * thousands, while connections of users and to the state store, the cloud and the other controllers
 * must always be possible. Therefore both the connections from workers that are kept open between
 * two heartbeats and the connections to workers are bounded. If the bound on kept connections is
 * reached, a worker opens a new connection for each heartbeat. If the bound on connections to
 * workers is reached, an idle one is closed before another is opened; while none is idle, nothing
 * is sent to a worker without a connection.
 *
 * <p>Connections of the gRPC server are not counted.
 *
 * @param limit number of sockets that the process may open, from the platform's settings
 */
public record SocketBudget(int limit) {
    /** Number of sockets that the process may open if the platform's settings have no limit. */
    public static final int DEFAULT_LIMIT = 4096;

    /**
     * Sockets reserved for connections to the state store, the cloud and the other controllers.
     * With two other controllers, {@code ControllerFactory} allows 26: 16 to the state store, 2 to
     * the cloud and 4 to each controller.
     */
    private static final int RESERVED_OUTGOING_CONNECTIONS = 48;

    /**
     * Share of the limit that no bound uses. It remains for sockets that are not counted, such as
     * those of listeners and of the gRPC server.
     */
    private static final double SPARE_SHARE = 0.05;

    /**
     * Share of the limit for connections from workers that are kept open between two heartbeats.
     * They are incoming connections, see {@link #maxIncomingConnections}.
     */
    private static final double KEPT_WORKER_CONNECTION_SHARE = 0.35;

    /** Share of the limit for the connections to workers, which are used for commands. */
    private static final double COMMAND_CONNECTION_SHARE = 0.2;

    /** The backlog is at most the limit divided by this number. */
    private static final int BACKLOG_DIVISOR = 6;

    private static final int MAX_BACKLOG = 512;

    /**
     * Above this share of {@link #maxIncomingConnections} no worker connection is kept open after a
     * response, so that users can connect.
     */
    private static final double NEAR_INCOMING_LIMIT_SHARE = 0.8;

    /**
     * Returns the maximum number of connections from workers that are kept open after the response
     * to a heartbeat.
     */
    public int maxKeptWorkerConnections() {
        return Math.max(1, (int) (KEPT_WORKER_CONNECTION_SHARE * limit));
    }

    /**
     * Returns the maximum number of connections to workers, in use or idle, on which commands,
     * status requests and probes are sent.
     */
    public int maxCommandConnections() {
        return Math.max(1, (int) (COMMAND_CONNECTION_SHARE * limit));
    }

    /**
     * Returns the maximum number of incoming connections of an HTTP listener that wait to be
     * accepted. They count towards the limit too.
     */
    public int backlog() {
        return Math.max(1, Math.min(MAX_BACKLOG, limit / BACKLOG_DIVISOR));
    }

    /**
     * Returns the maximum number of accepted connections of an HTTP listener: from users and
     * workers at the public address, or from other controllers at the peer address. Further ones
     * wait in the backlog, so that outgoing connections do not fail for lack of sockets.
     */
    public int maxIncomingConnections() {
        int usable = (int) (limit * (1 - SPARE_SHARE));
        return Math.max(
                1, usable - maxCommandConnections() - RESERVED_OUTGOING_CONNECTIONS - backlog());
    }

    /**
     * Returns whether the number of connections to the public address is so close to its maximum
     * that worker connections are not kept open.
     */
    public boolean isNearIncomingLimit(long incomingConnections) {
        return incomingConnections > NEAR_INCOMING_LIMIT_SHARE * maxIncomingConnections();
    }
}
