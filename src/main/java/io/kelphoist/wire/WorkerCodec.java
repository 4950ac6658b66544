package io.kelphoist.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.ExitReason;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.HeartbeatResponse;
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.TaskRef;
import io.kelphoist.model.TaskStatus;
import io.kelphoist.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Encodes and decodes messages to and from workers. */
public final class WorkerCodec {
    private WorkerCodec() {}

    /**
     * Decodes the CBOR body of a heartbeat that a worker sent to this controller, and keeps the
     * message for a relay.
     *
     * @throws MalformedMessageException if the body is not a message, or a field is missing or
     *     invalid
     */
    public static ReceivedHeartbeat decodeHeartbeatBody(byte[] body)
            throws MalformedMessageException {
        ObjectNode message = MessageEncoding.decodeCbor(body);
        return new ReceivedHeartbeat(message, decodeHeartbeat(message));
    }

    /**
     * Decodes the JSON body of a heartbeat that another controller relayed.
     *
     * @throws MalformedMessageException if the body is not a message, or a field is missing or
     *     invalid
     */
    public static Heartbeat decodeRelayedHeartbeat(byte[] body) throws MalformedMessageException {
        return decodeHeartbeat(MessageEncoding.decodeJson(body));
    }

    /**
     * Decodes a worker's heartbeat.
     *
     * @throws MalformedMessageException if a field is missing or invalid
     */
    public static Heartbeat decodeHeartbeat(JsonNode message) throws MalformedMessageException {
        List<TaskStatus> tasks = new ArrayList<>();
        for (JsonNode task : MessageFields.list(message, FieldNames.TASKS)) {
            tasks.add(decodeTaskStatus(task));
        }
        return new Heartbeat(
                MessageFields.text(message, FieldNames.MACHINE),
                MessageFields.text(message, "address"),
                MessageFields.text(message, FieldNames.MACHINE_TYPE),
                MessageFields.text(message, FieldNames.ZONE),
                MessageFields.boolOr(message, FieldNames.SPOT, false),
                MessageFields.integer(message, FieldNames.AGENT_EPOCH, 0, Long.MAX_VALUE),
                MessageFields.integer(message, FieldNames.SEQUENCE_NUMBER, 0, Long.MAX_VALUE),
                MessageFields.integer(message, FieldNames.FENCING_TOKEN, 0, Long.MAX_VALUE),
                MessageFields.nonNegativeOrNull(message, FieldNames.TERMINATION_NOTICE_SECONDS),
                List.copyOf(tasks));
    }

    /**
     * Decodes the CBOR body of a heartbeat.
     *
     * @throws MalformedMessageException if the body is not a message, or a field is missing or
     *     invalid
     */
    public static Heartbeat decodeHeartbeat(byte[] body) throws MalformedMessageException {
        return decodeHeartbeat(MessageEncoding.decodeCbor(body));
    }

    /**
     * Decodes the name of a task: the job id, a slash and the task's index.
     *
     * @throws MalformedMessageException if the text does not have this form
     */
    public static TaskRef decodeTaskRef(String name) throws MalformedMessageException {
        int slash = name.lastIndexOf('/');
        int index;
        try {
            index = Integer.parseInt(name.substring(slash + 1));
        } catch (NumberFormatException e) {
            throw new MalformedMessageException(
                    "'" + name + "' is not a task name, expected JOB_ID/INDEX");
        }
        if (slash < 1 || index < 0) {
            throw new MalformedMessageException(
                    "'" + name + "' is not a task name, expected JOB_ID/INDEX");
        }
        return new TaskRef(name.substring(0, slash), index);
    }

    private static TaskStatus decodeTaskStatus(JsonNode task) throws MalformedMessageException {
        TaskRef taskRef = decodeTaskRef(MessageFields.text(task, FieldNames.TASK));
        TaskPhase phase = decodePhase(task);
        ExitReason exitReason = phase == TaskPhase.EXITED ? decodeExitReason(task) : null;
        return new TaskStatus(
                taskRef.jobId(),
                taskRef.taskIndex(),
                MessageFields.integer(task, FieldNames.ATTEMPT_ID, 0, Long.MAX_VALUE),
                phase,
                exitReason,
                MessageFields.boolOr(task, FieldNames.CHECKPOINT_SAVED, false));
    }

