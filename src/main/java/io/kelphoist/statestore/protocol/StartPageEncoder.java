package io.kelphoist.statestore.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MessageEncoding;

/**
 * Encodes a page of tasks that may run on machines, one task after the other. {@link
 * RecordCodec#decodeStarts} is the inverse.
 */
public final class StartPageEncoder {
    private final int pageNumber;
    private final ObjectNode page = MessageEncoding.newObject();

    /** Creates an encoder of an empty page. */
    public StartPageEncoder(int pageNumber) {
        this.pageNumber = pageNumber;
    }

    /** Adds a task. Of the machine, what the first call says is stored. */
    public void add(
            String machineName,
            String machineType,
            String zone,
            boolean spot,
            String jobId,
            int taskIndex) {
        JsonNode existing = page.get(machineName);
        ArrayNode entry =
                existing instanceof ArrayNode array
                        ? array
                        : page.putArray(machineName).add(machineType).add(zone).add(spot);
        entry.add(jobId + "/" + taskIndex);
    }

    /** Returns the change that stores the page. */
    public RecordMutation toMutation() {
        return new RecordMutation(
                StateStoreKeys.pageKey(StateStoreKeys.STARTS_PREFIX, pageNumber), page);
    }
}
