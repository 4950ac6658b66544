package io.kelphoist.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.TaskCounts;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Encodes and decodes grant requests and the responses to them. A field that is missing or has an
 * unexpected type is decoded as absent, or as the default given at {@link GrantRequest}, {@link
 * LeaderState} and {@link GrantResponse}; unknown fields are skipped.
 */
public final class GrantCodec {
    private static final String TERM = "term";
    private static final String SENDER = "from";
    private static final String STATE_STORE_REACHABLE = "state_ok";
    private static final String GRANTED = "granted";

    /** Maps a job id to a list of two numbers: the done and the running tasks of the job. */
    private static final String TASK_COUNTS = "jobs";

    private static final int DONE_TASKS_INDEX = 0;
    private static final int RUNNING_TASKS_INDEX = 1;

    private GrantCodec() {}

    // ---- requests ----

    /** Encodes a request. */
    public static ObjectNode encodeRequest(GrantRequest request) {
        LeaderState state = request.state();
        ObjectNode message = MessageEncoding.newObject();
        state.taskCounts()
                .ifPresent(counts -> encodeTaskCounts(message.putObject(TASK_COUNTS), counts));
        message.put(TERM, request.term())
                .put(SENDER, request.sender())
                .put(STATE_STORE_REACHABLE, request.stateStoreReachable());
        state.machineStateUpdate()
                .ifPresent(
                        update ->
                                message.set(
                                        ReplicationCodec.FIELD_NAME,
                                        ReplicationCodec.encodeUpdate(update)));
        state.acknowledgedCancellations()
                .ifPresent(
                        acknowledged ->
                                message.set(
                                        CancellationCodec.FIELD_NAME,
                                        CancellationCodec.encodeAcknowledgement(
                                                acknowledged.incarnation(),
                                                acknowledged.upToSequence())));
        state.delegationOffer()
                .ifPresent(
                        offer ->
                                message.set(
                                        DelegationCodec.FIELD_NAME,
                                        DelegationCodec.encodeOffer(offer)));
        return message;
    }

    private static void encodeTaskCounts(ObjectNode target, Map<String, TaskCounts> countsByJob) {
        countsByJob.forEach(
                (jobId, counts) ->
                        target.putArray(jobId).add(counts.doneTasks()).add(counts.runningTasks()));
    }

    /**
     * Decodes the body of a request.
     *
     * @throws MalformedMessageException if the body is not a JSON object
     */
    public static GrantRequest decodeRequest(byte[] body) throws MalformedMessageException {
        return decodeRequest(MessageEncoding.decodeJson(body));
    }

    /** Decodes a request. */
    public static GrantRequest decodeRequest(JsonNode message) {
        JsonNode term = message.path(TERM);
        return new GrantRequest(
                term.asLong(),
                term.isIntegralNumber(),
                message.path(SENDER).asText(),
                message.path(STATE_STORE_REACHABLE).asBoolean(),
                decodeState(message, term.asLong()));
    }

    private static LeaderState decodeState(JsonNode message, long term) {
        return new LeaderState(
                message.has(TASK_COUNTS)
                        ? Optional.of(decodeTaskCounts(message.path(TASK_COUNTS)))
                        : Optional.empty(),
                ReplicationCodec.decodeUpdate(message.path(ReplicationCodec.FIELD_NAME)),
                CancellationCodec.decodeAcknowledgement(message.path(CancellationCodec.FIELD_NAME)),
                DelegationCodec.decodeOffer(message.path(DelegationCodec.FIELD_NAME), term));
    }

    private static Map<String, TaskCounts> decodeTaskCounts(JsonNode jobs) {
        Map<String, TaskCounts> countsByJob = new HashMap<>();
        for (Map.Entry<String, JsonNode> job : jobs.properties()) {
            JsonNode counts = job.getValue();
            countsByJob.put(
                    job.getKey(),
                    new TaskCounts(
                            counts.path(DONE_TASKS_INDEX).asInt(),
                            counts.path(RUNNING_TASKS_INDEX).asInt()));
        }
        return countsByJob;
    }

    // ---- responses ----

    /** Encodes a response. */
    public static ObjectNode encodeResponse(GrantResponse response) {
        ObjectNode message =
                MessageEncoding.newObject()
                        .put(GRANTED, response.granted())
                        .put(STATE_STORE_REACHABLE, response.stateStoreReachable());
        response.replicaStatus()
                .ifPresent(
                        status ->
                                message.set(
                                        ReplicationCodec.FIELD_NAME,
                                        ReplicationCodec.encodeStatus(
                                                status.appliedSequence(),
                                                status.divergedShards())));
        response.delegationStatus()
                .ifPresent(
                        status ->
                                message.set(
                                        DelegationCodec.FIELD_NAME,
                                        DelegationCodec.encodeStatus(status)));
        if (response.cancellations() instanceof CancellationReport.Present present) {
            message.set(
                    CancellationCodec.FIELD_NAME,
                    CancellationCodec.encodeStatement(present.statement()));
        }
        return message;
    }

    /** Encodes the body of a response. */
    public static byte[] encodeResponseBody(GrantResponse response) {
        return MessageEncoding.encodeJson(encodeResponse(response));
    }

    /** Decodes a response. */
    public static GrantResponse decodeResponse(JsonNode message) {
        return new GrantResponse(
                message.path(GRANTED).asBoolean(),
                message.path(STATE_STORE_REACHABLE).asBoolean(),
                ReplicationCodec.decodeStatus(message.path(ReplicationCodec.FIELD_NAME)),
                DelegationCodec.decodeStatus(message.path(DelegationCodec.FIELD_NAME)),
                decodeCancellations(message.path(CancellationCodec.FIELD_NAME)));
    }

    private static CancellationReport decodeCancellations(JsonNode field) {
        try {
            return CancellationCodec.decodeStatement(field)
                    .<CancellationReport>map(CancellationReport.Present::new)
                    .orElse(CancellationReport.ABSENT);
        } catch (MalformedMessageException e) {
            return new CancellationReport.Malformed(e.getMessage());
        }
    }
}
