package io.kelphoist.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.Resources;
import io.kelphoist.model.Team;
import io.kelphoist.statestore.GroupCommitter;
import io.kelphoist.statestore.StateStoreSimulation;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.wire.JobCodec;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against invalid submissions that are accepted and valid ones that are rejected: in each,
 * one field is missing, malformed or at a limit. fields.txt lists the values of each field with the
 * expected outcomes.
 */
class SubmissionFieldsTest {
    private static final String VALID =
            """
            {"name_id":"job-77","catch":"c","crew":"t","rig":"batch","tide":"normal","fronds":2,"cpus":1.0,"accelerators":1.0,"ram_gb":1.0,
             "spore":"i","image_gb":1.0,"hulls":null,"bed":null,"same_place":false,"scatter":false,"driftwood":false,"haul_s":60.0,
             "mooring_s":0.0,"stow_s":0.0,"landfall_s":null}""";
    private static final Resources CAPACITY =
            new Resources(/* cpus= */ 8, /* gpus= */ 2, /* memoryGb= */ 64);
    private static final FixedMachineTypes TYPES =
            new FixedMachineTypes(
                    List.of(
                            new MachineType(
                                    "m",
                                    CAPACITY,
                                    /* cacheGb= */ 50,
                                    /* fetchGbPerSecond= */ 1,
                                    /* price= */ 8,
                                    /* spotPrice= */ 3,
                                    /* bootSeconds= */ 25,
                                    List.of("a", "b")),
                            new MachineType(
                                    "one-zone",
                                    CAPACITY,
                                    /* cacheGb= */ 50,
                                    /* fetchGbPerSecond= */ 1,
                                    /* price= */ 8,
                                    /* spotPrice= */ 3,
                                    /* bootSeconds= */ 25,
                                    List.of("a"))));

    /**
     * Sets a field to a value from fields.txt: JSON, a number that JSON does not have, or missing.
     */
    private static void setField(ObjectNode message, String field, String value)
            throws MalformedMessageException {
        switch (value) {
            case "missing" -> message.remove(field);
            case "NaN" -> message.put(field, Double.NaN);
            case "Infinity" -> message.put(field, Double.POSITIVE_INFINITY);
            case "-Infinity" -> message.put(field, Double.NEGATIVE_INFINITY);
            default ->
                    message.set(
                            field,
                            MessageEncoding.decodeJson(
                                            ("{\"v\":" + value + "}")
                                                    .getBytes(StandardCharsets.UTF_8))
                                    .get("v"));
        }
    }

    @TestFactory
    Stream<DynamicTest> eachField() throws IOException {
        ObjectNode valid = MessageEncoding.newObject();
        return new String(
                        SubmissionFieldsTest.class
                                .getResourceAsStream("/fields.txt")
                                .readAllBytes(),
                        StandardCharsets.UTF_8)
                .lines().filter(line -> !line.isBlank() && !line.startsWith("#")).toList().stream()
                        .map(
                                line ->
                                        DynamicTest.dynamicTest(
                                                line,
                                                () -> {
                                                    if (valid.isEmpty()) {
                                                        valid.setAll(
                                                                MessageEncoding.decodeJson(
                                                                        VALID.getBytes(
                                                                                StandardCharsets
                                                                                        .UTF_8)));
                                                    }
                                                    if (line.startsWith("with ")) {
                                                        String[] words = line.split(" ", -1);
                                                        setField(valid, words[1], words[2]);
                                                        return;
                                                    }
                                                    String[] columns = line.split("\\|", -1);
                                                    ObjectNode sent = valid.deepCopy();
                                                    setField(
                                                            sent,
                                                            columns[0].trim(),
                                                            columns[1].trim());
                                                    check(
                                                            sent,
                                                            columns[0].trim(),
                                                            columns[2].trim());
                                                }));
    }

    private static void check(ObjectNode sent, String field, String expected)
            throws MalformedMessageException {
        // given
        StateStoreSimulation store = new StateStoreSimulation(/* seed= */ 1, /* startSeconds= */ 0);
        Admission admission = newAdmission(store);
        AdmissionResult[] result = new AdmissionResult[1];
        // The message is encoded and decoded as when it is sent to a controller; the gRPC server
        // decodes jobs in the same way.
        ObjectNode message = MessageEncoding.decodeCbor(MessageEncoding.encodeCbor(sent));
        String id = null;
        // when
        try {
            id = JobCodec.decodeJobId(message);
            admission.submit(JobCodec.decodeJob(message), received -> result[0] = received);
        } catch (MalformedMessageException e) {
            assertTrue(
                    e.getMessage().contains(field),
                    "expected the name of "
                            + field
                            + " in the error message, was "
                            + e.getMessage());
            if (id == null) {
                assertEquals("malformed", expected);
                return;
            }
            admission.rejectMalformed(id, e.getMessage(), received -> result[0] = received);
        }
        store.advance(10);
        // then
        assertEquals(expected, outcomeName(result[0]));
        assertEquals(
                expected.equals("accepted"),
                store.get(StateStoreKeys.jobKey(id)) != null,
                "whether " + id + " is stored");
    }

    private static Admission newAdmission(StateStoreSimulation store) {
        Team team =
                new Team(
                        "t",
                        Resources.NONE,
                        new Resources(/* cpus= */ 1e9, /* gpus= */ 8, /* memoryGb= */ 1e9));
        return Admission.create(
                new Admission.StoreAccess(
                        store,
                        new GroupCommitter(
                                        store,
                                        store,
                                        /* mutationsPerSecond= */ 1e6,
                                        /* maxMutations= */ 48)
                                ::submit),
                store,
                /* wallClockMillis= */ () -> 1,
                TYPES,
                new AdmissionSettings(
                        List.of(team),
                        List.of("a", "b"),
                        /* maxValueKilobytes= */ 4,
                        /* cancellationTimeoutSeconds= */ 30),
                /* beforeResponse= */ job -> {});
    }

    /** Returns the name of the outcome in fields.txt. */
    private static String outcomeName(AdmissionResult result) {
        if (result instanceof AdmissionResult.Accepted) {
            return "accepted";
        }
        if (result instanceof AdmissionResult.Rejected rejected) {
            return rejected.reason() == AdmissionResult.Rejected.Reason.MALFORMED
                    ? "malformed"
                    : "impossible";
        }
        return String.valueOf(result);
    }
}
