package io.kelphoist.statestore;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobSpecBuilder;
import io.kelphoist.model.JobStatus;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.wire.MalformedMessageException;
import java.util.Optional;

/** Reads and writes job records in a simulated state store at once, independent of its faults. */
public final class StoredJobs {
    private static final int MAX_RECORD_BYTES = 4000;

    private final StateStoreSimulation store;

    /** Creates access to the job records of a store. */
    public StoredJobs(StateStoreSimulation store) {
        this.store = store;
    }

    /** Returns the spec of every job that this class stores: an array of one task. */
    public static JobSpec spec(String jobId) {
        return new JobSpecBuilder(jobId).build();
    }

    /** Stores the record of an active job and returns the new revision. */
    public long putActive(String jobId) {
        return store.put(
                StateStoreKeys.jobKey(jobId),
                RecordCodec.encodeActiveJob(spec(jobId), /* acceptedAtMillis= */ 1).value());
    }

    /** Stores the record of a cancelled job and returns the new revision. */
    public long putCancelled(String jobId) {
        JobRecord active =
                new JobRecord(
                        jobId,
                        spec(jobId),
                        JobStatus.ACTIVE,
                        /* timestampMillis= */ 1,
                        /* version= */ 0);
        return store.put(
                StateStoreKeys.jobKey(jobId),
                RecordCodec.encodeCancelledJob(active, MAX_RECORD_BYTES).value());
    }

    /** Stores the record of a done job and returns the new revision. */
    public long putDone(String jobId) {
        return store.put(
                StateStoreKeys.jobKey(jobId),
                RecordCodec.encodeDoneJob(jobId, /* doneAtMillis= */ 1, /* owner= */ null).value());
    }

    /** Returns the status in a job's record, or empty if the job has no record. */
    public Optional<JobStatus> status(String jobId) {
        StateStoreSimulation.Item item = store.get(StateStoreKeys.jobKey(jobId));
        if (item == null) {
            return Optional.empty();
        }
        try {
            StoredRecord stored = new StoredRecord(item.key(), item.value(), item.revision());
            return Optional.of(RecordCodec.decodeJob(stored).status());
        } catch (MalformedMessageException e) {
            throw new AssertionError("malformed job record: " + item, e);
        }
    }
}
