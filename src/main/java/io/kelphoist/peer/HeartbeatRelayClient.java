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

    /** Returns whether there is another controller with this name; it may be unreachable. */
    public boolean hasPeer(String controller) {
        return peers.hasPeer(controller);
    }

    /**
     * Relays a heartbeat unchanged, including fields that this version does not know.
     *
     * @param callback receives the body of the response for the worker, in CBOR. It has all fields
     *     of the leader's response, including those that this version does not know. Empty if the
     *     leader did not accept the heartbeat or sent no usable response
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
