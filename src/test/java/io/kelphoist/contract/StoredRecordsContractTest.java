package io.kelphoist.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.leadership.StartPages;
import io.kelphoist.model.CachedImages;
import io.kelphoist.model.JobOwner;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.RecordedStart;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.model.TaskRef;
import io.kelphoist.scheduler.TaskAttemptFixture;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.wire.MalformedMessageException;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * The encoding of keys and values in the state store. Guards against a change after which records
 * that an earlier version stored can't be read.
 */
class StoredRecordsContractTest {
    private static final long ACCEPTED_AT_MILLIS = 1_790_000_000_123L;
    private static final long VERSION = 412;
    private static final int MAX_VALUE_BYTES = 4096;

    @Nested
    class JobRecords {
        @Test
        void activeJobWithEveryFieldIsDecodedAndEncodedAgain() throws MalformedMessageException {
            activeJobIsDecodedAndEncodedAgain(
                    "records/job-active-every-field", SampleJobs.gangWithEveryField());
        }

        @Test
        void activeJobWithoutOptionalFieldsIsDecodedAndEncodedAgain()
                throws MalformedMessageException {
            activeJobIsDecodedAndEncodedAgain(
                    "records/job-active-without-optional-fields",
                    SampleJobs.arrayWithoutOptionalFields());
        }

        private void activeJobIsDecodedAndEncodedAgain(String name, JobSpec job)
                throws MalformedMessageException {
            // The encoding stays the same.
            GoldenFiles.assertCborMessage(
                    name, RecordCodec.encodeActiveJob(job, ACCEPTED_AT_MILLIS).value());
            // when
            JobRecord decoded =
                    RecordCodec.decodeJob(
                            new StoredRecord(
                                    "j/" + job.id(), GoldenFiles.storedCborMessage(name), VERSION));
            // then
            assertEquals(
                    new JobRecord(
                            job.id(),
                            job,
                            JobStatus.ACTIVE,
                            ACCEPTED_AT_MILLIS,
                            VERSION,
                            job.owner()),
                    decoded);
            GoldenFiles.assertCborMessage(
                    name,
                    RecordCodec.encodeActiveJob(decoded.spec(), decoded.timestampMillis()).value());
        }

        @Test
        void cancelledJobIsDecodedAndEncodedAgain() throws MalformedMessageException {
            // given
            JobSpec job = SampleJobs.gangWithEveryField();
            JobRecord active =
                    new JobRecord(job.id(), job, JobStatus.ACTIVE, ACCEPTED_AT_MILLIS, VERSION);
            GoldenFiles.assertCborMessage(
                    "records/job-cancelled",
                    RecordCodec.encodeCancelledJob(active, MAX_VALUE_BYTES).value());
            // when
            JobRecord decoded =
                    RecordCodec.decodeJob(
                            new StoredRecord(
                                    "j/" + job.id(),
                                    GoldenFiles.storedCborMessage("records/job-cancelled"),
                                    VERSION));
            // then
            assertEquals(
                    new JobRecord(
                            job.id(),
                            job,
                            JobStatus.CANCELLED,
                            ACCEPTED_AT_MILLIS,
                            VERSION,
                            job.owner()),
                    decoded);
            GoldenFiles.assertCborMessage(
                    "records/job-cancelled",
                    RecordCodec.encodeCancelledJob(decoded, MAX_VALUE_BYTES).value());
        }

        @Test
        void cancelledJobThatIsTooLargeIsAbridged() throws MalformedMessageException {
            // given
            JobSpec job = SampleJobs.gangWithEveryField();
            JobRecord active =
                    new JobRecord(job.id(), job, JobStatus.ACTIVE, ACCEPTED_AT_MILLIS, VERSION);
            // The encoding stays the same.
            GoldenFiles.assertCborMessage(
                    "records/job-cancelled-abridged",
                    RecordCodec.encodeCancelledJob(active, /* maxValueBytes= */ 100).value());
            // then
            JobRecord decoded =
                    RecordCodec.decodeJob(
                            new StoredRecord(
                                    "j/" + job.id(),
                                    GoldenFiles.storedCborMessage("records/job-cancelled-abridged"),
                                    VERSION));
            assertEquals(job.abridged(), decoded.spec());
        }

