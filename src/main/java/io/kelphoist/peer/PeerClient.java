package io.kelphoist.peer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.HttpHostClient;
import io.kelphoist.wire.HttpRequest;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Sends requests to the other controllers, which are addressed by name. The other clients of this
 * package are built on it. Owns no state; methods and callbacks run on the event loop.
 */
public final class PeerClient {
    private static final int HTTP_OK = 200;

    /** A controller's response, with any HTTP status, whose body could be decoded. */
    record PeerResponse(int status, ObjectNode body) {
        /** Returns whether the status is 200: the controller executed the request. */
        boolean isSuccess() {
            return status == HTTP_OK;
        }
    }

    private final Map<String, HttpHostClient> clientsByPeer;
    private final Consumer<String> onMalformedResponse;

    /**
     * Creates a client.
     *
     * @param clientsByPeer an HTTP client for each of the other controllers, by name
     * @param onMalformedResponse receives the log fields of each response that cannot be decoded,
     *     which is then handled as if there was no response
     */
    public PeerClient(
            Map<String, HttpHostClient> clientsByPeer, Consumer<String> onMalformedResponse) {
        this.onMalformedResponse = onMalformedResponse;
        this.clientsByPeer = Map.copyOf(clientsByPeer);
    }

    /** Returns the names of the other controllers. */
    public Set<String> peerNames() {
        return clientsByPeer.keySet();
    }

    /** Returns whether there is another controller with this name. */
    public boolean hasPeer(String peer) {
        return clientsByPeer.containsKey(peer);
    }

    /**
     * Sends a request to another controller.
     *
     * @param path one of {@link PeerPaths}
     * @param callback runs once with the response, whatever its status; empty if there was no
     *     response or its body could not be decoded. An empty body is decoded as an empty object.
     *     Runs from within this call, with an empty result, if there is no controller with this
     *     name
     */
    void call(
            String peer,
            String path,
            ObjectNode body,
            int timeoutMillis,
            Consumer<Optional<PeerResponse>> callback) {
        HttpHostClient client = clientsByPeer.get(peer);
        if (client == null) {
            callback.accept(Optional.empty());
            return;
        }
        client.call(
                HttpRequest.post(path, MessageEncoding.encodeJson(body)),
                timeoutMillis,
                result -> callback.accept(decodeResponse(peer, result)));
    }

    /**
     * Sends a request to another controller, whose response is used only if it is successful.
     *
     * @param path one of {@link PeerPaths}
     * @param callback runs once with the body of the response; empty if its status is not 200, it
     *     could not be decoded or did not arrive, or there is no controller with this name
     */
    void request(
            String peer,
            String path,
            ObjectNode body,
            int timeoutMillis,
            Consumer<Optional<ObjectNode>> callback) {
        call(
                peer,
                path,
                body,
                timeoutMillis,
                response ->
                        callback.accept(
                                response.filter(PeerResponse::isSuccess).map(PeerResponse::body)));
    }

    private Optional<PeerResponse> decodeResponse(String peer, HttpHostClient.CallResult result) {
        if (!(result instanceof HttpHostClient.Response response)) {
            return Optional.empty();
        }
        try {
            ObjectNode body =
                    response.body().length == 0
                            ? MessageEncoding.newObject()
                            : MessageEncoding.decodeJson(response.body());
            return Optional.of(new PeerResponse(response.status(), body));
        } catch (MalformedMessageException e) {
            onMalformedResponse.accept("peer=" + peer + " error=" + e.getMessage());
            return Optional.empty();
        }
    }
}
