package io.kelphoist.sockets;

/**
 * How a controller shares out the sockets that it may have. Workers are thousands, and what they keep open goes with
 * their number; users, the state service, the cloud and the other controllers must get a connection whatever workers do.
 * So the workers' part is a bounded one: so many of their connections are kept open between two reports, and so many are
 * kept to them for orders. What is beyond that costs a connection each time, and no socket in between.
 *
 * @param limit sockets that the process may have, from the platform's settings
 */
public record SocketBudget(int limit) {
    /** Where the platform sets no limit. */
    public static final int USUAL = 4096;
    /** Left for what this controller opens itself: state service, cloud, other controllers, files of the run time. */
    private static final int OWN = 64;
    private static final double KEPT = 0.35;
    private static final double ORDERS = 0.2;

    /** Workers' connections that stay open after an answer. */
    public int keptWorkers() {
        return Math.max(1, (int) (KEPT * limit));
    }

    /** Connections to workers, in use or kept. */
    public int orderLines() {
        return Math.max(1, (int) (ORDERS * limit));
    }

    /**
     * Connections from outside at which no more are taken: those that come wait, and none of our own fails.
     *
     * @param backlog so many may wait, which counts as well
     */
    public int mostIncoming(int backlog) {
        return Math.max(limit / 4, limit - orderLines() - OWN - backlog);
    }
}
