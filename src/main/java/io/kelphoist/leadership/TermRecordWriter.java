package io.kelphoist.leadership;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.records.PageWriteOutcome;
import io.kelphoist.statestore.GroupCommitter;
import io.kelphoist.statestore.StateStoreReader;
import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.statestore.protocol.VersionCondition;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Writes records of one term. Every write is conditional on the term key, so that none succeeds
 * once a newer term is stored. Writes of records that only leaders write are also conditional on
 * the version that the record had when it was last read or written: a transaction may be applied
 * late, and must not replace a newer value. Owns these expected versions. Runs on the event loop;
 * no callback runs after {@link #close}.
 */
public final class TermRecordWriter {
    private static final double WRITE_TIMEOUT_SECONDS = 20;
    private static final double READ_RETRY_SECONDS = 0.2;

    private final StateStoreReader stateReader;
    private final GroupCommitter committer;
    private final EventLoop eventLoop;
    private final VersionCondition termCondition;
    private final Runnable onNewerTerm;
    private final Runnable requestTick;
    private final Map<String, Long> expectedVersions = new HashMap<>();
    private boolean closed;

    /**
     * @param termVersion version that the term key has until a newer term is stored
     * @param onNewerTerm runs when the term key turns out to have another version
     * @param requestTick schedules a tick soon, after an outcome that may allow new decisions
     */
    public TermRecordWriter(
            StateStoreReader stateReader,
            GroupCommitter committer,
            EventLoop eventLoop,
            long termVersion,
            Runnable onNewerTerm,
            Runnable requestTick) {
        this.stateReader = stateReader;
        this.committer = committer;
        this.eventLoop = eventLoop;
        this.termCondition = new VersionCondition(StateStoreKeys.TERM, termVersion);
        this.onNewerTerm = onNewerTerm;
        this.requestTick = requestTick;
    }

    void close() {
        closed = true;
    }

    boolean isClosed() {
        return closed;
    }

    /** Requests a tick, after a change that may allow new decisions. */
    void requestTick() {
        requestTick.run();
    }

    /** Sets the expected version of a record that only leaders write, for its next write. */
    void setExpectedVersion(String key, long version) {
        expectedVersions.put(key, version);
    }

    /**
     * Writes a record that only leaders write. After an unknown outcome or a conflict, reads the
     * record's version, with retries, before it calls the handler, so that the caller may write the
     * record again at once.
     *
     * @param urgency urgent if a user or another operation waits for the outcome
     * @param handler receives {@link PageWriteOutcome#UNKNOWN} also if the write was not executed
     */
    void writeLeaderRecord(
            RecordMutation mutation,
            GroupCommitter.Urgency urgency,
            Consumer<PageWriteOutcome> handler) {
        String key = mutation.key();
        long expectedVersion = expectedVersions.getOrDefault(key, VersionCondition.ABSENT);
        write(
                mutation,
                List.of(new VersionCondition(key, expectedVersion), termCondition),
                urgency,
                (outcome, revision) -> {
                    switch (outcome) {
                        case STORED -> {
                            expectedVersions.put(key, revision);
                            handler.accept(PageWriteOutcome.STORED);
                        }
                        case NOT_EXECUTED -> handler.accept(PageWriteOutcome.UNKNOWN);
                        case TOO_LARGE -> handler.accept(PageWriteOutcome.TOO_LARGE);
                        default ->
                                refreshVersion(key, () -> handler.accept(PageWriteOutcome.UNKNOWN));
                    }
                });
    }

    /**
     * Writes a record that other controllers may write too, if it still has this version. An
     * outcome that is unknown or a conflict is reported without reading the record.
     */
    void writeIfUnchanged(
            RecordMutation mutation,
            long version,
            GroupCommitter.Urgency urgency,
            GroupCommitter.OutcomeListener handler) {
        write(
                mutation,
                List.of(new VersionCondition(mutation.key(), version), termCondition),
                urgency,
                handler);
    }

    /**
     * Writes a record whatever its version, if the term key is unchanged. The outcome is not
     * reported.
     *
     * @param sizeBytes estimated size of the write in a transaction
     */
    void overwrite(RecordMutation mutation, int sizeBytes) {
        submit(
                mutation,
                List.of(termCondition),
                sizeBytes,
                GroupCommitter.Urgency.NORMAL,
                (outcome, revision) -> {});
    }

    private void write(
            RecordMutation mutation,
            List<VersionCondition> conditions,
            GroupCommitter.Urgency urgency,
            GroupCommitter.OutcomeListener handler) {
        int sizeBytes = mutation.valueBytes() + GroupCommitter.KEY_OVERHEAD_BYTES;
        submit(mutation, conditions, sizeBytes, urgency, handler);
    }

    private void submit(
            RecordMutation mutation,
            List<VersionCondition> conditions,
            int sizeBytes,
            GroupCommitter.Urgency urgency,
            GroupCommitter.OutcomeListener handler) {
        committer.submit(
                new GroupCommitter.Write(
                        conditions,
                        List.of(mutation),
                        sizeBytes,
                        eventLoop.nowSeconds() + WRITE_TIMEOUT_SECONDS,
                        urgency,
                        GroupCommitter.WhenUnavailable.RETRY,
                        (outcome, revision) -> {
                            if (!closed) {
                                handler.onOutcome(outcome, revision);
                                requestTick.run();
                            }
                        }));
    }

    /**
     * Reads the term key after a failed write, to determine whether a newer term is the cause and
     * not the record.
     */
    void checkTerm() {
        stateReader.get(
                StateStoreKeys.TERM,
                result -> {
                    if (!closed
                            && result instanceof StateStoreResult.Success<StoredRecord> found
                            && found.value().version() != termCondition.version()) {
                        onNewerTerm.run();
                    }
                });
    }

    private void refreshVersion(String key, Runnable onRefreshed) {
        checkTerm();
        stateReader.get(
                key,
                result -> {
                    if (closed) {
                        return;
                    }
                    if (result instanceof StateStoreResult.Success<StoredRecord> found) {
                        expectedVersions.put(key, found.value().version());
                    } else if (result.isRejectedFor(StateStoreResult.Reason.NOT_FOUND)) {
                        expectedVersions.put(key, VersionCondition.ABSENT);
                    } else {
                        eventLoop.schedule(
                                READ_RETRY_SECONDS, () -> refreshVersion(key, onRefreshed));
                        return;
                    }
                    onRefreshed.run();
                    requestTick.run();
                });
    }
}
