package io.kelphoist.peer;

import io.kelphoist.wire.MessageEncoding;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Sends the messages of leader election to the other controllers: grant requests, handovers and
 * reachability probes. Owns no state; runs on the event loop.
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
     * Requests a grant from another controller.
     *
     * @param onResponse receives the response; not called if no response arrives, or if it has an
     *     error status or cannot be decoded
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

    /**
     * Notifies another controller that the term led by this one has ended. The response is ignored,
     * and a message that is lost is not sent again.
     */
    public void handOver(String peer, HandoverMessage handover) {
        peers.call(
                peer,
                PeerPaths.HANDOVER,
                HandoverCodec.encode(handover),
                TIMEOUT_MILLIS,
                ignored -> {});
    }

    /**
     * Checks whether another controller is reachable. The probe is an empty request for task
     * events: every version responds to it, and it changes nothing at the receiver.
     *
     * @param onResponse called if a response that can be decoded arrives, even with an error status
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
