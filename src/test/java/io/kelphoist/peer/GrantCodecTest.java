package io.kelphoist.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableSet;
import io.kelphoist.cancellation.ConfirmedCancellations;
import io.kelphoist.delegation.DelegationOffer;
import io.kelphoist.delegation.PeerStatus;
import io.kelphoist.model.TaskCounts;
import io.kelphoist.replication.MachineStatePublisher.MachineStateUpdate;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against changes of grant requests and responses that controllers of other versions cannot
 * decode, and against a missing or malformed field that makes the whole message unusable.
 */
class GrantCodecTest {
    private static final long TERM = 7;
    private static final MachineStateUpdate UPDATE =
            new MachineStateUpdate(
                    /* baseSequence= */ 1,
                    /* lastSequence= */ 2,
                    /* headSequence= */ 3,
                    /* changedMachines= */ List.of(),
                    /* removedMachines= */ List.of("vm-3"),
                    /* shardDigests= */ Map.of(),
                    /* repairedShards= */ Map.of(),
                    /* clockSeconds= */ 4.5);
    private static final DelegationOffer OFFER =
            new DelegationOffer(
                    TERM,
                    /* incarnation= */ 5,
                    /* sequenceNumber= */ 6,
                    /* startsAtSeconds= */ 1.5,
                    /* excludedMachines= */ ImmutableSet.of("vm-1"));
    private static final GrantRequest FULL_REQUEST =
            new GrantRequest(
                    TERM,
                    "hoist-2",
                    /* stateStoreReachable= */ true,
                    new LeaderState(
                            Optional.of(
                                    Map.of(
                                            "job-7",
                                            new TaskCounts(
                                                    /* doneTasks= */ 2, /* runningTasks= */ 3))),
                            Optional.of(UPDATE),
                            Optional.of(
                                    new CancellationCodec.Acknowledgement(
                                            /* incarnation= */ 8, /* upToSequence= */ 9)),
                            Optional.of(OFFER)));
    private static final GrantResponse FULL_RESPONSE =
            new GrantResponse(
                    /* granted= */ true,
                    /* stateStoreReachable= */ true,
                    Optional.of(
                            new ReplicationCodec.ReplicaStatus(
                                    /* appliedSequence= */ 3, /* divergedShards= */ List.of(1, 4))),
                    Optional.of(
                            new PeerStatus(
                                    /* incarnation= */ 5,
                                    /* clockSeconds= */ 100.5,
                                    /* uptimeSeconds= */ 60,
                                    /* sinceRenewalSeconds= */ 2.5,
                                    /* sequenceNumber= */ 6)),
                    new CancellationReport.Present(
                            new ConfirmedCancellations.Statement(
                                    /* incarnation= */ 8,
                                    /* coveredSeconds= */ 12,
                                    /* lastSequenceNumber= */ 9,
                                    /* complete= */ true,
                                    List.of("job-9"))));

