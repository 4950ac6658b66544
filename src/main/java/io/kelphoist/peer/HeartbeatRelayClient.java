package io.kelphoist.peer;

import io.kelphoist.wire.MessageEncoding;
import io.kelphoist.wire.ReceivedHeartbeat;
import java.util.Optional;
import java.util.function.Consumer;

/** Relays workers' heartbeats to the leader. Owns no state; runs on the event loop. */
public final class HeartbeatRelayClient {
    private static final int TIMEOUT_MILLIS = 2000;

    private final PeerClient peers;

    /** Creates a client on the connections of {@code peers}. */
    public HeartbeatRelayClient(PeerClient peers) {
        this.peers = peers;
    }

    /** Whether heartbeats can be relayed to a controller. */
    public boolean hasPeer(String controller) {
        return peers.hasPeer(controller);
    }

    /**
     * Relays a heartbeat as it came.
     *
     * @param callback receives the body for the worker, in CBOR, with all that the leader
     *     responded, fields that this version does not know included; empty if the leader did not
     *     accept the heartbeat or was not reached
     */
    public void relay(
            String leader, ReceivedHeartbeat received, Consumer<Optional<byte[]>> callback) {
        peers.request(
                leader,
                PeerPaths.HEARTBEAT,
                received.message(),
                TIMEOUT_MILLIS,
                response -> callback.accept(response.map(MessageEncoding::encodeCbor)));
    }
}
