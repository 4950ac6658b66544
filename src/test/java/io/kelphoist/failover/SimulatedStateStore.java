package io.kelphoist.failover;

import io.kelphoist.failover.SimulationCounters.Counter;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.replication.RecordReplica;
import io.kelphoist.statestore.GroupCommitter;
import io.kelphoist.statestore.StateStoreSimulation;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Typed access to the simulated state store. Each stored job record is checked. */
final class SimulatedStateStore {
    /** Each controller's share of the changes per second that the state store accepts. */
    private static final double WRITE_SHARE = 0.55;

    private final SimulationContext context;
    private final SimulatedJobs jobs;
    private final SimulationChecker checker;
    private final StateStoreSimulation store;
    private final TransactionsInFlight transactionsInFlight = new TransactionsInFlight();
    private boolean doneJobsEvicted;

    SimulatedStateStore(
            SimulationContext context,
            SimulatedJobs jobs,
            SimulationChecker checker,
            StateStoreSimulation store) {
        this.context = context;
        this.jobs = jobs;
        this.checker = checker;
        this.store = store;
    }

    StateStoreSimulation store() {
        return store;
    }

    /**
     * From now on, leaders load no done jobs, as if more jobs had ended since than a replica keeps.
     */
    void evictDoneJobs() {
        doneJobsEvicted = true;
    }

    /** The transactions of all controllers that have not arrived at the store. */
    TransactionsInFlight transactionsInFlight() {
        return transactionsInFlight;
    }

    GroupCommitter createCommitter(StateStoreSimulation.View view) {
        SimulationSize size = context.size();
        return new GroupCommitter(
                transactionsInFlight.writerTo(view),
                store,
                size.writesPerSecond() * WRITE_SHARE,
                size.operationsPerTransaction());
    }

    /** Stores a new term and returns its revision. */
    long putTerm(long term) {
        return store.put(StateStoreKeys.TERM, MessageEncoding.newObject().put("term", term));
    }

    void putJob(JobSpec job) {
        store.put(
                StateStoreKeys.jobKey(job.id()),
                RecordCodec.encodeActiveJob(job, /* acceptedAtMillis= */ 0).value());
    }

    /** Called with each stored item before any other reader can read it. */
    void onStored(StateStoreSimulation.Item item) {
        if (!item.key().startsWith(StateStoreKeys.JOBS_PREFIX)) {
            return;
        }
        JobRecord record = decodeJob(item);
        checker.checkStoredRecord(jobs.replace(record), record);
        if (record.status() == JobStatus.DONE) {
            context.counters().increment(Counter.JOBS_DONE);
        }
    }

    List<JobRecord> jobsChangedSince(long revision) {
        return store.changes(StateStoreKeys.JOBS_PREFIX, revision).stream()
                .map(SimulatedStateStore::decodeJob)
                .toList();
    }

    /** Returns all records, as a leader loads them at the start of its term. */
    RecordReplica loadRecords() {
        RecordReplica records = new RecordReplica();
        store.withPrefix(StateStoreKeys.JOBS_PREFIX).stream()
                .map(SimulatedStateStore::decodeJob)
                .filter(job -> !doneJobsEvicted || job.status() != JobStatus.DONE)
                .forEach(job -> records.applyJob(job, context.nowSeconds()));
        try {
            for (StateStoreSimulation.Item item :
                    store.withPrefix(StateStoreKeys.PROGRESS_PREFIX)) {
                records.applyProgressPage(
                        StateStoreKeys.pageNumber(StateStoreKeys.PROGRESS_PREFIX, item.key()),
                        RecordCodec.decodeProgress(
                                new StoredRecord(/* key= */ "", item.value(), /* version= */ 0)),
                        item.revision());
            }
            for (StateStoreSimulation.Item item : store.withPrefix(StateStoreKeys.STARTS_PREFIX)) {
                records.applyStartPage(
                        StateStoreKeys.pageNumber(StateStoreKeys.STARTS_PREFIX, item.key()),
                        RecordCodec.decodeStarts(
                                new StoredRecord(/* key= */ "", item.value(), /* version= */ 0)),
                        item.revision());
            }
        } catch (MalformedMessageException e) {
            throw new AssertionError("stored page of progress or starts is malformed", e);
        }
        return records;
    }

    /** Number of unfinished jobs whose tasks are all stored as done. */
    int countJobsWithAllTasksStoredAsDone() {
        RecordReplica records = loadRecords();
        Map<String, BitSet> doneTasks = new HashMap<>();
        for (RecordReplica.Versioned<List<TaskProgress>> page : records.progressPages().values()) {
            for (TaskProgress progress : page.value()) {
                BitSet done = doneTasks.computeIfAbsent(progress.jobId(), id -> new BitSet());
                progress.doneTasks().stream().forEach(i -> done.set(progress.firstTask() + i));
            }
        }
        return (int)
                records.unfinishedJobs().stream()
                        .filter(
                                job ->
                                        doneTasks.getOrDefault(job.id(), new BitSet()).cardinality()
                                                == job.spec().tasks())
                        .count();
    }

    private static JobRecord decodeJob(StateStoreSimulation.Item item) {
        try {
            return RecordCodec.decodeJob(
                    new StoredRecord(item.key(), item.value(), item.revision()));
        } catch (MalformedMessageException e) {
            throw new AssertionError("stored job record is malformed: key=" + item.key(), e);
        }
    }
}
