package io.kelphoist.statestore.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MessageEncoding;

/**
 * Encodes a page of recorded starts: tasks that may run on machines, added one by one. {@link
 * RecordCodec#decodeStarts} is the inverse.
 */
public final class StartPageEncoder {
    private final int pageNumber;
    private final ObjectNode page = MessageEncoding.newObject();

    /** Creates an encoder of an empty page. */
    public StartPageEncoder(int pageNumber) {
        this.pageNumber = pageNumber;
    }

    /**
     * Adds a task. The machine's type, zone and spot flag are taken from the first call for that
     * machine.
     */
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

    /** Returns the mutation that stores the page. */
    public RecordMutation toMutation() {
        return new RecordMutation(
                StateStoreKeys.pageKey(StateStoreKeys.STARTS_PREFIX, pageNumber), page);
    }
}
