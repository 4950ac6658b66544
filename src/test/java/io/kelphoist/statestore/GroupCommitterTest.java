package io.kelphoist.statestore;

import static org.junit.jupiter.api.Assertions.assertEquals;
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

/** Which writes share a transaction, and which wait for one that is open. */
class GroupCommitterTest {
    private final StateStoreSimulation loop = new StateStoreSimulation(1, 0);
    private final List<List<RecordMutation>> sent = new ArrayList<>();
    private final List<Consumer<StateStoreResult<Long>>> inFlight = new ArrayList<>();
    private final List<String> outcomes = new ArrayList<>();
    private final GroupCommitter committer =
            new GroupCommitter(
                    (conditions, changes, handler) -> {
                        sent.add(changes);
                        inFlight.add(handler);
                    },
                    loop,
                    100,
                    8);

    private void write(String key) {
        committer.submit(
                new GroupCommitter.Write(
                        List.of(new VersionCondition(key, 0)),
                        List.of(new RecordMutation(key, MessageEncoding.newObject(), 0)),
                        10,
                        100,
                        GroupCommitter.Urgency.URGENT,
                        GroupCommitter.WhenUnavailable.FAIL,
                        (outcome, revision) -> outcomes.add(key + " " + outcome)));
    }

    private void respond(int number, StateStoreResult<Long> result) {
        inFlight.get(number).accept(result);
    }

    private static StateStoreResult<Long> stored(long revision) {
        return new StateStoreResult.Success<>(revision);
    }

    /** Usually one transaction is open at a time: writes that wait meanwhile share the next. */
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
     * A transaction without response for longer than usual does not block others any more; a few
     * may be open at a time.
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
        // The first is still open: the next ones are sent at once.
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
     * The queue is bounded: one more write is refused at once as not executed, and the others go
     * on.
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

    /** After a refusal nothing is sent for a moment, whatever else is open. */
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
                sent.get(2).size() == 2, "the refused write is sent with the one that came since");
    }
}
