package io.kelphoist.admission;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.statestore.GroupCommitter;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.VersionCondition;
import java.util.List;

/** Writes job records to the state store with compare-and-swap on the record's version. */
final class JobRecordWriter {
    /** Time after which a write that was not sent yet expires. */
    private static final double WRITE_TIMEOUT_SECONDS = 3.0;

    private static final int BYTES_PER_KILOBYTE = 1024;

    /** Bytes of a value that stay unused, for what later changes of the record add to it. */
    private static final int RESERVED_VALUE_BYTES = 256;

    private final Admission.RecordWriter writer;
    private final EventLoop loop;
    private final int maxValueBytes;

    /** An encoded record and the version of the stored record that it replaces. */
    static final class EncodedRecord {
        private final JobRecord record;
        private final RecordMutation mutation;
        private final int sizeBytes;

        private EncodedRecord(JobRecord record, RecordMutation mutation) {
            this.record = record;
            this.mutation = mutation;
            this.sizeBytes = mutation.valueBytes();
        }
    }

    JobRecordWriter(Admission.RecordWriter writer, EventLoop loop, double maxValueKilobytes) {
        this.writer = writer;
        this.loop = loop;
        this.maxValueBytes = (int) (maxValueKilobytes * BYTES_PER_KILOBYTE) - RESERVED_VALUE_BYTES;
    }

    /**
     * Encodes the record of an active or a cancelled job. The spec of a cancelled job is abridged
     * if the record would not {@linkplain #fits fit} otherwise.
     *
     * @param record the record to write, with a spec; its version is that of the stored record to
     *     be replaced, or 0 if no record may be stored yet
     */
    EncodedRecord encode(JobRecord record) {
        RecordMutation mutation =
                record.status() == JobStatus.CANCELLED
                        ? RecordCodec.encodeCancelledJob(record, maxValueBytes)
                        : RecordCodec.encodeActiveJob(record.spec(), record.timestampMillis());
        return new EncodedRecord(record, mutation);
    }

    /**
     * Returns whether the record fits the state store's limit on the size of a value, with {@link
     * #RESERVED_VALUE_BYTES} to spare.
     */
    boolean fits(EncodedRecord encoded) {
        return encoded.sizeBytes <= maxValueBytes;
    }

    /**
     * Writes a record if the stored record still has the version that it replaces.
     *
     * @param listener called once, on the event loop
     */
    void write(EncodedRecord encoded, GroupCommitter.OutcomeListener listener) {
        writer.submit(
                new GroupCommitter.Write(
                        List.of(
                                new VersionCondition(
                                        encoded.mutation.key(), encoded.record.version())),
                        List.of(encoded.mutation),
                        encoded.sizeBytes + GroupCommitter.KEY_OVERHEAD_BYTES,
                        loop.nowSeconds() + WRITE_TIMEOUT_SECONDS,
                        GroupCommitter.Urgency.URGENT,
                        GroupCommitter.WhenUnavailable.FAIL,
                        listener));
    }
}
