package io.kelphoist.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.kelphoist.failover.Failover;
import io.kelphoist.model.DelegatedRenewals;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.replication.RecordReplica;
import io.kelphoist.scheduler.SchedulerState;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import io.kelphoist.statestore.GroupCommitter;
import io.kelphoist.statestore.StateStoreSimulation;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.lang.reflect.Proxy;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The state store may apply a page write seconds after the leader has given up waiting for its
 * response. Without a condition on the page's version it would replace a newer write of the same
 * term, and without a condition on the term it would change records after the term has ended.
 */
class TermRecordStoreTest {
    private StateStoreSimulation state;
    private TermRecordStore store;

    /**
     * @param salt seeds the random delays of the state store
     */
    private void startFirstTerm(int salt) {
        state = new StateStoreSimulation(salt, 0);
        store = electLeader(1);
    }

    /**
     * Stores the term, and returns the record store of its leader, which has loaded the records.
     */
    private TermRecordStore electLeader(long term) {
        long version =
                state.put(StateStoreKeys.TERM, MessageEncoding.newObject().put("term", term));
        TermRecordStore recordStore = newRecordStore(version);
        recordStore.loadRecords(
                newSchedulerState(term), new RecordReplica(), (peer, startsAtMillis) -> {});
        return recordStore;
    }

    private TermRecordStore newRecordStore(long termVersion) {
        TermRecordWriter writer =
                new TermRecordWriter(
                        state,
                        new GroupCommitter(state, state, 1e6, 48),
                        state,
                        termVersion,
                        () -> {},
                        () -> {});
        return new TermRecordStore(state, writer, state, () -> 0, 2000);
    }

    private static SchedulerState newSchedulerState(long term) {
        Failover failover =
                new Failover(
                        term,
                        /* timeoutSeconds= */ 2.5,
                        /* listLagSeconds= */ 1,
                        /* maxInFlight= */ 2,
                        (machine, agentEpoch) -> {},
                        /* nowSeconds= */ 0);
        return new SchedulerState(
                newSchedulingPolicy(),
                newIgnoringOutput(),
                DelegatedRenewals.NONE,
                failover,
                term,
                List.of());
    }

    private static SchedulingPolicy newSchedulingPolicy() {
        return new SchedulingPolicy(
                /* zones= */ List.of("a"),
                /* teams= */ List.of(),
                /* heartbeatIntervalSeconds= */ 2,
                /* leaseSeconds= */ 10,
                /* gangPeerTimeoutSeconds= */ 3,
                /* machineHoldBackoffSeconds= */ 5,
                /* localityWaitSeconds= */ 1,
                /* machineHoldSeconds= */ 20,
                /* gangReservationSeconds= */ 15,
                /* headroom= */ 0,
                /* idleBeforeScaleInSeconds= */ 1e6,
                /* maxRecordBytes= */ 600,
                /* startWriteIntervalSeconds= */ 0.01,
                /* progressWriteIntervalSeconds= */ 0.01,
                /* startObjectiveSeconds= */ Map.of());
    }

    /** Returns an output whose methods do nothing. */
    private static SchedulerOutput newIgnoringOutput() {
        return (SchedulerOutput)
                Proxy.newProxyInstance(
                        SchedulerOutput.class.getClassLoader(),
                        new Class<?>[] {SchedulerOutput.class},
                        (proxy, method, arguments) -> null);
    }

    private static List<TaskProgress> firstTasksDone(int tasks) {
        BitSet doneBits = new BitSet();
        doneBits.set(0, tasks);
        return List.of(new TaskProgress("job-1", 0, doneBits));
    }

    private int storedTaskCount() throws MalformedMessageException {
        return RecordCodec.decodeProgress(
                        new StoredRecord(
                                "",
                                state.get(StateStoreKeys.pageKey(StateStoreKeys.PROGRESS_PREFIX, 0))
                                        .value(),
                                0))
                .get(0)
                .doneTasks()
                .cardinality();
    }

    /**
     * Stores page 0, with the first tasks done, by a write that gets no response and that the state
     * store applies seconds later. Returns after the write has timed out.
     */
    private void storeProgressWithLateWrite(int tasks) {
        state.faults().setLateTransactionsPerTen(10);
        store.storeProgress(0, firstTasksDone(tasks));
        state.faults().setLateTransactionsPerTen(0);
        state.advance(1.6);
    }

    /**
     * A page write without a response is applied up to 12 seconds later, possibly after newer
     * writes of the page. The page must keep the newest write.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void lateWriteDoesNotReplaceNewerPage(int salt) throws MalformedMessageException {
        startFirstTerm(salt);
        storeProgressWithLateWrite(1);
        // A page has at most one write in flight, so the next write waits for this one's outcome.
        state.advance(1);
        store.storeProgress(0, firstTasksDone(5));
        state.advance(1.5);
        store.storeProgress(0, firstTasksDone(7));
        state.advance(20);
        assertEquals(7, storedTaskCount());
    }

    /**
     * A page write without a response is processed only after the next term is stored. It must not
     * be applied.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void lateWriteOfEndedTermIsRejected(int salt) {
        startFirstTerm(salt);
        storeProgressWithLateWrite(3);
        electLeader(2);
        state.advance(20);
        assertNull(state.get(StateStoreKeys.pageKey(StateStoreKeys.PROGRESS_PREFIX, 0)));
        assertEquals(0, state.lateTransactions());
    }

    /**
     * A page write is applied, but its response is lost. The leader must read the page's version
     * again; otherwise its next write would have an outdated version as its condition and fail.
     */
    @Test
    void lostResponseDoesNotBlockPageWrites() throws MalformedMessageException {
        startFirstTerm(1);
        state.faults().setLostResponsesPerTen(10);
        store.storeProgress(0, firstTasksDone(2));
        state.faults().setLostResponsesPerTen(0);
        state.advance(5);
        assertEquals(2, storedTaskCount());
        store.storeProgress(0, firstTasksDone(4));
        state.advance(5);
        assertEquals(4, storedTaskCount());
    }
}