        @Test
        void doneJobIsDecodedAndEncodedAgain() throws MalformedMessageException {
            // given
            JobOwner owner = new JobOwner("vision", "train");
            GoldenFiles.assertCborMessage(
                    "records/job-done",
                    RecordCodec.encodeDoneJob("job-1", ACCEPTED_AT_MILLIS, owner).value());
            // when
            JobRecord decoded =
                    RecordCodec.decodeJob(
                            new StoredRecord(
                                    "j/job-1",
                                    GoldenFiles.storedCborMessage("records/job-done"),
                                    VERSION));
            // then
            assertEquals(
                    new JobRecord(
                            "job-1",
                            /* spec= */ null,
                            JobStatus.DONE,
                            ACCEPTED_AT_MILLIS,
                            VERSION,
                            owner),
                    decoded);
            GoldenFiles.assertCborMessage(
                    "records/job-done",
                    RecordCodec.encodeDoneJob("job-1", decoded.timestampMillis(), decoded.owner())
                            .value());
        }

        @Test
        void doneJobOfAnEarlierVersionHasNoOwner() throws MalformedMessageException {
            // The encoding stays the same.
            GoldenFiles.assertCborMessage(
                    "records/job-done-without-owner",
                    RecordCodec.encodeDoneJob("job-1", ACCEPTED_AT_MILLIS, /* owner= */ null)
                            .value());
            // when
            JobRecord decoded =
                    RecordCodec.decodeJob(
                            new StoredRecord(
                                    "j/job-1",
                                    GoldenFiles.storedCborMessage("records/job-done-without-owner"),
                                    VERSION));
            // then
            assertNull(decoded.owner());
            assertEquals(JobStatus.DONE, decoded.status());
        }

        /** The decoded job depends on an id with 31 digits, one too many for a job to exist. */
        @Test
        void jobWithUnreadableDependenciesNeverStarts() throws MalformedMessageException {
            // given
            ObjectNode stored =
                    GoldenFiles.receivedCborMessage("records/job-unreadable-dependencies");
            // when
            JobRecord decoded = RecordCodec.decodeJob(new StoredRecord("j/job-7", stored, VERSION));
            // then
            assertEquals(
                    List.of("job-0000000000000000000000000000000"), decoded.spec().dependencies());
        }
    }

    @Nested
    class PackedRecords {
        @Test
        void progressIsDecodedAndEncodedAgain() throws MalformedMessageException {
            // given
            List<TaskProgress> progress =
                    List.of(
                            new TaskProgress("job-000412", 0, bits(0, 3, 15)),
                            new TaskProgress("job-7", 8192, bits(0, 8191)),
                            new TaskProgress("job-9", 0, new BitSet()));
            GoldenFiles.assertCborMessage(
                    "records/progress",
                    RecordCodec.encodeProgress(/* pageNumber= */ 0, progress).value());
            // when
            List<TaskProgress> decoded =
                    RecordCodec.decodeProgress(
                            new StoredRecord(
                                    /* key= */ "",
                                    GoldenFiles.storedCborMessage("records/progress"),
                                    /* version= */ 0));
            // then
            assertEquals(progress, decoded);
            GoldenFiles.assertCborMessage(
                    "records/progress",
                    RecordCodec.encodeProgress(/* pageNumber= */ 0, decoded).value());
        }

        @Test
        void startsAreEncodedByMachineAndDecoded() throws MalformedMessageException {
            // given
            Machine spotMachine =
                    TaskAttemptFixture.createMachine("vm-000231", /* zone= */ 0, /* spot= */ true);
            Machine onDemandMachine =
                    TaskAttemptFixture.createMachine("vm-000232", /* zone= */ 1, /* spot= */ false);
            JobSpec gang = SampleJobs.gangWithEveryField();
            JobSpec array = SampleJobs.arrayWithoutOptionalFields();
            List<TaskAttempt> attempts =
                    List.of(
                            TaskAttemptFixture.createAttempt(gang, /* taskIndex= */ 3, spotMachine),
                            TaskAttemptFixture.createAttempt(
                                    array, /* taskIndex= */ 0, onDemandMachine),
                            TaskAttemptFixture.createAttempt(
                                    array, /* taskIndex= */ 99_999, spotMachine));
            // The encoding stays the same.
            GoldenFiles.assertCborMessage(
                    "records/starts",
                    StartPages.encode(/* pageNumber= */ 0, attempts, zone -> zone == 0 ? "a" : "b")
                            .value());
            // then
            assertEquals(
                    List.of(
                            new RecordedStart(
                                    "vm-000231", "g8", "a", true, new TaskRef("job-000412", 3)),
                            new RecordedStart(
                                    "vm-000231", "g8", "a", true, new TaskRef("job-7", 99_999)),
                            new RecordedStart(
                                    "vm-000232", "g8", "b", false, new TaskRef("job-7", 0))),
                    RecordCodec.decodeStarts(
                            new StoredRecord(
                                    /* key= */ "",
                                    GoldenFiles.storedCborMessage("records/starts"),
                                    /* version= */ 0)));
        }

