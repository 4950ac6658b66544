package io.kelphoist.statestore;

import com.google.common.collect.Iterables;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StateStoreResult.NotExecutedCause;
import io.kelphoist.statestore.protocol.StateStoreResult.Reason;
import io.kelphoist.statestore.protocol.VersionCondition;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Group commit: writes that wait at the same time share transactions, within the limits of the
 * state store.
 *
 * <p>Normally one transaction is in flight at a time; further ones are sent while it has had no
 * answer for longer than usual. Transactions may be executed in any order, also seconds later,
 * since each is conditional on the versions of the keys that it changes. Urgent writes, which users
 * wait for, go before the others.
 *
 * <p>Owns the queues of writes and the write budget. Methods and callbacks run on the event loop.
 */
public final class GroupCommitter {
    /** How a write ended. */
    public enum Outcome {
        /** The write is stored. */
        STORED,
        /** One of the write's own conditions does not hold. */
        CONFLICT,
        /** The write was certainly not executed and never will be. */
        NOT_EXECUTED,
        /** The store refuses the write; it can never succeed unchanged. */
        TOO_LARGE,
        /** The write may or may not be executed, now or later; the caller has to read it back. */
        UNKNOWN
    }

    /** Which writes go first. */
    public enum Urgency {
        /** Somebody waits for the outcome: goes before writes that are not urgent. */
        URGENT,
        /** Goes after urgent writes. */
        NORMAL
    }

    /** What happens to a write while the store is unavailable. */
    public enum WhenUnavailable {
        /** It is sent again until it expires. */
        RETRY,
        /** It ends as not executed at once. */
        FAIL
    }

