package io.kelphoist.peer;

import java.util.Optional;
import java.util.function.Consumer;

/** Requests the leader's task events. Runs on the event loop. */
public final class TaskEventClient {
    private static final int TIMEOUT_MILLIS = 1000;

    private final PeerClient peers;

    /** Creates a client on the connections of {@code peers}. */
    public TaskEventClient(PeerClient peers) {
        this.peers = peers;
    }

    /** Whether requests can be sent to a controller. */
    public boolean hasPeer(String controller) {
        return peers.hasPeer(controller);
    }

    /**
     * Requests the events after a position.
     *
     * @param callback receives the leader's update, or nothing if there was no usable response or
     *     the controller is not the leader; runs on the event loop
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
