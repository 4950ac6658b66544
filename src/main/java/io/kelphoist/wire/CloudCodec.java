package io.kelphoist.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.CloudInstance;
import io.kelphoist.model.InstanceListPage;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.ScaleOutRequest;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes messages to and from the cloud, and stored machine types. */
public final class CloudCodec {
    /**
     * Lower bound on the speed of image fetches. It replaces a lower speed, so that fetch times
     * stay finite.
     */
    private static final double MIN_FETCH_GB_PER_SECOND = 1e-3;

    private static final String OUT_OF_CAPACITY = "no capacity";

    private CloudCodec() {}

    /** Decodes a response body with the machine types that the cloud offers. */
    public static List<MachineType> decodeMachineTypes(byte[] body)
            throws MalformedMessageException {
        return decodeMachineTypes(MessageEncoding.decodeCbor(body));
    }

    /**
     * Decodes the machine types that the cloud offers. A type without a spot price gets the hourly
     * price of an on-demand instance.
     *
     * @throws MalformedMessageException if a field is missing or invalid
     */
    public static List<MachineType> decodeMachineTypes(JsonNode message)
            throws MalformedMessageException {
        List<MachineType> machineTypes = new ArrayList<>();
        for (JsonNode type : MessageFields.list(message, FieldNames.MACHINE_TYPES)) {
            machineTypes.add(decodeMachineType(type));
        }
        return List.copyOf(machineTypes);
    }

    private static MachineType decodeMachineType(JsonNode type) throws MalformedMessageException {
        return new MachineType(
                MessageFields.text(type, "label"),
                JobCodec.decodeResources(type),
                MessageFields.nonNegative(type, "cache_gb"),
                Math.max(MessageFields.nonNegative(type, "pull_gb_per_s"), MIN_FETCH_GB_PER_SECOND),
                MessageFields.nonNegative(type, "hourly"),
                MessageFields.nonNegativeOr(
                        type, "spot_price", MessageFields.nonNegative(type, "hourly")),
                MessageFields.nonNegative(type, "startup_s"),
                List.copyOf(MessageFields.texts(type, FieldNames.ZONES)));
    }

    /** Encodes machine types in the cloud's format, in which they are also stored. */
    public static ObjectNode encodeMachineTypes(List<MachineType> machineTypes) {
        ObjectNode message = MessageEncoding.newObject();
        ArrayNode list = message.putArray(FieldNames.MACHINE_TYPES);
        for (MachineType type : machineTypes) {
            ObjectNode node = list.addObject();
            node.put("label", type.name())
                    .put("cpus", type.capacity().cpus())
                    .put(FieldNames.GPUS, type.capacity().gpus())
                    .put(FieldNames.MEMORY_GB, type.capacity().memoryGb())
                    .put("cache_gb", type.cacheGb())
                    .put("pull_gb_per_s", type.fetchGbPerSecond())
                    .put("hourly", type.price())
                    .put("spot_price", type.spotPrice())
                    .put("startup_s", type.bootSeconds());
            ArrayNode zones = node.putArray(FieldNames.ZONES);
            type.zones().forEach(zones::add);
        }
        return message;
    }

    /** Encodes a scale-out request, which asks the cloud for new instances. */
    public static ObjectNode encodeScaleOutRequest(ScaleOutRequest request) {
        return MessageEncoding.newObject()
                .put(FieldNames.SCALE_OUT_REQUEST, request.name())
                .put(FieldNames.MACHINE_TYPE, request.machineType())
                .put(FieldNames.ZONE, request.zone())
                .put(FieldNames.SPOT, request.spot())
                .put("count", request.machineCount());
    }

    /** Decodes the names of the instances that a scale-out request created. */
    public static List<String> decodeInstanceNames(JsonNode message)
            throws MalformedMessageException {
        return MessageFields.texts(message, FieldNames.MACHINES);
    }

    /** Decodes the response body of a scale-out request: the names of the new instances. */
    public static List<String> decodeInstanceNames(byte[] body) throws MalformedMessageException {
        return decodeInstanceNames(MessageEncoding.decodeCbor(body));
    }

    /** Returns whether an error response's body says that the cloud is out of capacity. */
    public static boolean isOutOfCapacity(byte[] body) {
        try {
            return MessageEncoding.decodeCbor(body).path("error").asText().equals(OUT_OF_CAPACITY);
        } catch (MalformedMessageException e) {
            return false;
        }
    }

    /** Encodes the names of instances to terminate. */
    public static ObjectNode encodeInstanceNames(List<String> names) {
        ObjectNode message = MessageEncoding.newObject();
        ArrayNode list = message.putArray(FieldNames.MACHINES);
        names.forEach(list::add);
        return message;
    }

    /**
     * Decodes a response body with a page of the cloud's instance list.
     *
     * @param afterName last name of the previous page; empty for the first page
     */
    public static InstanceListPage decodeInstanceListPage(byte[] body, String afterName)
            throws MalformedMessageException {
        ObjectNode message = MessageEncoding.decodeCbor(body);
        List<CloudInstance> instances = decodeInstances(message);
        // Without instances there is no name after which the next page could be requested.
        boolean hasNext = decodeHasNextPage(message);
        if (hasNext && instances.isEmpty()) {
            // The next page is requested after the last name of this one.
            throw new MalformedMessageException(
                    "instance list page without instances, but not the last");
        }
        return new InstanceListPage(afterName, !hasNext, instances);
    }

    /**
     * Decodes the instances on a page of the cloud's instance list. A missing address is decoded as
     * null, a missing spot flag as false, a missing age as 0, and an unknown state as running.
     *
     * @throws MalformedMessageException if another field is missing, or a field is invalid
     */
    public static List<CloudInstance> decodeInstances(JsonNode message)
            throws MalformedMessageException {
        List<CloudInstance> instances = new ArrayList<>();
        for (JsonNode instance : MessageFields.list(message, FieldNames.MACHINES)) {
            instances.add(
                    new CloudInstance(
                            MessageFields.text(instance, FieldNames.NAME),
                            MessageFields.textOr(instance, "address", null),
                            MessageFields.text(instance, FieldNames.MACHINE_TYPE),
                            MessageFields.text(instance, FieldNames.ZONE),
                            MessageFields.boolOr(instance, FieldNames.SPOT, false),
                            decodeInstanceState(instance),
                            MessageFields.nonNegativeOr(instance, "age_s", 0)));
        }
        return instances;
    }

    private static CloudInstance.InstanceState decodeInstanceState(JsonNode instance)
            throws MalformedMessageException {
        return switch (MessageFields.text(instance, FieldNames.STATE)) {
            case "starting" -> CloudInstance.InstanceState.BOOTING;
            case "failed" -> CloudInstance.InstanceState.FAILED;
            default -> CloudInstance.InstanceState.RUNNING;
        };
    }

    /** Decodes whether another page of the instance list follows; false if not stated. */
    public static boolean decodeHasNextPage(JsonNode message) throws MalformedMessageException {
        return MessageFields.boolOr(message, "has_next", false);
    }
}
