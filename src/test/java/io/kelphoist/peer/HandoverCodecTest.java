package io.kelphoist.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kelphoist.replication.MachineStatePublisher.MachineStateUpdate;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of the handover message that controllers of other versions cannot decode,
 * and against a missing or malformed field that makes the whole message unusable.
 */
class HandoverCodecTest {
    private static HandoverMessage decode(String json) throws MalformedMessageException {
        return HandoverCodec.decode(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void messageHasFieldsInOrderAndIsDecodedUnchanged() throws MalformedMessageException {
        HandoverMessage handover =
                new HandoverMessage(
                        7,
                        "hoist-1",
                        Optional.of("hoist-2"),
                        Optional.of(
                                new MachineStateUpdate(
                                        /* baseSequence= */ 1,
                                        /* lastSequence= */ 2,
                                        /* headSequence= */ 2,
                                        /* changedMachines= */ List.of(),
                                        /* removedMachines= */ List.of(),
                                        /* shardDigests= */ Map.of(),
                                        /* repairedShards= */ Map.of(),
                                        /* clockSeconds= */ 4.5)));
        byte[] encoded = MessageEncoding.encodeJson(HandoverCodec.encode(handover));
        assertEquals(
                "{'term':7,'from':'hoist-1','next':'hoist-2',"
                        + "'follow':{'after':1,'to':2,'head':2,'clock':4.5,'now':[],"
                        + "'gone':[],'digests':{},'mended':{}}}",
                new String(encoded, StandardCharsets.UTF_8).replace('"', '\''));
        assertEquals(handover, HandoverCodec.decode(encoded));
    }

    /** The field is always present, because all versions so far have sent it. */
    @Test
    void missingPreferredSuccessorIsEncodedAsEmptyString() throws MalformedMessageException {
        HandoverMessage handover =
                new HandoverMessage(7, "hoist-1", Optional.empty(), Optional.empty());
        String encoded = HandoverCodec.encode(handover).toString();
        assertEquals("{'term':7,'from':'hoist-1','next':''}", encoded.replace('"', '\''));
        assertEquals(handover, decode(encoded));
    }

    @Test
    void missingAndMalformedFieldsAreDecodedAsDefaults() throws MalformedMessageException {
        HandoverMessage empty = new HandoverMessage(0, "", Optional.empty(), Optional.empty());
        assertEquals(empty, decode("{}"));
        assertEquals(empty, decode("{'term':[7],'from':{},'next':[],'follow':{'to':2}}"));
    }
}
