package io.kelphoist.peer;

import java.util.Optional;
import java.util.function.Consumer;

/** Requests the leader's task events. Owns no state; runs on the event loop. */
public final class TaskEventClient {
    private static final int TIMEOUT_MILLIS = 1000;

    private final PeerClient peers;

    /** Creates a client on the connections of {@code peers}. */
    public TaskEventClient(PeerClient peers) {
        this.peers = peers;
    }

    /** Returns whether there is another controller with this name; it may be unreachable. */
    public boolean hasPeer(String controller) {
        return peers.hasPeer(controller);
    }

    /**
     * Requests task events from a sequence number on.
     *
     * @param callback receives the leader's update; empty if there was no usable response or the
     *     controller is not the leader; runs on the event loop
     */
    public void requestEvents(
            String leader,
            TaskEventCodec.EventsRequest request,
            Consumer<Optional<TaskEventCodec.TermUpdate>> callback) {
        peers.request(
                leader,
                PeerPaths.EVENTS,
                TaskEventCodec.encodeRequest(request),
                TIMEOUT_MILLIS,
                response -> callback.accept(response.flatMap(TaskEventCodec::decodeResponse)));
    }
}
