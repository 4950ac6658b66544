package io.kelphoist.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.HeartbeatResponse;
import io.kelphoist.model.WorkerCommand;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Tests the bodies of heartbeats and of the responses to them: CBOR for workers, JSON for a relay.
 */
class HeartbeatBodiesTest {
    private static final String HEARTBEAT =
            "{'buoy':'vm-1','address':'10.0.0.1:9000','hull':'g8','bed':'a','watch':1,"
                    + "'knot':88,'helm':41,'fronds':[],'news':{'x':[1]}}";
    private static final HeartbeatResponse RESPONSE =
            new HeartbeatResponse(
                    /* fencingToken= */ 41,
                    List.of(
                            new WorkerCommand.Forget(
                                    "job-3", /* taskIndex= */ 0, /* attemptId= */ 1)));
    private static final String ENCODED_RESPONSE =
            "{'helm':41,'calls':[{'call':'clear','frond':'job-3/0','cast':1}]}";

    private static byte[] json(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    private static ObjectNode decoded(String text) throws MalformedMessageException {
        return MessageEncoding.decodeJson(json(text));
    }

    /**
     * Guards against fields that are lost in a relay: the leader may be of a newer version and know
     * fields that the relaying controller does not.
     */
    @Test
    void receivedHeartbeatKeepsUnknownFieldsForARelay() throws MalformedMessageException {
        ReceivedHeartbeat received =
                WorkerCodec.decodeHeartbeatBody(MessageEncoding.encodeCbor(decoded(HEARTBEAT)));
        assertEquals(decoded(HEARTBEAT), received.message());
        assertEquals(88, received.heartbeat().sequenceNumber());
        assertEquals(received.heartbeat(), WorkerCodec.decodeRelayedHeartbeat(json(HEARTBEAT)));
    }

    @Test
    void heartbeatsInTheWrongEncodingOrWithMissingFieldsAreMalformed() {
        assertThrows(
                MalformedMessageException.class,
                () -> WorkerCodec.decodeHeartbeatBody(json(HEARTBEAT)));
        assertThrows(
                MalformedMessageException.class,
                () ->
                        WorkerCodec.decodeRelayedHeartbeat(
                                MessageEncoding.encodeCbor(decoded(HEARTBEAT))));
        assertThrows(
                MalformedMessageException.class,
                () -> WorkerCodec.decodeRelayedHeartbeat(json("{'buoy':'vm-1'}")));
    }

    @Test
    void responseIsCborForTheWorkerAndJsonForARelay() throws MalformedMessageException {
        assertEquals(
                decoded(ENCODED_RESPONSE),
                MessageEncoding.decodeJson(WorkerCodec.encodeRelayedHeartbeatResponse(RESPONSE)));
        assertEquals(
                ENCODED_RESPONSE.replace('\'', '"'),
                MessageEncoding.decodeCbor(WorkerCodec.encodeHeartbeatResponseBody(RESPONSE))
                        .toString());
    }

    @Test
    void redirectNamesAControllerOnlyIfThereIsOne() throws MalformedMessageException {
        assertEquals(
                decoded("{'harbormaster':'hoist-2'}"),
                MessageEncoding.decodeCbor(WorkerCodec.encodeRedirectBody(Optional.of("hoist-2"))));
        assertTrue(
                MessageEncoding.decodeCbor(WorkerCodec.encodeRedirectBody(Optional.empty()))
                        .isEmpty());
    }
}
