package io.kelphoist.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.cancellation.ConfirmedCancellations;
import io.kelphoist.wire.JobCodec;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Encodes and decodes the field for cancellations in messages between controllers. In a grant
 * request the leader acknowledges the confirmed cancellations that it has recorded. In the response
 * a controller states the cancellations that it has confirmed to users.
 */
public final class CancellationCodec {
    /** Name of the field in both messages. Versions without it report no cancellations. */
    public static final String FIELD_NAME = "told";

    /** A statement with more jobs than this is malformed: no version sends that many. */
    static final int MAX_JOBS = 10_000;

    /**
     * A leader's acknowledgement of cancellations that a controller confirmed.
     *
     * @param incarnation identifies the process of the controller that confirmed them; 0 if the
     *     leader has received no statement of that controller in its term
     * @param upToSequence the leader has recorded all cancellations of that incarnation up to this
     *     sequence number
     */
    public record Acknowledgement(long incarnation, long upToSequence) {}

    private CancellationCodec() {}

    /** Encodes an acknowledgement. */
    public static ObjectNode encodeAcknowledgement(long incarnation, long upToSequence) {
        return MessageEncoding.newObject().put("life", incarnation).put("have", upToSequence);
    }

    /**
     * Decodes an acknowledgement; empty if the field is malformed, or missing because the leader's
     * version does not send it.
     */
    public static Optional<Acknowledgement> decodeAcknowledgement(JsonNode message) {
        JsonNode incarnation = message.path("life");
        JsonNode upToSequence = message.path("have");
        return incarnation.isIntegralNumber() && upToSequence.isIntegralNumber()
                ? Optional.of(new Acknowledgement(incarnation.asLong(), upToSequence.asLong()))
                : Optional.empty();
    }

    /** Encodes a statement. */
    public static ObjectNode encodeStatement(ConfirmedCancellations.Statement statement) {
        ObjectNode message =
                MessageEncoding.newObject()
                        .put("life", statement.incarnation())
                        .put("since_s", statement.coveredSeconds())
                        .put("to", statement.lastSequenceNumber())
                        .put("whole", statement.complete());
        ArrayNode jobs = message.putArray("jobs");
        statement.jobIds().forEach(jobs::add);
        return message;
    }

    /**
     * Decodes a statement; empty if the field is missing or null. It is missing if the controller's
     * version does not have it, the request had no acknowledgement or the controller has seen a
     * newer term.
     *
     * @throws MalformedMessageException if any part of the statement is malformed, so that none of
     *     it may be used
     */
    public static Optional<ConfirmedCancellations.Statement> decodeStatement(JsonNode message)
            throws MalformedMessageException {
        if (message.isMissingNode() || message.isNull()) {
            return Optional.empty();
        }
        if (!isStatement(message)) {
            throw new MalformedMessageException(
                    "told is not an object with valid life, since_s, to, whole and jobs");
        }
        return Optional.of(
                new ConfirmedCancellations.Statement(
                        message.path("life").asLong(),
                        message.path("since_s").asDouble(),
                        message.path("to").asLong(),
                        message.path("whole").asBoolean(),
                        decodeJobIds(message.path("jobs"))));
    }

    private static boolean isStatement(JsonNode message) {
        JsonNode jobs = message.path("jobs");
        return message.path("life").isIntegralNumber()
                && message.path("to").isIntegralNumber()
                && message.path("to").asLong() >= 0
                && message.path("whole").isBoolean()
                && message.path("since_s").isNumber()
                && message.path("since_s").asDouble() >= 0
                && jobs.isArray()
                && jobs.size() <= MAX_JOBS;
    }

    private static List<String> decodeJobIds(JsonNode jobs) throws MalformedMessageException {
        List<String> jobIds = new ArrayList<>(jobs.size());
        for (JsonNode job : jobs) {
            if (!job.isTextual() || !JobCodec.isJobId(job.asText())) {
                throw new MalformedMessageException(
                        "told has an entry in jobs that is not a job id");
            }
            jobIds.add(job.asText());
        }
        return jobIds;
    }
}
