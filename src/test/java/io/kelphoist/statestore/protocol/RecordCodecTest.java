package io.kelphoist.statestore.protocol;

import static io.kelphoist.wire.MessageSamples.GANG_JOB;
import static io.kelphoist.wire.MessageSamples.cbor;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.JobOwner;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.RecordedStart;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.model.TaskRef;
import io.kelphoist.wire.JobCodec;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against stored records that can't be decoded, or are decoded to something else than what
 * was encoded, also by another version than the one that stored them. The numbers in stored records
 * are their versions, and page 0 stands for any page.
 */
class RecordCodecTest {
    /**
     * Records of the version without dependencies can still be decoded, and jobs without
     * dependencies are encoded as that version did.
     */
    @Test
    void readsAndWritesJobRecordsOfThePreviousVersion() throws MalformedMessageException {
        String spec =
                """
                {"name_id":"job-7","catch":"c","crew":"t","rig":"batch","tide":"normal","fronds":3,"cpus":1.0,"accelerators":1.0,\
                "ram_gb":2.0,"spore":"i","image_gb":1.5,"hulls":["m"],"bed":"z","same_place":false,"scatter":false,"driftwood":true,\
                "haul_s":60.0,"mooring_s":0.0,"stow_s":0.0,"landfall_s":90.0}""";
        String active = "{\"status\":\"active\",\"at\":5,\"spec\":" + spec + "}";
        JobRecord job = RecordCodec.decodeJob(new StoredRecord("j/job-7", cbor(active), 9));
        assertEquals(List.of(), job.spec().dependencies());
        assertEquals(5, job.timestampMillis());
        assertEquals(
                active,
                json(RecordCodec.encodeActiveJob(job.spec(), /* acceptedAtMillis= */ 5).value()));
        assertEquals(
                active.replace("active", "cancelled"),
                json(RecordCodec.encodeCancelledJob(job, /* maxBytes= */ 4096).value()));
        assertEquals(
                JobStatus.CANCELLED,
                RecordCodec.decodeJob(
                                new StoredRecord(
                                        "j/job-7", cbor(active.replace("active", "cancelled")), 10))
                        .status());
        JobRecord done =
                RecordCodec.decodeJob(
                        new StoredRecord("j/job-7", cbor("{\"status\":\"done\"}"), 11));
        assertEquals(JobStatus.DONE, done.status());
        assertEquals(0, done.timestampMillis());
        assertEquals(
                "{\"status\":\"done\",\"at\":12}",
                json(
                        RecordCodec.encodeDoneJob(
                                        "job-1", /* doneAtMillis= */ 12, /* owner= */ null)
                                .value()));
        assertEquals(
                "{\"status\":\"done\",\"at\":12,\"team\":\"red\",\"class\":\"c\"}",
                json(
                        RecordCodec.encodeDoneJob(
                                        "job-1", /* doneAtMillis= */ 12, new JobOwner("red", "c"))
                                .value()));
    }

    /**
     * Pages of the version without dependencies can still be decoded, and are encoded unchanged.
     */
    @Test
    void readsAndWritesPagesOfThePreviousVersion() throws MalformedMessageException {
        List<RecordedStart> starts =
                RecordCodec.decodeStarts(
                        new StoredRecord(
                                "",
                                cbor("{\"vm-1\":[\"m\",\"z\",true,\"job-7/0\",\"job-8/12\"]}"),
                                0));
        assertEquals(
                List.of(
                        new RecordedStart(
                                "vm-1", "m", "z", /* spot= */ true, new TaskRef("job-7", 0)),
                        new RecordedStart(
                                "vm-1", "m", "z", /* spot= */ true, new TaskRef("job-8", 12))),
                starts);
        String progress = "{\"job-7/0\":\"BQ==\"}";
        assertEquals(
                progress,
                json(
                        RecordCodec.encodeProgress(
                                        0,
                                        RecordCodec.decodeProgress(
                                                new StoredRecord("", cbor(progress), 0)))
                                .value()));
        assertEquals(
                "{0, 2}",
                RecordCodec.decodeProgress(new StoredRecord("", cbor(progress), 0))
                        .get(0)
                        .doneTasks()
                        .toString());
        String images = "{\"vm-1\":{\"i\":1.5,\"k\":2.0}}";
        assertEquals(
                images,
                json(
                        RecordCodec.encodeImages(
                                        0,
                                        RecordCodec.decodeImages(
                                                new StoredRecord("", cbor(images), 0)))
                                .value()));
    }

