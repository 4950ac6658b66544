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
 * The records of one term, between the scheduler and the state store: loads them when the term
 * begins, stores what the scheduler decides, and reports the outcomes. {@link TermRecordWriter}
 * makes the writes. Runs on the event loop; nothing is reported after {@link #close}.
 */
public final class TermRecordStore {
    private static final Logger LOG = LoggerFactory.getLogger(TermRecordStore.class);
    private static final double READ_RETRY_SECONDS = 0.2;
    private static final double MILLIS_PER_SECOND = 1000.0;

    /** More than the machine types take. */
    private static final int MACHINE_TYPES_BYTES = 1000;

    private final StateStoreReader stateReader;
    private final TermRecordWriter writer;
    private final EventLoop eventLoop;
    private final LongSupplier wallClockMillis;
    private final int maxValueBytes;

    /** Set when the records are loaded, which is before anything is stored. */
    private SchedulerState schedulerState;

    /**
     * @param wallClockMillis the wall clock, which records are stamped with
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

    /** The term has ended. */
    public void close() {
        writer.close();
    }

    // ---- loading ----

    /**
     * Loads all records into the scheduler of a new term, and the versions of those that only
     * leaders write.
     *
     * @param delegationLoaded receives each controller with a record of a delegation, and the wall
     *     clock in milliseconds at which the delegation starts at the latest
     */
    public void loadRecords(
            SchedulerState target,
            RecordReplica replica,
            ObjDoubleConsumer<String> delegationLoaded) {
        schedulerState = target;
        replica.allJobs().forEach(this::applyJobRecord);
        replica.progressPages().forEach(this::loadProgressPage);
        replica.startPages().forEach(this::loadStartPage);
        replica.delegations()
                .forEach(
                        (peer, delegation) -> {
                            writer.setKnownVersion(
                                    StateStoreKeys.DELEGATIONS_PREFIX + peer, delegation.version());
                            delegationLoaded.accept(peer, delegation.value());
                        });
        loadImageHints();
        target.onLoaded(eventLoop.nowSeconds());
    }

    private void loadProgressPage(int page, RecordReplica.Versioned<List<TaskProgress>> stored) {
        writer.setKnownVersion(
                StateStoreKeys.pageKey(StateStoreKeys.PROGRESS_PREFIX, page), stored.version());
        for (TaskProgress progress : stored.value()) {
            schedulerState.onProgressLoaded(page, progress);
        }
    }

    private void loadStartPage(int page, RecordReplica.Versioned<List<RecordedStart>> stored) {
        writer.setKnownVersion(
                StateStoreKeys.pageKey(StateStoreKeys.STARTS_PREFIX, page), stored.version());
        for (RecordedStart start : stored.value()) {
            schedulerState.onStartLoaded(page, start, eventLoop.nowSeconds());
        }
    }

    /** Reads which images machines cache. Nothing waits for that: it only improves placement. */
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
        writer.setKnownVersion(record.key(), record.version());
        try {
            int page = StateStoreKeys.pageNumber(StateStoreKeys.IMAGES_PREFIX, record.key());
            RecordCodec.decodeImages(record)
                    .forEach(images -> schedulerState.onImagesLoaded(page, images));
        } catch (MalformedMessageException e) {
            LOG.error("malformed record: key={} error={}", record.key(), e.getMessage());
        }
    }

    /** A job's record was read, or has changed. */
    public void applyJobRecord(JobRecord record) {
        if (!writer.isClosed()) {
            long ageMillis = wallClockMillis.getAsLong() - record.timestampMillis();
            schedulerState.onJobRecord(
                    record, Math.max(0, ageMillis / MILLIS_PER_SECOND), eventLoop.nowSeconds());
        }
    }

    /** Records have changed in a way that the scheduler may decide upon. */
    void notifyChanged() {
        if (!writer.isClosed()) {
            writer.notifyChanged();
        }
    }

    /** Reads a job's record, and reports it or that there is none. */
    public void readJob(String jobId) {
        stateReader.get(
                StateStoreKeys.jobKey(jobId),
                result -> {
                    if (!writer.isClosed()
                            && !applyStoredJob(jobId, result)
                            && result.isProcessed()) {
                        schedulerState.onJobNotFound(jobId, eventLoop.nowSeconds());
                    }
                    writer.notifyChanged();
                });
    }

    /** Applies what is stored of a job; false if nothing is. */
    private boolean applyStoredJob(String jobId, StateStoreResult<StoredRecord> result) {
        if (!(result instanceof StateStoreResult.Success<StoredRecord> found)) {
            return false;
        }
        try {
            applyJobRecord(RecordCodec.decodeJob(found.value()));
        } catch (MalformedMessageException e) {
            LOG.error("malformed record of a job: job={} error={}", jobId, e.getMessage());
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
     * Stores a page of starts. It is urgent since dozens of tasks wait for it; whoever makes the
     * pages bounds their share of the write limit.
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
                        page, machines.stream().map(schedulerState::imagesOn).toList()),
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
     * Stores that a job is cancelled, unless its record has changed since. It is urgent since users
     * wait for it.
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
                        readAfterConflict(endedJob.id());
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
        schedulerState.onJobRecord(stored, 0, eventLoop.nowSeconds());
    }

    /** The job may have been cancelled, or its end may be stored already. */
    private void readAfterConflict(String jobId) {
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
     * Stores from when a controller's delegation counts. Such records are never deleted but
     * replaced, so that a write that is applied late finds another version.
     *
     * @param onStored receives whether the record is stored
     */
    void storeDelegation(String peer, double startsAtMillis, Consumer<Boolean> onStored) {
        writer.writeLeaderRecord(
                RecordCodec.encodeDelegation(peer, startsAtMillis),
                GroupCommitter.Urgency.URGENT,
                outcome -> onStored.accept(outcome == PageWriteOutcome.STORED));
    }

    /** Stores the machine types for the other controllers. */
    public void storeMachineTypes(List<MachineType> types) {
        writer.overwrite(RecordCodec.encodeMachineTypes(types), MACHINE_TYPES_BYTES);
    }
}
