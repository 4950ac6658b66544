package io.kelphoist.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import io.kelphoist.delegation.DelegationOffer;
import io.kelphoist.delegation.PeerStatus;
import io.kelphoist.wire.MessageEncoding;
import java.util.Optional;

/**
 * Encodes and decodes the field for lease delegation in messages between controllers. In a grant
 * request the leader offers a delegation. In the response a controller reports its status, which
 * includes the newest offer that it accepted.
 */
public final class DelegationCodec {
    /** Name of the field in both messages. Versions without lease delegation do not send it. */
    public static final String FIELD_NAME = "care";

    private DelegationCodec() {}

    /** Encodes an offer. */
    public static ObjectNode encodeOffer(DelegationOffer offer) {
        ObjectNode message =
                MessageEncoding.newObject()
                        .put("life", offer.incarnation())
                        .put("seq", offer.sequenceNumber())
                        .put("from", offer.startsAtSeconds());
        ArrayNode excludedMachines = message.putArray("except");
        offer.excludedMachines().forEach(excludedMachines::add);
        return message;
    }

    /**
     * Decodes an offer; empty if the field or one of its parts is missing or malformed.
     *
     * @param term the term of the grant request
     */
    public static Optional<DelegationOffer> decodeOffer(JsonNode message, long term) {
        if (!message.path("seq").isIntegralNumber()
                || !message.path("life").isIntegralNumber()
                || !message.path("from").isNumber()
                || !message.path("except").isArray()) {
            return Optional.empty();
        }
        ImmutableSet.Builder<String> excludedMachines = ImmutableSet.builder();
        message.path("except").forEach(name -> excludedMachines.add(name.asText()));
        return Optional.of(
                new DelegationOffer(
                        term,
                        message.path("life").asLong(),
                        message.path("seq").asLong(),
                        message.path("from").asDouble(),
                        excludedMachines.build()));
    }

    /** Encodes the status of a controller. */
    public static ObjectNode encodeStatus(PeerStatus status) {
        ObjectNode message =
                MessageEncoding.newObject()
                        .put("life", status.incarnation())
                        .put("clock", status.clockSeconds())
                        .put("up_s", status.uptimeSeconds())
                        .put("seq", status.sequenceNumber());
        if (status.sinceRenewalSeconds() != Double.POSITIVE_INFINITY) {
            message.put("cared_s", status.sinceRenewalSeconds());
        }
        return message;
    }

    /**
     * Decodes a status; empty if its clock, uptime or incarnation is missing or malformed, as in a
     * response of a version without lease delegation. Without the newest accepted offer the
     * sequence number is 0, and without a renewal the time since the last one is infinite.
     */
    public static Optional<PeerStatus> decodeStatus(JsonNode message) {
        if (!message.path("clock").isNumber()
                || !message.path("up_s").isNumber()
                || !message.path("life").isIntegralNumber()) {
            return Optional.empty();
        }
        return Optional.of(
                new PeerStatus(
                        message.path("life").asLong(),
                        message.path("clock").asDouble(),
                        message.path("up_s").asDouble(),
                        message.path("cared_s").asDouble(Double.POSITIVE_INFINITY),
                        message.path("seq").asLong()));
    }
}
