package io.kelphoist.wire;

import static io.kelphoist.wire.MessageSamples.GANG_JOB;
import static io.kelphoist.wire.MessageSamples.cbor;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.ExitReason;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.WorkerCommand;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against malformed messages of users and workers that are accepted or cause another
 * exception than {@link MalformedMessageException}, and against valid ones that are rejected. Also
 * tests the encoding of commands.
 */
class MessageCodecTest {
    private static final String HEARTBEAT =
            """
            {"buoy":"vm-000231","address":"10.1.0.232:9000","hull":"g8","bed":"a","driftwood":true,
             "watch":1,"knot":88,"helm":41,"ebb_s":null,
             "fronds":[{"frond":"job-000412/3","cast":2,"sway":"running"},
                       {"frond":"job-000398/0","cast":1,"sway":"exited","wreck":"stopped","stored":true}]}""";

    @Test
    void decodesJob() throws MalformedMessageException {
        JobSpec job = JobCodec.decodeJob(cbor(GANG_JOB));
        assertEquals(JobKind.GANG, job.kind());
        assertEquals(16, job.tasks());
        assertEquals(900.0, job.deadlineSeconds());
        assertNull(job.zone());
        assertTrue(job.spotAllowed());
        assertEquals(job, JobCodec.decodeJob(JobCodec.encodeJob(job)));
    }

    @Test
    void acceptsIntegerAmountsAndMissingFields() throws MalformedMessageException {
        ObjectNode message = cbor(GANG_JOB);
        message.put("cpus", 8).remove(List.of("bed", "hulls", "landfall_s"));
        JobSpec job = JobCodec.decodeJob(message);
        assertEquals(8.0, job.resourcesPerTask().cpus());
        assertNull(job.machineTypes());
        assertNull(job.deadlineSeconds());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"name_id\":\"task-1\"",
                "\"name_id\":\"job-\"",
                "\"name_id\":\"job-1/2\"",
                "\"name_id\":7",
                "\"name_id\":null",
                "\"rig\":\"array\"",
                "\"tide\":\"production\"",
                "\"fronds\":0",
                "\"fronds\":100001",
                "\"fronds\":2.5",
                "\"fronds\":-1",
                "\"fronds\":18446744073709551616",
                "\"cpus\":-0.1",
                "\"cpus\":\"8\"",
                "\"cpus\":null",
                "\"ram_gb\":true",
                "\"hulls\":\"g8\"",
                "\"hulls\":[1]",
                "\"bed\":4",
                "\"same_place\":\"yes\"",
                "\"same_place\":null",
                "\"spore\":[]",
                "\"holdfast\":\"job-1\"",
                "\"holdfast\":{}",
                "\"holdfast\":[7]",
                "\"holdfast\":[\"job-1\",\"job-\"]",
                "\"holdfast\":[\"job-000412\"]",
                "\"landfall_s\":-5",
                "\"landfall_s\":\"soon\""
            })
    void rejectsInvalidFields(String field) throws MalformedMessageException {
        ObjectNode message = cbor(GANG_JOB);
        ObjectNode invalid = cbor("{" + field + "}");
        message.setAll(invalid);
        assertThrows(MalformedMessageException.class, () -> JobCodec.decodeJob(message));
    }

    @ParameterizedTest
    @ValueSource(doubles = {Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, -1})
    void rejectsInvalidAmounts(double amount) throws MalformedMessageException {
        ObjectNode message = cbor(GANG_JOB);
        message.put("accelerators", amount);
        byte[] sent = MessageEncoding.encodeCbor(message);
        assertThrows(
                MalformedMessageException.class,
                () -> JobCodec.decodeJob(MessageEncoding.decodeCbor(sent)));
    }

    @Test
    void rejectsBodiesThatAreNotMaps() {
        for (byte[] body :
                new byte[][] {
                    {},
                    {(byte) 0x80}, // an empty list
                    {0x01}, // an integer
                    {(byte) 0xff}, // the end of a list or map that has not begun
                    {(byte) 0xa1}, // a map that ends before its only field
                    "{}".getBytes(StandardCharsets.UTF_8)
                }) {
            assertThrows(MalformedMessageException.class, () -> MessageEncoding.decodeCbor(body));
        }
    }

    /** A body of 50,000 nested lists is rejected, without any other exception or error. */
    @Test
    void rejectsDeepNesting() {
        byte[] nested = new byte[50_000];
        // Each byte begins a list of one element.
        java.util.Arrays.fill(nested, (byte) 0x81);
        assertThrows(MalformedMessageException.class, () -> MessageEncoding.decodeCbor(nested));
    }

    /**
     * Corrupted bytes are either decoded or rejected with MalformedMessageException; no other
     * exception is thrown.
     */
    @Test
    void rejectsOrDecodesAlteredBytes() throws MalformedMessageException {
        byte[] valid = MessageEncoding.encodeCbor(cbor(HEARTBEAT));
        Random random = new Random(7);
        int rejected = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] altered = valid.clone();
            for (int changes = random.nextInt(4); changes >= 0; changes--) {
                altered[random.nextInt(altered.length)] = (byte) random.nextInt();
            }
            try {
                WorkerCodec.decodeHeartbeat(MessageEncoding.decodeCbor(altered));
            } catch (MalformedMessageException e) {
                rejected++;
            }
        }
        assertTrue(
                rejected > 5_000,
                "expected more than 5000 of 20000 messages to be rejected, was " + rejected);
    }

    @Test
    void decodesHeartbeat() throws MalformedMessageException {
        Heartbeat heartbeat = WorkerCodec.decodeHeartbeat(cbor(HEARTBEAT));
        assertEquals(88, heartbeat.sequenceNumber());
        assertNull(heartbeat.terminationNoticeSeconds());
        assertEquals(TaskPhase.RUNNING, heartbeat.tasks().get(0).phase());
        assertEquals(ExitReason.STOPPED, heartbeat.tasks().get(1).exitReason());
        assertTrue(heartbeat.tasks().get(1).checkpointSaved());
        assertTrue(heartbeat.isNewerThan(/* otherAgentEpoch= */ 1, /* otherSequenceNumber= */ 87));
        assertFalse(heartbeat.isNewerThan(/* otherAgentEpoch= */ 2, /* otherSequenceNumber= */ 1));
    }

    @Test
    void encodesCommands() throws MalformedMessageException {
        ObjectNode response =
                WorkerCodec.encodeHeartbeatResponse(
                        /* fencingToken= */ 41,
                        List.of(
                                new WorkerCommand.Start(
                                        "job-1", /* taskIndex= */ 4, /* attemptId= */ 2),
                                new WorkerCommand.Stop(
                                        "job-2",
                                        /* taskIndex= */ 1,
                                        /* attemptId= */ 1,
                                        /* graceSeconds= */ 10),
                                new WorkerCommand.Forget(
                                        "job-3", /* taskIndex= */ 0, /* attemptId= */ 1)));
        ObjectNode expected =
                cbor(
                        """
                {"helm":41,"calls":[{"call":"start","frond":"job-1/4","cast":2},{"call":"halt","frond":"job-2/1","cast":1,"slack_s":10.0},
                 {"call":"clear","frond":"job-3/0","cast":1}]}""");
        assertArrayEquals(
                MessageEncoding.encodeJson(expected), MessageEncoding.encodeJson(response));
    }
}
