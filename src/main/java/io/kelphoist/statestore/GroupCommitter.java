package io.kelphoist.statestore;

import io.kelphoist.eventloop.Callbacks;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StateStoreResult.NotExecutedCause;
import io.kelphoist.statestore.protocol.StateStoreResult.Reason;
import io.kelphoist.statestore.protocol.VersionCondition;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Group commit: writes that are queued at the same time share transactions, within the limits of
 * the state store.
 *
 * <p>Normally one transaction is in flight at a time: the next one is sent when the newest one has
 * ended, or its response is slow ({@link TransactionWindow}), up to {@link #MAX_IN_FLIGHT}.
 * Transactions may be executed in any order, also seconds later: a write is conditional on the
 * versions of the keys that it changes, unless its order does not matter. Urgent writes, for whose
 * outcome users or other operations wait, are sent before the others.
 *
 * <p>Owns the queues of writes and the rate limiter of mutations. Methods and callbacks run on the
 * event loop.
 */
public final class GroupCommitter {
    /** How a write ended. */
    public enum Outcome {
        /** The write is stored. */
        STORED,
        /**
         * One of the write's own conditions does not hold, or the store rejected the transaction
         * without saying which condition does not: it named no key, or gave a reason other than
         * {@link Reason#CONDITION_FAILED} and {@link Reason#INVALID}.
         */
        CONFLICT,
        /** The write was not executed and will not be executed later. */
        NOT_EXECUTED,
        /**
         * The store rejected the write as invalid, which is taken to mean that it exceeds a size
         * limit; repeating it unchanged would fail again.
         */
        TOO_LARGE,
        /**
         * The write may or may not be executed, now or later; the caller must read the record to
         * find out.
         */
        UNKNOWN
    }

    /** The order in which queued writes are sent. */
    public enum Urgency {
        /** A user or another operation waits for the outcome: sent before normal writes. */
        URGENT,
        /** Sent after urgent writes. */
        NORMAL
    }

    /**
     * What happens to a write that was not executed because the store is unavailable. A write that
     * was not executed because of a rate limit is always sent again until it expires.
     */
    public enum WhenUnavailable {
        /** The write is sent again until it expires. */
        RETRY,
        /** The write ends at once with {@link Outcome#NOT_EXECUTED}. */
        FAIL
    }

    /**
     * Mutations that are applied together if all conditions hold.
     *
     * @param sizeBytes estimated size of the write in a transaction
     * @param expiresAtSeconds time on the event loop's clock after which the write is no longer
     *     sent and ends with {@link Outcome#NOT_EXECUTED}. It is checked only while the write is
     *     the first one in its queue: a write behind the first one may be sent in the same
     *     transaction although it has expired
     */
    public record Write(
            List<VersionCondition> conditions,
            List<RecordMutation> mutations,
            int sizeBytes,
            double expiresAtSeconds,
            Urgency urgency,
            WhenUnavailable whenUnavailable,
            OutcomeListener listener) {}

    /** Receives the outcome of a write. */
    public interface OutcomeListener {
        /**
         * Called once for each write, possibly before {@link #submit} returns.
         *
         * @param revision revision of the transaction if the write is stored, otherwise 0
         */
        void onOutcome(Outcome outcome, long revision);
    }

    /** Upper bound of what a write's key and conditions add to the size of its value. */
    public static final int KEY_OVERHEAD_BYTES = 200;

    /**
     * Maximum number of transactions in flight. Each occupies a connection, and requests for leases
     * and leader keys need connections too.
     */
    public static final int MAX_IN_FLIGHT = 3;

    /** A submitted write is not queued if both queues together hold this many already. */
    static final int MAX_QUEUED_WRITES = 2000;

    private static final Logger LOG = LoggerFactory.getLogger(GroupCommitter.class);

    /**
     * Added to {@link TransactionWindow#SLOW_TRANSACTION_SECONDS} for the timer that tries to send
     * the next transaction, so that a transaction without response counts as slow when it runs.
     */
    private static final double SLOW_CHECK_MARGIN_SECONDS = 0.001;

    /** Burst size: as many mutations as the rate limit allows in this time may be sent at once. */
    private static final double MUTATION_BURST_SECONDS = 0.9;

    private static final double MIN_PAUSE_SECONDS = 0.01;

    /** Sending pauses for this long after the store did not execute a transaction. */
    private static final double NOT_EXECUTED_PAUSE_SECONDS = 0.15;

    private final StateStoreWriter stateWriter;
    private final EventLoop loop;
    private final TokenBucket mutationLimiter;
    private final int maxMutations;
    private final WriteQueues queues = new WriteQueues();
    private final TransactionWindow window = new TransactionWindow(MAX_IN_FLIGHT);

    /**
     * Maximum number of writes per transaction: unlimited at first; half the number of writes of a
     * transaction of several writes after the store rejected it as invalid; unlimited again after
     * the store rejected a single write as invalid.
     */
    private int maxWritesPerTransaction = Integer.MAX_VALUE;

    private boolean paused;

    /**
     * Creates a committer.
     *
     * @param mutationsPerSecond this controller's share of the mutations per second that the store
     *     allows
     * @param maxMutations mutations per transaction that the store allows
     */
    public GroupCommitter(
            StateStoreWriter stateWriter,
            EventLoop loop,
            double mutationsPerSecond,
            int maxMutations) {
        this.stateWriter = stateWriter;
        this.loop = loop;
        this.mutationLimiter = new TokenBucket(mutationsPerSecond, MUTATION_BURST_SECONDS);
        this.maxMutations = maxMutations;
    }

    /** Returns the number of writes that wait to be sent. */
    public int queuedWrites() {
        return queues.size();
    }

    /**
     * Queues a write. If {@link #MAX_QUEUED_WRITES} writes are queued already, the new one ends at
     * once with {@link Outcome#NOT_EXECUTED}.
     */
    public void submit(Write write) {
        if (queuedWrites() >= MAX_QUEUED_WRITES) {
            write.listener().onOutcome(Outcome.NOT_EXECUTED, 0);
            return;
        }
        queues.add(write);
        sendNext();
    }

    private void sendNext() {
        if (mustWait() || queues.isEmpty()) {
            return;
        }
        double nowSeconds = loop.nowSeconds();
        endExpired(nowSeconds);
        if (queues.isEmpty()) {
            return;
        }
        List<Write> writes = withinMutationLimit(nextBatch(), nowSeconds);
        if (!writes.isEmpty()) {
            queues.removeFirst(writes);
            send(writes);
        }
    }

    /**
     * Ends expired writes. Their listeners run as a separate event, since what they throw must not
     * reach the caller that submits another write.
     */
    private void endExpired(double nowSeconds) {
        List<Write> expired = queues.pollExpired(nowSeconds);
        if (!expired.isEmpty()) {
            loop.schedule(
                    /* delaySeconds= */ 0, () -> notifyListeners(expired, Outcome.NOT_EXECUTED, 0));
        }
    }

    /**
     * Returns whether no transaction may be sent now. A timer or a response triggers the next
     * attempt.
     */
    private boolean mustWait() {
        return paused || window.mustWait(loop.nowSeconds());
    }

    private List<Write> nextBatch() {
        WriteBatch batch = new WriteBatch(maxWritesPerTransaction, maxMutations);
        for (Write write : queues.inOrder()) {
            if (!batch.tryAdd(write)) {
                break;
            }
        }
        return batch.writes();
    }

    /**
     * Returns the writes of a batch that may be sent now, and charges their mutations to the rate
     * limit: all writes if the limit allows it, otherwise only the first one, which need not wait
     * until the limit allows all. If the limit does not allow even the first one, returns none and
     * pauses sending until it does.
     */
    private List<Write> withinMutationLimit(List<Write> batch, double nowSeconds) {
        int mutationCount = 0;
        for (Write write : batch) {
            mutationCount += write.mutations().size();
        }
        if (mutationLimiter.tryAcquire(mutationCount, nowSeconds)) {
            return batch;
        }
        int firstMutationCount = batch.get(0).mutations().size();
        if (batch.size() > 1 && mutationLimiter.tryAcquire(firstMutationCount, nowSeconds)) {
            return List.of(batch.get(0));
        }
        pauseFor(mutationLimiter.secondsUntilAvailable(firstMutationCount, nowSeconds));
        return List.of();
    }

    /**
     * Pauses sending, for at least {@link #MIN_PAUSE_SECONDS}. If an earlier pause ends before this
     * one, sending resumes then.
     */
    private void pauseFor(double seconds) {
        paused = true;
        loop.schedule(
                Math.max(MIN_PAUSE_SECONDS, seconds),
                () -> {
                    paused = false;
                    sendNext();
                });
    }

    private void send(List<Write> batch) {
        Transaction transaction = new Transaction(batch, window.onSent(loop.nowSeconds()));
        loop.schedule(
                TransactionWindow.SLOW_TRANSACTION_SECONDS + SLOW_CHECK_MARGIN_SECONDS,
                this::sendNext);
        try {
            stateWriter.commit(
                    WriteBatch.conditionsOf(batch),
                    WriteBatch.mutationsOf(batch),
                    transaction::end);
        } catch (RuntimeException | Error e) {
            LOG.error("transaction failed while it was sent: writes={}", batch.size(), e);
            StateStoreResult<Long> outcome = new StateStoreResult.OutcomeUnknown<>();
            loop.schedule(/* delaySeconds= */ 0, () -> transaction.end(outcome));
        }
    }

    /** A transaction that was sent. Ends once, since it counts as in flight until then. */
    private final class Transaction {
        private final List<Write> writes;
        private final long number;
        private boolean hasEnded;

        Transaction(List<Write> writes, long number) {
            this.writes = writes;
            this.number = number;
        }

        void end(StateStoreResult<Long> result) {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            window.onEnded(number);
            try {
                complete(writes, result);
            } finally {
                // Also if a listener throws, as the queued writes of others wait for this call.
                sendNext();
            }
        }
    }

    private void complete(List<Write> batch, StateStoreResult<Long> result) {
        if (result instanceof StateStoreResult.Success<Long> success) {
            notifyListeners(batch, Outcome.STORED, success.value());
        } else if (result instanceof StateStoreResult.Rejected<Long> rejected) {
            onRejected(batch, rejected);
        } else if (result instanceof StateStoreResult.NotExecuted<Long> notExecuted) {
            onNotExecuted(batch, notExecuted.cause() == NotExecutedCause.RATE_LIMITED);
        } else {
            notifyListeners(batch, Outcome.UNKNOWN, 0);
        }
    }

    private void onRejected(List<Write> batch, StateStoreResult.Rejected<Long> rejected) {
        if (rejected.reason() == Reason.CONDITION_FAILED) {
            onConflict(batch, new HashSet<>(rejected.failedKeys()));
        } else if (rejected.reason() == Reason.INVALID) {
            onInvalid(batch, rejected.message());
        } else {
            notifyListeners(batch, Outcome.CONFLICT, 0);
        }
    }

    private void onNotExecuted(List<Write> batch, boolean rateLimited) {
        List<Write> retried = new ArrayList<>();
        List<Write> ended = new ArrayList<>();
        for (Write write : batch) {
            boolean isRetried = rateLimited || write.whenUnavailable() == WhenUnavailable.RETRY;
            (isRetried ? retried : ended).add(write);
        }
        queues.putBack(retried);
        try {
            notifyListeners(ended, Outcome.NOT_EXECUTED, 0);
        } finally {
            pauseFor(NOT_EXECUTED_PAUSE_SECONDS);
        }
    }

    /**
     * Handles a transaction that the store rejected as invalid, of which no write was executed.
     * Several writes are sent again in smaller batches. A write that was rejected alone is itself
     * the cause, so the limit on the batch size is lifted.
     */
    private void onInvalid(List<Write> batch, String errorMessage) {
        if (batch.size() > 1) {
            maxWritesPerTransaction = batch.size() / 2;
            LOG.warn(
                    "transaction rejected by the state store: writes={} error={} newMaxWrites={}",
                    batch.size(),
                    errorMessage,
                    maxWritesPerTransaction);
            queues.putBack(batch);
            return;
        }
        maxWritesPerTransaction = Integer.MAX_VALUE;
        Write write = batch.get(0);
        LOG.error(
                "write rejected by the state store: keys={} sizeBytes={} error={}",
                write.mutations().stream().map(RecordMutation::key).toList(),
                write.sizeBytes(),
                errorMessage);
        write.listener().onOutcome(Outcome.TOO_LARGE, 0);
    }

    /**
     * Ends the writes whose own conditions do not hold, and queues the others again. If the store
     * named no failed key, all writes end with {@link Outcome#CONFLICT}.
     */
    private void onConflict(List<Write> batch, Set<String> failedKeys) {
        List<Write> retried = new ArrayList<>();
        List<Write> conflicted = new ArrayList<>();
        for (Write write : batch) {
            (hasFailedCondition(write, failedKeys) ? conflicted : retried).add(write);
        }
        queues.putBack(retried);
        notifyListeners(conflicted, Outcome.CONFLICT, 0);
    }

    private static boolean hasFailedCondition(Write write, Set<String> failedKeys) {
        if (failedKeys.isEmpty()) {
            return true;
        }
        for (VersionCondition condition : write.conditions()) {
            if (failedKeys.contains(condition.key())) {
                return true;
            }
        }
        return false;
    }

    /** Tells the listener of each write its outcome, whatever another listener throws. */
    private static void notifyListeners(List<Write> writes, Outcome outcome, long revision) {
        Callbacks.forEach(writes, write -> write.listener().onOutcome(outcome, revision));
    }
}