    private static byte[] bytes(String json) {
        return json.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    private static GrantRequest request(String json) throws MalformedMessageException {
        return GrantCodec.decodeRequest(bytes(json));
    }

    private static GrantResponse response(String json) throws MalformedMessageException {
        return GrantCodec.decodeResponse(MessageEncoding.decodeJson(bytes(json)));
    }

    /** The order of the fields is the same in all versions so far. */
    @Test
    void requestHasFieldsInOrderAndIsDecodedUnchanged() throws MalformedMessageException {
        byte[] encoded = MessageEncoding.encodeJson(GrantCodec.encodeRequest(FULL_REQUEST));
        assertEquals(
                "{'jobs':{'job-7':[2,3]},'term':7,'from':'hoist-2','state_ok':true,"
                        + "'follow':{'after':1,'to':2,'head':3,'clock':4.5,'now':[],"
                        + "'gone':['vm-3'],'digests':{},'mended':{}},"
                        + "'told':{'life':8,'have':9},"
                        + "'care':{'life':5,'seq':6,'from':1.5,'except':['vm-1']}}",
                new String(encoded, StandardCharsets.UTF_8).replace('"', '\''));
        assertEquals(FULL_REQUEST, GrantCodec.decodeRequest(encoded));
    }

    @Test
    void requestWithoutStateHasNoOptionalField() throws MalformedMessageException {
        GrantRequest request = new GrantRequest(TERM, "hoist-2", false, LeaderState.NONE);
        byte[] encoded = MessageEncoding.encodeJson(GrantCodec.encodeRequest(request));
        assertEquals(
                "{'term':7,'from':'hoist-2','state_ok':false}",
                new String(encoded, StandardCharsets.UTF_8).replace('"', '\''));
        assertEquals(request, GrantCodec.decodeRequest(encoded));
    }

    @Test
    void emptyRequestHasDefaults() throws MalformedMessageException {
        assertEquals(
                new GrantRequest(
                        /* term= */ 0,
                        /* termIsInteger= */ false,
                        /* sender= */ "",
                        /* stateStoreReachable= */ false,
                        LeaderState.NONE),
                request("{}"));
    }

    /**
     * A term that is not encoded as an integer gets no grant. It is still decoded as a number,
     * because the state in the request is applied under this term.
     */
    @ParameterizedTest
    @CsvSource({
        "7, 7, true",
        "-1, -1, true",
        "7.5, 7, false",
        "'''7''', 7, false",
        "'''x''', 0, false",
        "true, 1, false",
        "null, 0, false",
        "[7], 0, false"
    })
    void termIsDecodedLenientlyButOnlyIntegersGetGrant(String json, long term, boolean isInteger)
            throws MalformedMessageException {
        GrantRequest request = request("{'term':" + json + "}");
        assertEquals(term, request.term());
        assertEquals(isInteger, request.termIsInteger());
    }

    @ParameterizedTest
    @CsvSource({
        "true, true",
        "1, true",
        "'''true''', true",
        "0, false",
        "'''yes''', false",
        "null, false",
        "{}, false"
    })
    void booleansAreDecodedLeniently(String json, boolean expected)
            throws MalformedMessageException {
        assertEquals(expected, request("{'state_ok':" + json + "}").stateStoreReachable());
        assertEquals(expected, response("{'granted':" + json + "}").granted());
        assertEquals(expected, response("{'state_ok':" + json + "}").stateStoreReachable());
    }

    /**
     * The receiver keeps its task counts only if the field is missing. A field of any type, also a
     * malformed one, replaces them.
     */
    @ParameterizedTest
    @ValueSource(strings = {"{}", "null", "7", "[[1,2]]"})
    void malformedTaskCountsAreEmptyButPresent(String json) throws MalformedMessageException {
        assertEquals(Optional.of(Map.of()), request("{'jobs':" + json + "}").state().taskCounts());
    }

    /** A count that is missing or malformed must not affect the other counts. */
    @Test
    void missingOrMalformedTaskCountsAreZero() throws MalformedMessageException {
        assertEquals(
                Optional.of(
                        Map.of(
                                "a", new TaskCounts(1, 0),
                                "b", new TaskCounts(0, 2),
                                "c", TaskCounts.NONE)),
                request("{'jobs':{'a':[1],'b':['x',2],'c':null}}").state().taskCounts());
    }

    /**
     * The parts of the state are decoded independently: a malformed one does not affect the others.
     */
    @Test
    void malformedPartsOfStateAreAbsent() throws MalformedMessageException {
        GrantRequest request =
                request(
                        "{'term':7,'follow':{'after':'1','to':2,'head':3,'clock':4},"
                                + "'told':{'life':8},"
                                + "'care':{'life':5,'seq':6,'from':1.5,'except':['vm-1']}}");
        assertEquals(
                new LeaderState(
                        Optional.empty(), Optional.empty(), Optional.empty(), Optional.of(OFFER)),
                request.state());
        assertEquals(LeaderState.NONE, request("{'follow':7,'told':[],'care':null}").state());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "7", "{} {}", "{"})
    void bodyThatIsNotAnObjectIsMalformed(String body) {
        assertThrows(MalformedMessageException.class, () -> request(body));
    }

    /** The order of the fields is the same in all versions so far. */
    @Test
    void responseHasFieldsInOrderAndIsDecodedUnchanged() throws MalformedMessageException {
        String encoded =
                new String(GrantCodec.encodeResponseBody(FULL_RESPONSE), StandardCharsets.UTF_8);
        assertEquals(
                "{'granted':true,'state_ok':true,'follow':{'have':3,'astray':[1,4]},"
                        + "'care':{'life':5,'clock':100.5,'up_s':60.0,'seq':6,'cared_s':2.5},"
                        + "'told':{'life':8,'since_s':12.0,'to':9,'whole':true,"
                        + "'jobs':['job-9']}}",
                encoded.replace('"', '\''));
        assertEquals(FULL_RESPONSE, response(encoded));
    }

    @Test
    void emptyResponseHasDefaults() throws MalformedMessageException {
        GrantResponse empty =
                new GrantResponse(
                        false,
                        false,
                        Optional.empty(),
                        Optional.empty(),
                        CancellationReport.ABSENT);
        assertEquals(empty, response("{}"));
        assertEquals(empty, response("{'follow':null,'care':7,'told':null}"));
        assertEquals(
                "{'granted':false,'state_ok':false}",
                GrantCodec.encodeResponse(empty).toString().replace('"', '\''));
    }

    /**
     * A malformed statement of cancellations is reported as malformed, not as absent, and does not
     * affect the other parts of the response.
     */
    @Test
    void malformedStatementDoesNotAffectRestOfResponse() throws MalformedMessageException {
        GrantResponse response =
                response("{'granted':true,'follow':{'have':3},'told':{'life':8,'to':-1}}");
        assertInstanceOf(CancellationReport.Malformed.class, response.cancellations());
        assertEquals(
                Optional.of(new ReplicationCodec.ReplicaStatus(3, List.of())),
                response.replicaStatus());
    }
}