    /**
     * A group of changes that are made together.
     *
     * @param sizeBytes estimated size in a transaction
     * @param expiresAtSeconds the write is given up if it has not been sent by then
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
         * Runs once for each write.
         *
         * @param revision revision of the transaction if the write is stored, otherwise 0
         */
        void onOutcome(Outcome outcome, long revision);
    }

    /** Upper bound of what a key and its conditions take in a transaction. */
    public static final int KEY_OVERHEAD_BYTES = 200;

    /** Each transaction in flight takes a connection, which leases and leader keys need as well. */
    public static final int MAX_IN_FLIGHT = 3;

    static final int MAX_QUEUED_WRITES = 2000;

    private static final Logger LOG = LoggerFactory.getLogger(GroupCommitter.class);

    /**
     * A transaction usually takes some 10 ms; the next one no longer waits for one that takes
     * longer than this.
     */
    private static final double SLOW_TRANSACTION_SECONDS = 0.25;

    private static final double SLOW_CHECK_MARGIN_SECONDS = 0.001;
    private static final double WRITE_BURST_SECONDS = 0.9;
    private static final double MIN_PAUSE_SECONDS = 0.01;

    /** Nothing is sent for this long after the store did not execute a transaction. */
    private static final double NOT_EXECUTED_PAUSE_SECONDS = 0.15;

    private final StateStoreWriter stateWriter;
    private final EventLoop loop;
    private final TokenBucket writeLimiter;
    private final int maxMutations;
    private final Deque<Write> urgentQueue = new ArrayDeque<>();
    private final Deque<Write> normalQueue = new ArrayDeque<>();

    /** Writes per transaction; fewer after the store refused a transaction as too large. */
    private int maxBatchSize = Integer.MAX_VALUE;

    private boolean paused;
    private int inFlight;

    /** Number of the transaction that was sent last. */
    private long newestTransactionNumber;

    private double newestSentAtSeconds;
    private boolean newestHasResponse = true;

    /**
     * Creates a committer.
     *
     * @param writesPerSecond changes per second that the store allows
     * @param maxChanges changes per transaction that the store allows
     */
    public GroupCommitter(
            StateStoreWriter stateWriter, EventLoop loop, double writesPerSecond, int maxChanges) {
        this.stateWriter = stateWriter;
        this.loop = loop;
        this.writeLimiter = new TokenBucket(writesPerSecond, WRITE_BURST_SECONDS);
        this.maxMutations = maxChanges;
    }

    /** Returns the number of writes that have not been sent. */
    public int queuedWrites() {
        return urgentQueue.size() + normalQueue.size();
    }

    /** Queues a write. It ends as not executed at once if too many are queued. */
    public void submit(Write write) {
        if (queuedWrites() >= MAX_QUEUED_WRITES) {
            write.listener().onOutcome(Outcome.NOT_EXECUTED, 0);
            return;
        }
        queueOf(write).add(write);
        sendNext();
    }

    private Deque<Write> queueOf(Write write) {
        return write.urgency() == Urgency.URGENT ? urgentQueue : normalQueue;
    }

    private void sendNext() {
        if (mustWait() || queuedWrites() == 0) {
            return;
        }
        double nowSeconds = loop.nowSeconds();
        rejectExpired(urgentQueue, nowSeconds);
        rejectExpired(normalQueue, nowSeconds);
        // The listeners of expired writes may have submitted others.
        if (mustWait() || queuedWrites() == 0) {
            return;
        }
        List<Write> writes = withinWriteLimit(nextBatch(), nowSeconds);
        if (!writes.isEmpty()) {
            writes.forEach(write -> queueOf(write).poll());
            send(writes);
        }
    }

    private static void rejectExpired(Deque<Write> queue, double nowSeconds) {
        while (!queue.isEmpty() && queue.peek().expiresAtSeconds() < nowSeconds) {
            queue.poll().listener().onOutcome(Outcome.NOT_EXECUTED, 0);
        }
    }

    /** Whether nothing may be sent now; a timer or an answer triggers the next attempt. */
    private boolean mustWait() {
        return paused
                || inFlight >= MAX_IN_FLIGHT
                || (!newestHasResponse
                        && loop.nowSeconds() < newestSentAtSeconds + SLOW_TRANSACTION_SECONDS);
    }

    private List<Write> nextBatch() {
        WriteBatch batch = new WriteBatch(maxBatchSize, maxMutations);
        for (Write write : Iterables.concat(urgentQueue, normalQueue)) {
            if (!batch.tryAdd(write)) {
                break;
            }
        }
        return batch.writes();
    }

    /**
     * Takes the writes from the write budget: all of them, or the first one alone rather than all
     * of them later. Pauses and returns none if the budget does not allow even that.
     */
    private List<Write> withinWriteLimit(List<Write> batch, double nowSeconds) {
        int changeCount = 0;
        for (Write write : batch) {
            changeCount += write.mutations().size();
        }
        if (writeLimiter.tryAcquire(changeCount, nowSeconds)) {
            return batch;
        }
        int firstChangeCount = batch.get(0).mutations().size();
        if (batch.size() > 1 && writeLimiter.tryAcquire(firstChangeCount, nowSeconds)) {
            return List.of(batch.get(0));
        }
        pauseFor(writeLimiter.secondsUntilAvailable(firstChangeCount, nowSeconds));
        return List.of();
    }

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
        inFlight++;
        long transaction = ++newestTransactionNumber;
        newestSentAtSeconds = loop.nowSeconds();
        newestHasResponse = false;
        loop.schedule(SLOW_TRANSACTION_SECONDS + SLOW_CHECK_MARGIN_SECONDS, this::sendNext);
        stateWriter.commit(
                WriteBatch.conditionsOf(batch),
                WriteBatch.mutationsOf(batch),
                result -> {
                    inFlight--;
                    newestHasResponse |= transaction == newestTransactionNumber;
                    complete(batch, result);
                    sendNext();
                });
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
            onTooLarge(batch, rejected.message());
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
        requeue(retried);
        notifyListeners(ended, Outcome.NOT_EXECUTED, 0);
        pauseFor(NOT_EXECUTED_PAUSE_SECONDS);
    }

    /**
     * Nothing was executed. Writes that were refused together are sent again in smaller batches; a
     * write that was refused alone is too large by itself, so that batches need not be smaller.
     */
    private void onTooLarge(List<Write> batch, String reason) {
        if (batch.size() > 1) {
            maxBatchSize = batch.size() / 2;
            LOG.warn(
                    "transaction refused by the state store: writes={} error={} newMaxWrites={}",
                    batch.size(),
                    reason,
                    maxBatchSize);
            requeue(batch);
            return;
        }
        maxBatchSize = Integer.MAX_VALUE;
        Write write = batch.get(0);
        LOG.error(
                "write refused by the state store: keys={} bytes={} error={}",
                write.mutations().stream().map(RecordMutation::key).toList(),
                write.sizeBytes(),
                reason);
        write.listener().onOutcome(Outcome.TOO_LARGE, 0);
    }

    /** Ends the writes whose own conditions failed, and sends the others again. */
    private void onConflict(List<Write> batch, Set<String> failedKeys) {
        List<Write> retried = new ArrayList<>();
        List<Write> conflicted = new ArrayList<>();
        for (Write write : batch) {
            (hasFailedCondition(write, failedKeys) ? conflicted : retried).add(write);
        }
        requeue(retried);
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

    /** Puts writes back to the front of their queues, in their order. */
    private void requeue(List<Write> batch) {
        for (int i = batch.size() - 1; i >= 0; i--) {
            queueOf(batch.get(i)).addFirst(batch.get(i));
        }
    }

    private static void notifyListeners(List<Write> writes, Outcome outcome, long revision) {
        for (Write write : writes) {
            write.listener().onOutcome(outcome, revision);
        }
    }
}
