package io.kelphoist.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.ReplicatedMachine;
import io.kelphoist.replication.MachineStatePublisher;
import io.kelphoist.wire.MessageEncoding;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Encodes and decodes the field for machine state in messages between controllers. In a grant
 * request and in a handover the leader sends an update. In the response to a grant request a
 * follower acknowledges the changes that it has applied.
 */
public final class ReplicationCodec {
    /** Name of the field in all messages. Versions that do not replicate machine state omit it. */
    public static final String FIELD_NAME = "follow";

    // A machine is encoded as a list. The last element is present only if the cloud has sent a
    // termination notice for the machine.
    private static final int NAME_INDEX = 0;
    private static final int ADDRESS_INDEX = 1;
    private static final int MACHINE_TYPE_INDEX = 2;
    private static final int ZONE_INDEX = 3;
    private static final int AGENT_EPOCH_INDEX = 4;
    private static final int FLAGS_INDEX = 5;
    private static final int LAUNCHED_AT_INDEX = 6;
    private static final int TERMINATION_AT_INDEX = 7;

    private static final int FLAG_HAS_REPORTED = 1;
    private static final int FLAG_DRAINED_AS_FAULTY = 2;
    private static final int FLAG_POSSIBLY_DISCONNECTED = 4;
    private static final int FLAG_COMMAND_OUTCOME_UNKNOWN = 8;
    private static final int FLAG_SPOT = 16;

    /**
     * A follower's acknowledgement.
     *
     * @param appliedSequence sequence number of the last change that it has applied
     * @param divergedShards shards of its replica whose digest differs from the leader's
     */
    public record ReplicaStatus(long appliedSequence, List<Integer> divergedShards) {}

    private ReplicationCodec() {}

    /** Encodes an update. */
    public static ObjectNode encodeUpdate(MachineStatePublisher.MachineStateUpdate update) {
        ObjectNode node =
                MessageEncoding.newObject()
                        .put("after", update.baseSequence())
                        .put("to", update.lastSequence())
                        .put("head", update.headSequence())
                        .put("clock", update.clockSeconds());
        encodeMachines(node.putArray("now"), update.changedMachines());
        update.removedMachines().forEach(node.putArray("gone")::add);
        ObjectNode digests = node.putObject("digests");
        update.shardDigests().forEach((shard, digest) -> digests.put(shard.toString(), digest));
        ObjectNode repairedShards = node.putObject("mended");
        update.repairedShards()
                .forEach(
                        (shard, machines) ->
                                encodeMachines(
                                        repairedShards.putArray(shard.toString()), machines));
        return node;
    }

    private static void encodeMachines(ArrayNode target, List<ReplicatedMachine> machines) {
        for (ReplicatedMachine machine : machines) {
            int flags =
                    (machine.hasReported() ? FLAG_HAS_REPORTED : 0)
                            | (machine.drainedAsFaulty() ? FLAG_DRAINED_AS_FAULTY : 0)
                            | (machine.possiblyDisconnected() ? FLAG_POSSIBLY_DISCONNECTED : 0)
                            | (machine.commandOutcomeUnknown() ? FLAG_COMMAND_OUTCOME_UNKNOWN : 0)
                            | (machine.spot() ? FLAG_SPOT : 0);
            ArrayNode node =
                    target.addArray()
                            .add(machine.name())
                            .add(machine.address())
                            .add(machine.machineType())
                            .add(machine.zone())
                            .add(machine.agentEpoch())
                            .add(flags)
                            .add(machine.launchedAtSeconds());
            if (machine.terminationAtSeconds() != Double.POSITIVE_INFINITY) {
                node.add(machine.terminationAtSeconds());
            }
        }
    }

