package io.kelphoist.peer;

import io.kelphoist.wire.MessageEncoding;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Sends the messages of an election to the other controllers: requests for grants, handovers, and
 * probes. Owns no state; runs on the event loop.
 */
public final class GrantClient {
    private static final int TIMEOUT_MILLIS = 800;

    private final PeerClient peers;

    /** Creates a client on the connections of {@code peers}. */
    public GrantClient(PeerClient peers) {
        this.peers = peers;
    }

    /** Returns the names of the other controllers. */
    public Set<String> peerNames() {
        return peers.peerNames();
    }

    /**
     * Requests a grant.
     *
     * @param onResponse receives the response; is not called if there is none that can be used
     */
    public void requestGrant(
            String peer, GrantRequest request, Consumer<GrantResponse> onResponse) {
        peers.request(
                peer,
                PeerPaths.GRANT,
                GrantCodec.encodeRequest(request),
                TIMEOUT_MILLIS,
                response -> response.map(GrantCodec::decodeResponse).ifPresent(onResponse));
    }

    /** Hands over; whether the message arrives does not matter to the sender. */
    public void handOver(String peer, HandoverMessage handover) {
        peers.call(
                peer,
                PeerPaths.HANDOVER,
                HandoverCodec.encode(handover),
                TIMEOUT_MILLIS,
                ignored -> {});
    }

    /**
     * Sends a request that every version answers and that changes nothing.
     *
     * @param onResponse is called if there is any response, an error of the controller included
     */
    public void probe(String peer, Runnable onResponse) {
        peers.call(
                peer,
                PeerPaths.EVENTS,
                MessageEncoding.newObject(),
                TIMEOUT_MILLIS,
                response -> response.ifPresent(ignored -> onResponse.run()));
    }
}
