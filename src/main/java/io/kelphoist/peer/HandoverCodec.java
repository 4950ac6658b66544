package io.kelphoist.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.util.Optional;

/**
 * Encodes and decodes the message with which a leader hands over leadership, and encodes the
 * response to it. A missing field is decoded as the default given at {@link HandoverMessage};
 * unknown fields are skipped.
 */
public final class HandoverCodec {
    private static final String TERM = "term";
    private static final String SENDER = "from";

    /** The value is an empty string if there is no preferred successor. */
    private static final String PREFERRED_SUCCESSOR = "next";

    private HandoverCodec() {}

    /** Encodes a message. */
    static ObjectNode encode(HandoverMessage handover) {
        ObjectNode message =
                MessageEncoding.newObject()
                        .put(TERM, handover.endedTerm())
                        .put(SENDER, handover.sender())
                        .put(PREFERRED_SUCCESSOR, handover.preferredSuccessor().orElse(""));
        handover.machineStateUpdate()
                .ifPresent(
                        update ->
                                message.set(
                                        ReplicationCodec.FIELD_NAME,
                                        ReplicationCodec.encodeUpdate(update)));
        return message;
    }

    /**
     * Decodes the body of a message.
     *
     * @throws MalformedMessageException if the body is not a JSON object
     */
    public static HandoverMessage decode(byte[] body) throws MalformedMessageException {
        JsonNode message = MessageEncoding.decodeJson(body);
        return new HandoverMessage(
                message.path(TERM).asLong(),
                message.path(SENDER).asText(),
                Optional.of(message.path(PREFERRED_SUCCESSOR).asText())
                        .filter(successor -> !successor.isEmpty()),
                ReplicationCodec.decodeUpdate(message.path(ReplicationCodec.FIELD_NAME)));
    }

    /** Encodes the body of the response: an empty object, which acknowledges the message. */
    public static byte[] encodeResponseBody() {
        return MessageEncoding.encodeJson(MessageEncoding.newObject());
    }
}