    private static String json(ObjectNode message) {
        return new String(MessageEncoding.encodeJson(message), StandardCharsets.UTF_8);
    }

    /**
     * The record of a cancelled job that exceeds the current limit on its size is abridged to the
     * fields that are still needed, and the previous version can decode it.
     */
    @Test
    void cancelledRecordFitsTheLimit() throws MalformedMessageException {
        ObjectNode message = cbor(GANG_JOB).put("spore", "i".repeat(3000));
        message.withArray("holdfast").add("job-1").add("job-2").add("job-1");
        JobSpec spec = JobCodec.decodeJob(message);
        assertEquals(List.of("job-1", "job-2"), spec.dependencies());
        ObjectNode record =
                RecordCodec.encodeCancelledJob(
                                new JobRecord(
                                        spec.id(),
                                        spec,
                                        JobStatus.ACTIVE,
                                        /* timestampMillis= */ 5,
                                        9),
                                /* maxBytes= */ 1024)
                        .value();
        int bytes = MessageEncoding.encodeJson(record).length;
        assertTrue(bytes <= 1024, "expected at most 1024 bytes, was " + bytes);
        JobRecord read =
                RecordCodec.decodeJob(
                        new StoredRecord(StateStoreKeys.jobKey(spec.id()), record, 10));
        assertEquals(JobStatus.CANCELLED, read.status());
        assertEquals(spec.resourcesPerTask(), read.spec().resourcesPerTask());
    }

    /**
     * Dependencies that can't be decoded must not be read as none, since the job would then start.
     * Instead the job depends on a job that can't exist. No version stores such a record.
     */
    @Test
    void undecodableDependenciesAreNotReadAsNone() throws MalformedMessageException {
        ObjectNode stored =
                RecordCodec.encodeActiveJob(
                                JobCodec.decodeJob(cbor(GANG_JOB)), /* acceptedAtMillis= */ 5)
                        .value();
        ((ObjectNode) stored.get("spec")).put("holdfast", "job-1");
        JobSpec spec = RecordCodec.decodeJob(new StoredRecord("j/job-000412", stored, 9)).spec();
        assertEquals(1, spec.dependencies().size());
        assertFalse(JobCodec.isJobId(spec.dependencies().get(0)));
    }

    @Test
    void decodedRecordsEqualEncodedOnes() throws MalformedMessageException {
        JobSpec spec = JobCodec.decodeJob(cbor(GANG_JOB));
        JobRecord active =
                RecordCodec.decodeJob(
                        new StoredRecord(
                                StateStoreKeys.jobKey(spec.id()),
                                RecordCodec.encodeActiveJob(spec, 5).value(),
                                9));
        assertEquals(new JobRecord(spec.id(), spec, JobStatus.ACTIVE, 5, 9), active);
        assertEquals(
                JobStatus.CANCELLED,
                RecordCodec.decodeJob(
                                new StoredRecord(
                                        StateStoreKeys.jobKey(spec.id()),
                                        RecordCodec.encodeCancelledJob(active, 4096).value(),
                                        10))
                        .status());
        assertEquals(
                JobStatus.DONE,
                RecordCodec.decodeJob(
                                new StoredRecord(
                                        StateStoreKeys.jobKey(spec.id()),
                                        RecordCodec.encodeDoneJob("job-1", 12, null).value(),
                                        11))
                        .status());
        BitSet done = new BitSet();
        done.set(1, 5000);
        TaskProgress progress = new TaskProgress(spec.id(), /* firstTask= */ 8192, done);
        assertEquals(
                List.of(progress),
                RecordCodec.decodeProgress(
                        new StoredRecord(
                                "", RecordCodec.encodeProgress(0, List.of(progress)).value(), 0)));
    }
}
