package io.kelphoist.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.events.TaskEventLog;
import io.kelphoist.peer.TaskEventCodec.EventsRequest;
import io.kelphoist.peer.TaskEventCodec.TermUpdate;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against changes of transient event messages that other controllers cannot decode. */
class TaskEventCodecTest {
    @Test
    void requestIsDecodedUnchanged() throws MalformedMessageException {
        EventsRequest request = new EventsRequest(/* term= */ 7, /* fromSequence= */ 12);
        assertEquals(
                request,
                TaskEventCodec.decodeRequest(
                        MessageEncoding.encodeJson(TaskEventCodec.encodeRequest(request))));
    }

    /** The empty request is also the reachability probe, to which every version must respond. */
    @Test
    void emptyRequestIsDecodedAsSnapshotRequest() throws MalformedMessageException {
        assertEquals(
                new EventsRequest(/* term= */ 0, /* fromSequence= */ -1),
                TaskEventCodec.decodeRequest("{}".getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void responseWithoutUpdateIsEmpty() {
        byte[] encoded = TaskEventCodec.encodeResponseBody(Optional.empty());
        assertEquals("{}", new String(encoded, StandardCharsets.UTF_8));
        assertEquals(Optional.empty(), TaskEventCodec.decodeResponse(MessageEncoding.newObject()));
    }

    @Test
    void responseWithUpdateIsDecodedUnchanged() throws MalformedMessageException {
        Optional<TermUpdate> update =
                Optional.of(new TermUpdate(7, new TaskEventLog.Update(5, true, List.of())));
        ObjectNode message = MessageEncoding.decodeJson(TaskEventCodec.encodeResponseBody(update));
        assertEquals(update, TaskEventCodec.decodeResponse(message));
    }
}
