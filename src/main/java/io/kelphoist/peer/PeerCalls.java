package io.kelphoist.peer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.BadMessage;
import io.kelphoist.wire.Cbor;
import io.kelphoist.wire.HttpCaller;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Calls to the other controllers, by name. */
public final class PeerCalls {
    /** A peer's answer. */
    public record PeerAnswer(int status, ObjectNode body) { }

    private static final Logger LOG = LoggerFactory.getLogger(PeerCalls.class);
    private final Map<String, HttpCaller> peers;
    private long garbage;

    public PeerCalls(Map<String, HttpCaller> peers) {
        this.peers = Map.copyOf(peers);
    }

    public boolean knows(String peer) {
        return peers.containsKey(peer);
    }

    /** Answers that could not be understood; each was treated as none. */
    public long garbage() {
        return garbage;
    }

    /** Null: no answer that can be used. */
    public void call(String peer, String path, ObjectNode body, int timeoutMs, Consumer<PeerAnswer> handler) {
        HttpCaller caller = peers.get(peer);
        if (caller == null) {
            handler.accept(null);
            return;
        }
        caller.call("POST", path, Cbor.encodeJson(body), timeoutMs, reply -> {
            PeerAnswer answer = null;
            if (reply instanceof HttpCaller.Answer a) {
                try {
                    answer = new PeerAnswer(a.status(), a.body().length == 0 ? Cbor.map() : Cbor.decodeJson(a.body()));
                } catch (BadMessage e) {
                    garbage++;
                    LOG.warn("{} sent something {}", peer, e.getMessage());
                }
            }
            handler.accept(answer);
        });
    }
}