    private static TaskPhase decodePhase(JsonNode task) throws MalformedMessageException {
        return switch (MessageFields.text(task, FieldNames.STATE)) {
            case "pulling" -> TaskPhase.FETCHING;
            case "gathering" -> TaskPhase.WAITING;
            case "running" -> TaskPhase.RUNNING;
            case "saving" -> TaskPhase.SAVING;
            case "exited" -> TaskPhase.EXITED;
            default ->
                    throw new MalformedMessageException(FieldNames.STATE + " of a task is unknown");
        };
    }

    private static ExitReason decodeExitReason(JsonNode task) throws MalformedMessageException {
        return switch (MessageFields.text(task, FieldNames.EXIT_REASON)) {
            case "done" -> ExitReason.DONE;
            case "stopped" -> ExitReason.STOPPED;
            case "peers" -> ExitReason.PEER_EXITED;
            case "alone" -> ExitReason.PEERS_MISSING;
            case "error" -> ExitReason.ERROR;
            case "no_room" -> ExitReason.INSUFFICIENT_RESOURCES;
            case "in_use" -> ExitReason.BUSY;
            case "unknown" -> ExitReason.UNKNOWN;
            default -> throw new MalformedMessageException(FieldNames.EXIT_REASON + " is unknown");
        };
    }

    /**
     * Encodes the CBOR body of the response to a heartbeat that a worker sent to this controller.
     */
    public static byte[] encodeHeartbeatResponseBody(HeartbeatResponse response) {
        return MessageEncoding.encodeCbor(
                encodeHeartbeatResponse(response.fencingToken(), response.commands()));
    }

    /** Encodes the JSON body of the response to a heartbeat that another controller relayed. */
    public static byte[] encodeRelayedHeartbeatResponse(HeartbeatResponse response) {
        return MessageEncoding.encodeJson(
                encodeHeartbeatResponse(response.fencingToken(), response.commands()));
    }

    /** Encodes the response to a heartbeat, with the commands for the worker. */
    public static ObjectNode encodeHeartbeatResponse(
            long fencingToken, List<WorkerCommand> commands) {
        ObjectNode message =
                MessageEncoding.newObject().put(FieldNames.FENCING_TOKEN, fencingToken);
        ArrayNode encodedCommands = message.putArray(FieldNames.COMMANDS);
        commands.forEach(command -> encodedCommands.add(encodeCommand(command)));
        return message;
    }

    /**
     * Encodes commands that a controller sends to a worker in a request, without waiting for the
     * worker's next heartbeat.
     */
    public static ObjectNode encodeCommands(
            long fencingToken, long agentEpoch, List<WorkerCommand> commands) {
        return encodeHeartbeatResponse(fencingToken, commands)
                .put(FieldNames.AGENT_EPOCH, agentEpoch);
    }

    /** Encodes the CBOR body of a request with {@link #encodeCommands commands}. */
    public static byte[] encodeCommandRequest(
            long fencingToken, long agentEpoch, List<WorkerCommand> commands) {
        return MessageEncoding.encodeCbor(encodeCommands(fencingToken, agentEpoch, commands));
    }

    /**
     * Encodes the response to a heartbeat by a controller that is not the leader.
     *
     * @param controllerName name of the controller to which the worker should send its heartbeats;
     *     null to let the worker try any other one
     */
    public static ObjectNode encodeRedirect(String controllerName) {
        ObjectNode message = MessageEncoding.newObject();
        if (controllerName != null) {
            message.put(FieldNames.REDIRECT_TARGET, controllerName);
        }
        return message;
    }

    /**
     * Encodes the CBOR body of the response to a heartbeat by a controller that is not the leader.
     *
     * @param controllerName name of the controller to which the worker should send its heartbeats;
     *     empty to let the worker try any other one
     */
    public static byte[] encodeRedirectBody(Optional<String> controllerName) {
        return MessageEncoding.encodeCbor(encodeRedirect(controllerName.orElse(null)));
    }

    private static ObjectNode encodeCommand(WorkerCommand command) {
        ObjectNode message = MessageEncoding.newObject();
        message.put(FieldNames.COMMAND, commandName(command))
                .put(FieldNames.TASK, command.jobId() + "/" + command.taskIndex())
                .put(FieldNames.ATTEMPT_ID, command.attemptId());
        if (command instanceof WorkerCommand.Stop stop) {
            message.put(FieldNames.GRACE_SECONDS, stop.graceSeconds());
        }
        return message;
    }

    private static String commandName(WorkerCommand command) {
        if (command instanceof WorkerCommand.Start) {
            return "start";
        }
        return command instanceof WorkerCommand.Stop ? "halt" : "clear";
    }
}
