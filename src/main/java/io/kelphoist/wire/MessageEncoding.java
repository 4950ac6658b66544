package io.kelphoist.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;

/**
 * Encodes and decodes message bodies: CBOR for users, workers, the cloud and the state store, JSON
 * between controllers.
 */
public final class MessageEncoding {
    private static final ObjectMapper CBOR_MAPPER = new CBORMapper();
    private static final ObjectMapper JSON_MAPPER = new ObjectMapper();

    private MessageEncoding() {}

    /** Returns an empty message. */
    public static ObjectNode newObject() {
        return CBOR_MAPPER.createObjectNode();
    }

    /** Encodes a message as CBOR. */
    public static byte[] encodeCbor(JsonNode node) {
        return writeBytes(CBOR_MAPPER, node);
    }

    /** Encodes a message as JSON. */
    public static byte[] encodeJson(JsonNode node) {
        return writeBytes(JSON_MAPPER, node);
    }

    /**
     * Decodes a CBOR body.
     *
     * @throws MalformedMessageException if the body is not exactly one map
     */
    public static ObjectNode decodeCbor(byte[] body) throws MalformedMessageException {
        return readObject(CBOR_MAPPER, body);
    }

    /**
     * Decodes a JSON body.
     *
     * @throws MalformedMessageException if the body is not exactly one map
     */
    public static ObjectNode decodeJson(byte[] body) throws MalformedMessageException {
        return readObject(JSON_MAPPER, body);
    }

    private static byte[] writeBytes(ObjectMapper mapper, JsonNode node) {
        try {
            return mapper.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static ObjectNode readObject(ObjectMapper mapper, byte[] body)
            throws MalformedMessageException {
        try (var parser = mapper.getFactory().createParser(body)) {
            JsonNode node = mapper.readTree(parser);
            if (!(node instanceof ObjectNode object)) {
                throw new MalformedMessageException("not a map");
            }
            if (parser.nextToken() != null) {
                throw new MalformedMessageException("more than one value");
            }
            return object;
        } catch (IOException | RuntimeException e) {
            throw new MalformedMessageException("unreadable: " + e.getClass().getSimpleName());
        }
    }
}