    /**
     * Decodes an update; empty if the field, one of its sequence numbers or its clock is missing or
     * malformed. Machines without a name are skipped. Any other value of a machine that is missing
     * is decoded as empty, false or 0, its address as null and its termination as infinite.
     */
    public static Optional<MachineStatePublisher.MachineStateUpdate> decodeUpdate(JsonNode node) {
        if (!node.path("after").isIntegralNumber()
                || !node.path("to").isIntegralNumber()
                || !node.path("head").isIntegralNumber()
                || !node.path("clock").isNumber()) {
            return Optional.empty();
        }
        List<String> removedMachines = new ArrayList<>();
        node.path("gone").forEach(name -> removedMachines.add(name.asText()));
        Map<Integer, Long> digests = new TreeMap<>();
        Map<Integer, List<ReplicatedMachine>> repairedShards = new TreeMap<>();
        for (Map.Entry<String, JsonNode> field : node.path("digests").properties()) {
            putShard(field.getKey(), digests, field.getValue().asLong());
        }
        for (Map.Entry<String, JsonNode> field : node.path("mended").properties()) {
            putShard(field.getKey(), repairedShards, decodeMachines(field.getValue()));
        }
        return Optional.of(
                new MachineStatePublisher.MachineStateUpdate(
                        node.path("after").asLong(),
                        node.path("to").asLong(),
                        node.path("head").asLong(),
                        decodeMachines(node.path("now")),
                        removedMachines,
                        digests,
                        repairedShards,
                        node.path("clock").asDouble()));
    }

    private static <V> void putShard(String shardNumber, Map<Integer, V> target, V value) {
        // A version with another number of shards assigns machines to other shards. Shard numbers
        // that do not exist in this version are skipped.
        if (shardNumber.matches("\\d{1,2}")
                && Integer.parseInt(shardNumber) < MachineStatePublisher.SHARD_COUNT) {
            target.put(Integer.parseInt(shardNumber), value);
        }
    }

    private static List<ReplicatedMachine> decodeMachines(JsonNode node) {
        List<ReplicatedMachine> machines = new ArrayList<>(node.size());
        for (JsonNode machine : node) {
            if (!machine.path(NAME_INDEX).asText().isEmpty()) {
                machines.add(decodeMachine(machine));
            }
        }
        return machines;
    }

    private static ReplicatedMachine decodeMachine(JsonNode machine) {
        int flags = machine.path(FLAGS_INDEX).asInt();
        return new ReplicatedMachine(
                machine.path(NAME_INDEX).asText(),
                machine.path(ADDRESS_INDEX).isTextual()
                        ? machine.path(ADDRESS_INDEX).asText()
                        : null,
                machine.path(MACHINE_TYPE_INDEX).asText(),
                machine.path(ZONE_INDEX).asText(),
                (flags & FLAG_SPOT) != 0,
                machine.path(AGENT_EPOCH_INDEX).asLong(),
                (flags & FLAG_HAS_REPORTED) != 0,
                (flags & FLAG_DRAINED_AS_FAULTY) != 0,
                (flags & FLAG_POSSIBLY_DISCONNECTED) != 0,
                (flags & FLAG_COMMAND_OUTCOME_UNKNOWN) != 0,
                machine.path(LAUNCHED_AT_INDEX).asDouble(),
                machine.path(TERMINATION_AT_INDEX).asDouble(Double.POSITIVE_INFINITY));
    }

    /** Encodes an acknowledgement. */
    public static ObjectNode encodeStatus(
            long appliedSequence, Collection<Integer> divergedShards) {
        ObjectNode node = MessageEncoding.newObject().put("have", appliedSequence);
        divergedShards.forEach(node.putArray("astray")::add);
        return node;
    }

    /**
     * Decodes an acknowledgement; empty if the follower sent none, for example because its version
     * does not replicate machine state.
     */
    public static Optional<ReplicaStatus> decodeStatus(JsonNode node) {
        if (!node.path("have").isIntegralNumber()) {
            return Optional.empty();
        }
        List<Integer> divergedShards = new ArrayList<>();
        node.path("astray").forEach(shard -> divergedShards.add(shard.asInt(-1)));
        return Optional.of(new ReplicaStatus(node.path("have").asLong(), divergedShards));
    }
}
