package io.kelphoist.statestore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StateStoreResult.NotExecutedCause;
import io.kelphoist.statestore.protocol.VersionCondition;
import io.kelphoist.wire.MessageEncoding;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Tests which writes share a transaction, and which ones wait or end without being sent while a
 * transaction is in flight, the queue is full or the store limits the rate.
 */
class GroupCommitterTest {
    private final StateStoreSimulation loop =
            new StateStoreSimulation(/* seed= */ 1, /* startSeconds= */ 0);

    /** The mutations of each transaction that was sent. */
    private final List<List<RecordMutation>> sent = new ArrayList<>();

    /** The callback of each transaction that was sent. */
    private final List<Consumer<StateStoreResult<Long>>> callbacks = new ArrayList<>();

    /** Key and outcome of each write that has ended. */
    private final List<String> outcomes = new ArrayList<>();

    private boolean failsToSend;

    private final GroupCommitter committer =
            new GroupCommitter(
                    (conditions, mutations, callback) -> {
                        if (failsToSend) {
                            throw new StackOverflowError();
                        }
                        sent.add(mutations);
                        callbacks.add(callback);
                    },
                    loop,
                    /* mutationsPerSecond= */ 100,
                    /* maxMutations= */ 8);

    private void write(String key) {
        committer.submit(
                newWrite(
                        key,
                        /* expiresAtSeconds= */ 100,
                        (outcome, revision) -> outcomes.add(key + " " + outcome)));
    }

    private static GroupCommitter.Write newWrite(
            String key, double expiresAtSeconds, GroupCommitter.OutcomeListener listener) {
        return new GroupCommitter.Write(
                List.of(new VersionCondition(key, /* version= */ 0)),
                List.of(new RecordMutation(key, MessageEncoding.newObject(), /* leaseId= */ 0)),
                /* sizeBytes= */ 10,
                expiresAtSeconds,
                GroupCommitter.Urgency.URGENT,
                GroupCommitter.WhenUnavailable.FAIL,
                listener);
    }

    private void respond(int transactionIndex, StateStoreResult<Long> result) {
        callbacks.get(transactionIndex).accept(result);
    }

    private static StateStoreResult<Long> stored(long revision) {
        return new StateStoreResult.Success<>(revision);
    }

    /** While a transaction is in flight, further writes wait, and share the next transaction. */
    @Test
    void waitingWritesShareATransaction() {
        write("a");
        write("b");
        write("c");
        assertEquals(1, sent.size());
        loop.advance(0.05);
        respond(0, stored(5));
        assertEquals(2, sent.size());
        assertEquals(2, sent.get(1).size());
        respond(1, stored(6));
        assertEquals(List.of("a STORED", "b STORED", "c STORED"), outcomes);
    }

    /**
     * Guards against a transaction without response that blocks all later writes: after 0.25 s it
     * no longer delays the next one, up to the maximum number of transactions in flight.
     */
    @Test
    void transactionWithoutResponseDoesNotBlockOthers() {
        write("a");
        write("b");
        loop.advance(0.2);
        assertEquals(1, sent.size());
        loop.advance(0.1);
        assertEquals(2, sent.size());
        respond(1, stored(5));
        assertEquals(List.of("b STORED"), outcomes);
        // The newest transaction has a response, so "c" is sent at once, although the first
        // transaction is still in flight.
        write("c");
        write("d");
        assertEquals(3, sent.size());
        loop.advance(0.3);
        assertEquals(4, sent.size());
        write("e");
        loop.advance(2);
        assertEquals(4, sent.size());
        respond(0, new StateStoreResult.OutcomeUnknown<>());
        assertEquals(5, sent.size());
        assertEquals(List.of("b STORED", "a UNKNOWN"), outcomes);
    }

    /**
     * The queue is bounded: a write to the full queue ends at once as not executed, and the queued
     * writes are not affected.
     */
    @Test
    void writeToAFullQueueEndsAtOnceAsNotExecuted() {
        write("first");
        for (int i = 0; i < GroupCommitter.MAX_QUEUED_WRITES; i++) {
            write("k" + i);
        }
        assertEquals(List.of(), outcomes);
        write("one too many");
        assertEquals(List.of("one too many NOT_EXECUTED"), outcomes);
        respond(0, stored(5));
        assertEquals(List.of("one too many NOT_EXECUTED", "first STORED"), outcomes);
        write("again");
        assertEquals(2, outcomes.size());
    }

    /**
     * After a transaction exceeded the store's rate limit, no other is sent for 0.15 s, regardless
     * of the transactions in flight.
     */
    @Test
    void pausesAfterARateLimitedTransaction() {
        write("a");
        loop.advance(0.3);
        write("b");
        assertEquals(2, sent.size());
        respond(1, new StateStoreResult.NotExecuted<>(NotExecutedCause.RATE_LIMITED));
        write("c");
        assertEquals(2, sent.size());
        loop.advance(0.2);
        assertEquals(3, sent.size());
        assertTrue(
                sent.get(2).size() == 2,
                "expected the rate-limited write and the later one in one transaction, was "
                        + sent.get(2));
    }

    /** Guards against writes that never end because the listener of another write throws. */
    @Test
    void listenerThatThrowsLeavesNoOtherWriteWaiting() {
        writeWithFailingListener("first", /* expiresAtSeconds= */ 100);
        writeWithFailingListener("a", /* expiresAtSeconds= */ 100);
        write("b");
        loop.advance(0.2);
        assertThrows(StackOverflowError.class, () -> respond(0, stored(5)));
        assertEquals(2, sent.size(), "queued writes are not sent");
        write("c");
        loop.advance(0.2);
        assertThrows(StackOverflowError.class, () -> respond(1, stored(6)));
        assertEquals(List.of("b STORED"), outcomes);
        respond(2, stored(7));
        assertEquals(List.of("b STORED", "c STORED"), outcomes);
    }

    /** Guards against a submission that fails because the listener of an expired write throws. */
    @Test
    void listenerOfAnExpiredWriteThatThrowsDoesNotFailAnotherSubmission() {
        for (int i = 0; i < GroupCommitter.MAX_IN_FLIGHT; i++) {
            write("in flight " + i);
            loop.advance(0.3);
        }
        writeWithFailingListener("expired", /* expiresAtSeconds= */ 1);
        loop.advance(1);
        respond(0, new StateStoreResult.OutcomeUnknown<>());
        write("next");
        assertThrows(StackOverflowError.class, () -> loop.advance(0.01));
        respond(GroupCommitter.MAX_IN_FLIGHT, stored(5));
        assertEquals(List.of("in flight 0 UNKNOWN", "next STORED"), outcomes);
    }

    /**
     * Guards against transactions that could not be sent and count as in flight for ever, so that
     * after {@link GroupCommitter#MAX_IN_FLIGHT} of them none is sent any more.
     */
    @Test
    void transactionsThatCannotBeSentLeaveNoOtherWriteWaiting() {
        failsToSend = true;
        for (int i = 0; i < 2 * GroupCommitter.MAX_IN_FLIGHT; i++) {
            write("failing " + i);
            loop.advance(1);
            assertEquals(List.of("failing " + i + " UNKNOWN"), outcomes);
            outcomes.clear();
        }
        failsToSend = false;
        write("next");
        assertEquals(1, sent.size());
        respond(0, stored(5));
        assertEquals(List.of("next STORED"), outcomes);
    }

    private void writeWithFailingListener(String key, double expiresAtSeconds) {
        committer.submit(
                newWrite(
                        key,
                        expiresAtSeconds,
                        (outcome, revision) -> {
                            throw new StackOverflowError();
                        }));
    }
}
