package io.kelphoist.peer;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Requests the leader's task events: the {@link io.kelphoist.events.TransientEvent}s that its event
 * log derives from the scheduler's {@code TaskEvent}s. Owns no state; runs on the event loop.
 */
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
     * @param controller the presumed leader
     * @param callback receives the leader's update; empty if there is no controller with this name,
     *     if no response arrived, if it had an error status or could not be decoded, or if the
     *     controller is not the leader or publishes no events. Runs on the event loop
     */
    public void requestEvents(
            String controller,
            TaskEventCodec.EventsRequest request,
            Consumer<Optional<TaskEventCodec.TermUpdate>> callback) {
        peers.request(
                controller,
                PeerPaths.EVENTS,
                TaskEventCodec.encodeRequest(request),
                TIMEOUT_MILLIS,
                response -> callback.accept(response.flatMap(TaskEventCodec::decodeResponse)));
    }
}
