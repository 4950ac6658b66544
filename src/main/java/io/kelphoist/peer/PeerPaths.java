package io.kelphoist.peer;

/** HTTP paths of the messages between controllers. Every version serves all of them. */
public final class PeerPaths {
    /** A leader requests a grant. */
    public static final String GRANT = "/peer/grant";

    /** A leader hands over leadership: its term has ended. */
    public static final String HANDOVER = "/peer/over";

    /** A follower requests the leader's transient events. */
    public static final String EVENTS = "/peer/events";

    /** A follower relays a worker's heartbeat. */
    public static final String HEARTBEAT = "/peer/report";

    private PeerPaths() {}
}