        @Test
        void cachedImagesAreDecodedAndEncodedAgain() throws MalformedMessageException {
            // given
            List<CachedImages> images =
                    List.of(
                            new CachedImages(
                                    "vm-000231",
                                    List.of(
                                            new CachedImages.Image("img-07", 6.2),
                                            new CachedImages.Image("img-1", 1))),
                            new CachedImages("vm-000232", List.of()));
            GoldenFiles.assertCborMessage(
                    "records/images",
                    RecordCodec.encodeImages(/* pageNumber= */ 0, images).value());
            // when
            List<CachedImages> decoded =
                    RecordCodec.decodeImages(
                            new StoredRecord(
                                    /* key= */ "",
                                    GoldenFiles.storedCborMessage("records/images"),
                                    /* version= */ 0));
            // then
            assertEquals(images, decoded);
            GoldenFiles.assertCborMessage(
                    "records/images",
                    RecordCodec.encodeImages(/* pageNumber= */ 0, decoded).value());
        }

        private BitSet bits(int... indexes) {
            BitSet bits = new BitSet();
            for (int index : indexes) {
                bits.set(index);
            }
            return bits;
        }
    }

    @Nested
    class DelegationRecords {
        @Test
        void delegationStartIsRoundedUpToAMillisecondAndDecoded() {
            GoldenFiles.assertCborMessage(
                    "records/mandate",
                    RecordCodec.encodeDelegation("b", 1_790_000_000_123.25).value());
            assertEquals(
                    1_790_000_000_124.0,
                    RecordCodec.decodeDelegation(
                            new StoredRecord(
                                    /* key= */ "",
                                    GoldenFiles.storedCborMessage("records/mandate"),
                                    /* version= */ 0)));
        }

        @Test
        void delegationWithUnknownStartIsDecoded() {
            GoldenFiles.assertCborMessage(
                    "records/mandate-unknown",
                    RecordCodec.encodeDelegation("b", Double.NaN).value());
            assertTrue(
                    Double.isNaN(
                            RecordCodec.decodeDelegation(
                                    new StoredRecord(
                                            /* key= */ "",
                                            GoldenFiles.storedCborMessage(
                                                    "records/mandate-unknown"),
                                            /* version= */ 0))));
        }
    }

    @Nested
    class RecordKeys {
        @Test
        void keysAndPrefixesStayTheSame() {
            GoldenFiles.assertSameText(
                    "records/keys.txt",
                    String.join(
                            "\n",
                            "below leadership: " + StateStoreKeys.LEADERSHIP_PREFIX,
                            "term: " + StateStoreKeys.TERM,
                            "leader: " + StateStoreKeys.LEADER,
                            "machine types: " + StateStoreKeys.MACHINE_TYPES,
                            "jobs: " + StateStoreKeys.JOBS_PREFIX,
                            "progress: " + StateStoreKeys.PROGRESS_PREFIX,
                            "images: " + StateStoreKeys.IMAGES_PREFIX,
                            "starts: " + StateStoreKeys.STARTS_PREFIX,
                            // The prefix of delegation records; the golden file has this label.
                            "mandates: " + StateStoreKeys.DELEGATIONS_PREFIX,
                            "a job: " + StateStoreKeys.jobKey("job-000412"),
                            "first page of starts: "
                                    + StateStoreKeys.pageKey(StateStoreKeys.STARTS_PREFIX, 0),
                            "page 123456 of progress: "
                                    + StateStoreKeys.pageKey(
                                            StateStoreKeys.PROGRESS_PREFIX, 123_456),
                            ""));
        }

        @Test
        void pageNumberIsReadFromAKey() throws MalformedMessageException {
            assertEquals(
                    123_456, StateStoreKeys.pageNumber(StateStoreKeys.PROGRESS_PREFIX, "p/123456"));
            assertEquals(0, StateStoreKeys.pageNumber(StateStoreKeys.STARTS_PREFIX, "s/000000"));
        }
    }
}
