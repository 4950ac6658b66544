package io.kelphoist.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.events.JobEventType;
import io.kelphoist.events.TaskEventLog;
import io.kelphoist.events.TransientEvent;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Encodes and decodes a follower's request for the leader's transient events, and the response.
 * Event types that this version does not know are decoded as progress.
 */
public final class TaskEventCodec {
    /**
     * A request for the leader's transient events.
     *
     * @param term the term to which the sequence number belongs
     * @param fromSequence sequence number of the first requested event, which is {@link
     *     TaskEventLog.Update#nextSequence} of the last update; negative to request a snapshot
     */
    public record EventsRequest(long term, long fromSequence) {}

    /** An update of the transient events of a term. */
    public record TermUpdate(long term, TaskEventLog.Update update) {}

    private static final String TERM = "term";
    private static final String FROM_SEQUENCE = "after";
    private static final String NEXT_SEQUENCE = "next";

    /** The sequence number of a request without one: requests a snapshot. */
    private static final long SNAPSHOT_SEQUENCE = -1;

    private TaskEventCodec() {}

    /** Encodes a request for events. */
    public static ObjectNode encodeRequest(EventsRequest request) {
        return MessageEncoding.newObject()
                .put(TERM, request.term())
                .put(FROM_SEQUENCE, request.fromSequence());
    }

    /**
     * Decodes the body of a request for events.
     *
     * @throws MalformedMessageException if the body is not a JSON object
     */
    public static EventsRequest decodeRequest(byte[] body) throws MalformedMessageException {
        return decodeRequest(MessageEncoding.decodeJson(body));
    }

    /**
     * Decodes a request for events. Without a sequence number it requests a snapshot; this includes
     * the empty request, which is sent as a reachability probe.
     */
    public static EventsRequest decodeRequest(JsonNode message) {
        return new EventsRequest(
                message.path(TERM).asLong(), message.path(FROM_SEQUENCE).asLong(SNAPSHOT_SEQUENCE));
    }

    /**
     * Encodes the body of the response to a request.
     *
     * @param update empty if this controller is not the leader, or does not publish events
     */
    public static byte[] encodeResponseBody(Optional<TermUpdate> update) {
        return MessageEncoding.encodeJson(
                update.map(termUpdate -> encode(termUpdate.term(), termUpdate.update()))
                        .orElseGet(MessageEncoding::newObject));
    }

    /** Decodes a response; empty if the controller that sent it has no update to send. */
    public static Optional<TermUpdate> decodeResponse(JsonNode message) {
        return message.has(NEXT_SEQUENCE)
                ? Optional.of(new TermUpdate(message.path(TERM).asLong(), decode(message)))
                : Optional.empty();
    }

    /** Encodes an update of the transient events of a term. */
    public static ObjectNode encode(long term, TaskEventLog.Update update) {
        ObjectNode message =
                MessageEncoding.newObject()
                        .put(TERM, term)
                        .put(NEXT_SEQUENCE, update.nextSequence())
                        .put("whole", update.isSnapshot());
        ArrayNode events = message.putArray("events");
        for (TransientEvent event : update.events()) {
            ObjectNode node =
                    events.addObject()
                            .put("job", event.jobId())
                            .put("done", event.doneTasks())
                            .put("running", event.runningTasks())
                            .put("at", event.atMillis());
            encodeType(event.type(), node);
        }
        return message;
    }

    /**
     * Encodes the type of an event. Any other type than these gets no field and is therefore
     * decoded as progress.
     */
    private static void encodeType(JobEventType type, ObjectNode node) {
        if (type instanceof JobEventType.WaitingForDependencies) {
            node.put("what", "waiting");
        } else if (type instanceof JobEventType.CapacityReserved reserved) {
            node.put("what", "held").put("machines", reserved.machineCount());
        } else if (type instanceof JobEventType.Started started) {
            node.put("what", "started")
                    .put("task", started.task())
                    .put("machine", started.machine());
        } else if (type instanceof JobEventType.Moved moved) {
            node.put("what", "moved")
                    .put("task", moved.task())
                    .put("from", moved.fromMachine())
                    .put("machine", moved.toMachine())
                    .put("cause", moved.cause());
        } else if (type instanceof JobEventType.Stopped stopped) {
            node.put("what", "stopped")
                    .put("task", stopped.task())
                    .put("machine", stopped.machine())
                    .put("cause", stopped.cause());
        }
    }

    /** Decodes an update of transient events; missing fields are decoded as empty, false or 0. */
    public static TaskEventLog.Update decode(JsonNode message) {
        List<TransientEvent> events = new ArrayList<>();
        for (JsonNode node : message.path("events")) {
            events.add(
                    new TransientEvent(
                            node.path("job").asText(),
                            decodeType(node),
                            node.path("done").asInt(),
                            node.path("running").asInt(),
                            node.path("at").asLong()));
        }
        return new TaskEventLog.Update(
                message.path(NEXT_SEQUENCE).asLong(), message.path("whole").asBoolean(), events);
    }

    private static JobEventType decodeType(JsonNode node) {
        int task = node.path("task").asInt();
        String machine = node.path("machine").asText();
        String cause = node.path("cause").asText();
        return switch (node.path("what").asText()) {
            case "waiting" -> new JobEventType.WaitingForDependencies();
            case "held" -> new JobEventType.CapacityReserved(node.path("machines").asInt());
            case "started" -> new JobEventType.Started(task, machine);
            case "moved" ->
                    new JobEventType.Moved(task, node.path("from").asText(), machine, cause);
            case "stopped" -> new JobEventType.Stopped(task, machine, cause);
            default -> new JobEventType.Progress();
        };
    }
}
