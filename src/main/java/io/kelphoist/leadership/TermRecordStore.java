package io.kelphoist.leadership;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.RecordedStart;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.records.PageWriteOutcome;
import io.kelphoist.replication.RecordReplica;
import io.kelphoist.scheduler.SchedulerState;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.statestore.GroupCommitter;
import io.kelphoist.statestore.StateStoreReader;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.wire.MalformedMessageException;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ObjDoubleConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads and writes the records of one term for its scheduler: loads them when the term starts,
 * stores the results of the scheduler's decisions, and reports the outcomes. {@link
 * TermRecordWriter} executes the writes. Runs on the event loop; nothing is reported to the
 * scheduler after {@link #close}.
 */
public final class TermRecordStore {
    private static final Logger LOG = LoggerFactory.getLogger(TermRecordStore.class);
    private static final double READ_RETRY_SECONDS = 0.2;
    private static final double MILLIS_PER_SECOND = 1000.0;

    /** Size assumed for the machine types in a transaction; they take less. */
    private static final int ASSUMED_MACHINE_TYPES_BYTES = 1000;

    private final StateStoreReader stateReader;
    private final TermRecordWriter writer;
    private final EventLoop eventLoop;
    private final LongSupplier wallClockMillis;
    private final int maxValueBytes;

    /** Set when the records are loaded, before any write whose outcome it receives. */
    private SchedulerState schedulerState;

    /**
     * @param wallClockMillis the wall clock, from which records get their timestamps
     * @param maxValueBytes largest value that the state store accepts
     */
    public TermRecordStore(
            StateStoreReader stateReader,
            TermRecordWriter writer,
            EventLoop eventLoop,
            LongSupplier wallClockMillis,
            int maxValueBytes) {
        this.stateReader = stateReader;
        this.writer = writer;
        this.eventLoop = eventLoop;
        this.wallClockMillis = wallClockMillis;
        this.maxValueBytes = maxValueBytes;
    }

    /** The term has ended: nothing more is reported to the scheduler. */
    public void close() {
        writer.close();
    }

    // ---- loading ----

    /**
     * Loads all records into the scheduler of a new term, and sets the expected versions of those
     * that only leaders write.
     *
     * @param onDelegationLoaded receives the name of each controller that has a delegation record,
     *     and the latest start of its delegation by the wall clock in milliseconds; NaN if the
     *     record is cleared
     */
    public void loadRecords(
            SchedulerState target,
            RecordReplica replica,
            ObjDoubleConsumer<String> onDelegationLoaded) {
        schedulerState = target;
        replica.allJobs().forEach(this::applyJobRecord);
        replica.progressPages().forEach(this::loadProgressPage);
        replica.startPages().forEach(this::loadStartPage);
        replica.delegations()
                .forEach(
                        (peer, delegation) -> {
                            writer.setExpectedVersion(
                                    StateStoreKeys.DELEGATIONS_PREFIX + peer, delegation.version());
                            onDelegationLoaded.accept(peer, delegation.value());
                        });
        loadImageHints();
        target.onRecordsLoaded(eventLoop.nowSeconds());
    }

    private void loadProgressPage(int page, RecordReplica.Versioned<List<TaskProgress>> stored) {
        writer.setExpectedVersion(
                StateStoreKeys.pageKey(StateStoreKeys.PROGRESS_PREFIX, page), stored.version());
        for (TaskProgress progress : stored.value()) {
            schedulerState.onProgressLoaded(page, progress);
        }
    }

    private void loadStartPage(int page, RecordReplica.Versioned<List<RecordedStart>> stored) {
        writer.setExpectedVersion(
                StateStoreKeys.pageKey(StateStoreKeys.STARTS_PREFIX, page), stored.version());
        for (RecordedStart start : stored.value()) {
            schedulerState.onStartLoaded(page, start, eventLoop.nowSeconds());
        }
    }

    /**
     * Reads which images the machines are expected to have cached, and retries until that succeeds.
     * The term does not wait for them, because they only improve placement.
     */
    private void loadImageHints() {
        stateReader.readAll(
                StateStoreKeys.IMAGES_PREFIX,
                snapshot -> {
                    if (writer.isClosed()) {
                        return;
                    }
                    if (snapshot.isEmpty()) {
                        eventLoop.schedule(READ_RETRY_SECONDS, this::loadImageHints);
                        return;
                    }
                    snapshot.get().records().forEach(this::loadImagePage);
                });
    }

    private void loadImagePage(StoredRecord record) {
        writer.setExpectedVersion(record.key(), record.version());
        try {
            int page = StateStoreKeys.pageNumber(StateStoreKeys.IMAGES_PREFIX, record.key());
            RecordCodec.decodeImages(record)
                    .forEach(images -> schedulerState.onImagesLoaded(page, images));
        } catch (MalformedMessageException e) {
            LOG.error("malformed record: key={} error={}", record.key(), e.getMessage());
        }
    }

    /**
     * Passes a job's record that was read or has changed to the scheduler, until {@link #close}.
     */
    public void applyJobRecord(JobRecord record) {
        if (!writer.isClosed()) {
            long ageMillis = wallClockMillis.getAsLong() - record.timestampMillis();
            schedulerState.onJobRecord(
                    record, Math.max(0, ageMillis / MILLIS_PER_SECOND), eventLoop.nowSeconds());
        }
    }

    /** Requests a tick, because changed records may allow new decisions. */
    void requestTick() {
        if (!writer.isClosed()) {
            writer.requestTick();
        }
    }

    /**
     * Reads a job's record, and reports it to the scheduler. If the state store rejects the read,
     * because there is no record or for another reason, reports that none was found. Reports
     * neither if the read failed or the record is malformed.
     */
    public void readJob(String jobId) {
        stateReader.get(
                StateStoreKeys.jobKey(jobId),
                result -> {
                    if (!writer.isClosed()
                            && !applyStoredJob(jobId, result)
                            && result.isProcessed()) {
                        schedulerState.onJobNotFound(jobId, eventLoop.nowSeconds());
                    }
                    writer.requestTick();
                });
    }

    /**
     * Passes a job's record that was read to the scheduler, unless it is malformed. Returns false
     * if the read returned no record.
     */
    private boolean applyStoredJob(String jobId, StateStoreResult<StoredRecord> result) {
        if (!(result instanceof StateStoreResult.Success<StoredRecord> found)) {
            return false;
        }
        try {
            applyJobRecord(RecordCodec.decodeJob(found.value()));
        } catch (MalformedMessageException e) {
            LOG.error("malformed job record: job={} error={}", jobId, e.getMessage());
        }
        return true;
    }

    // ---- storing ----

    /** Stores a page of completed tasks. */
    public void storeProgress(int page, List<TaskProgress> progress) {
        writer.writeLeaderRecord(
                RecordCodec.encodeProgress(page, progress),
                GroupCommitter.Urgency.NORMAL,
                outcome -> schedulerState.onProgressStored(page, outcome));
    }

    /**
     * Stores a page of task starts. The write is urgent because dozens of tasks wait for it. The
     * scheduler, which creates the pages, bounds their share of the write limit.
     */
    public void storeStarts(int page, List<TaskAttempt> starts) {
        writer.writeLeaderRecord(
                StartPages.encode(page, starts, schedulerState::zoneName),
                GroupCommitter.Urgency.URGENT,
                outcome -> schedulerState.onStartsStored(page, outcome));
    }

    /** Stores a page of cached images. */
    public void storeImages(int page, List<Machine> machines) {
        writer.writeLeaderRecord(
                RecordCodec.encodeImages(
                        page, machines.stream().map(schedulerState::cachedImages).toList()),
                GroupCommitter.Urgency.NORMAL,
                outcome -> schedulerState.onImagesStored(page, outcome));
    }

    /** Stores that a job is done, unless its record has changed since. */
    public void storeJobDone(JobSpec job, long jobVersion) {
        long endedAtMillis = wallClockMillis.getAsLong();
        JobRecord doneJob =
                new JobRecord(
                        job.id(), null, JobStatus.DONE, endedAtMillis, jobVersion, job.owner());
        storeJobEnd(
                doneJob,
                RecordCodec.encodeDoneJob(job.id(), endedAtMillis, job.owner()),
                GroupCommitter.Urgency.NORMAL);
    }

    /**
     * Stores that a job is cancelled, unless its record has changed since. The write is urgent
     * because users wait for it.
     */
    public void storeJobCancelled(JobRecord job) {
        JobRecord cancelledJob =
                new JobRecord(
                        job.id(),
                        job.spec(),
                        JobStatus.CANCELLED,
                        job.timestampMillis(),
                        job.version());
        storeJobEnd(
                cancelledJob,
                RecordCodec.encodeCancelledJob(job, maxValueBytes),
                GroupCommitter.Urgency.URGENT);
    }

    private void storeJobEnd(
            JobRecord endedJob, RecordMutation mutation, GroupCommitter.Urgency urgency) {
        writer.writeIfUnchanged(
                mutation,
                endedJob.version(),
                urgency,
                (outcome, revision) -> {
                    if (outcome == GroupCommitter.Outcome.STORED) {
                        onJobEndStored(endedJob, revision);
                    } else {
                        readAfterFailedWrite(endedJob.id());
                    }
                });
    }

    private void onJobEndStored(JobRecord endedJob, long revision) {
        JobRecord stored =
                new JobRecord(
                        endedJob.id(),
                        endedJob.spec(),
                        endedJob.status(),
                        endedJob.timestampMillis(),
                        revision);
        schedulerState.onJobRecord(stored, /* ageSeconds= */ 0, eventLoop.nowSeconds());
    }

    /**
     * Reads the record of a job after the write of its end failed or had an unknown outcome: the
     * job may have been cancelled, or its end may be stored already. Also checks whether a newer
     * term is the cause.
     */
    private void readAfterFailedWrite(String jobId) {
        stateReader.get(
                StateStoreKeys.jobKey(jobId),
                result -> {
                    if (writer.isClosed()) {
                        return;
                    }
                    applyStoredJob(jobId, result);
                    schedulerState.onJobEndNotStored(jobId);
                    writer.checkTerm();
                });
    }

    /**
     * Stores the latest start of a controller's delegation. Delegation records are never deleted
     * but only replaced, so that a write that is applied late finds another version and fails.
     *
     * @param startsAtMillis latest start by the wall clock; NaN clears the record
     * @param onOutcome receives true if the record is stored, false if the outcome is unknown or it
     *     is not stored
     */
    void storeDelegation(String peer, double startsAtMillis, Consumer<Boolean> onOutcome) {
        writer.writeLeaderRecord(
                RecordCodec.encodeDelegation(peer, startsAtMillis),
                GroupCommitter.Urgency.URGENT,
                outcome -> onOutcome.accept(outcome == PageWriteOutcome.STORED));
    }

    /** Stores the machine types for the other controllers. */
    public void storeMachineTypes(List<MachineType> types) {
        writer.overwrite(RecordCodec.encodeMachineTypes(types), ASSUMED_MACHINE_TYPES_BYTES);
    }
}
