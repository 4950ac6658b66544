package io.kelphoist.leadership;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.statestore.StateStoreClient;
import io.kelphoist.statestore.protocol.LeaderRecord;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.statestore.protocol.VersionCondition;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Acquires the leadership for this controller: creates the leader lease, and writes both leadership
 * keys by compare-and-swap, with the leader key attached to the lease. Also revokes the leader
 * lease of a previous process of this controller. Runs on the event loop.
 */
final class LeadershipAcquisition {
    /** Receives the outcome of each attempt: {@link #onAcquired} or {@link #onFailed}. */
    interface Listener {
        /**
         * This controller has acquired the leadership.
         *
         * @param revision revision at which the leadership keys were written
         * @param sentAtSeconds when the lease was requested; its duration is counted from then on
         */
        void onAcquired(long term, long leaseId, long revision, double sentAtSeconds);

        /**
         * The leader key exists already. It names another controller, or this one if it is still
         * attached to the lease of an earlier attempt or process. Followed by {@link #onFailed}.
         */
        void onLeaderKeyHeld(LeadershipKeys keys);

        /**
         * The attempt has failed. If it received a lease, the revocation of that lease has been
         * requested, without waiting for the outcome. A lease whose creation had an unknown outcome
         * is not revoked.
         */
        void onFailed();
    }

    /**
     * An attempt whose lease has been created.
     *
     * @param term the term that starts if the attempt succeeds
     * @param sentAtSeconds when the lease was requested
     */
    private record Attempt(long term, long leaseId, double sentAtSeconds) {}

    private static final Logger LOG = LoggerFactory.getLogger(LeadershipAcquisition.class);

    private final String controllerName;
    private final StateStoreClient stateClient;
    private final EventLoop eventLoop;
    private final long leaseMillis;
    private final Listener listener;

    /**
     * Whether this process has ever attempted to acquire the leadership. If so, the leader key may
     * name this controller because of this process and not of a previous one.
     */
    private boolean hasAttempted;

    private boolean previousLeaseHandled;

    LeadershipAcquisition(
            String controllerName,
            StateStoreClient stateClient,
            EventLoop eventLoop,
            long leaseMillis,
            Listener listener) {
        this.controllerName = controllerName;
        this.stateClient = stateClient;
        this.eventLoop = eventLoop;
        this.leaseMillis = leaseMillis;
        this.listener = listener;
    }

    /** Starts an attempt. The caller must not start another one before this one has ended. */
    void start() {
        hasAttempted = true;
        double sentAtSeconds = eventLoop.nowSeconds();
        stateClient.createLease(
                leaseMillis,
                result -> {
                    if (result instanceof StateStoreResult.Success<Long> created) {
                        readKeys(created.value(), sentAtSeconds);
                    } else {
                        listener.onFailed();
                    }
                });
    }

    private void readKeys(long leaseId, double sentAtSeconds) {
        stateClient.readAllUrgently(
                StateStoreKeys.LEADERSHIP_PREFIX,
                snapshot -> {
                    if (snapshot.isEmpty()) {
                        abandon(leaseId);
                        return;
                    }
                    LeadershipKeys keys = LeadershipKeys.of(snapshot.get());
                    if (keys.leader().isPresent()) {
                        listener.onLeaderKeyHeld(keys);
                        abandon(leaseId);
                        return;
                    }
                    writeKeys(
                            new Attempt(keys.lastTerm() + 1, leaseId, sentAtSeconds),
                            keys.termVersion());
                });
    }

    private void writeKeys(Attempt attempt, long termVersion) {
        LeaderRecord leader = new LeaderRecord(attempt.term, controllerName);
        stateClient.commit(
                List.of(
                        VersionCondition.absent(StateStoreKeys.LEADER),
                        new VersionCondition(StateStoreKeys.TERM, termVersion)),
                List.of(
                        RecordCodec.encodeLeader(
                                StateStoreKeys.TERM, leader, RecordMutation.NO_LEASE),
                        RecordCodec.encodeLeader(StateStoreKeys.LEADER, leader, attempt.leaseId)),
                result -> {
                    if (result instanceof StateStoreResult.Success<Long> committed) {
                        onAcquired(attempt, committed.value());
                    } else if (result instanceof StateStoreResult.OutcomeUnknown<Long>) {
                        confirm(attempt);
                    } else {
                        abandon(attempt.leaseId);
                    }
                });
    }

    /**
     * After an unknown outcome, reads the leader key to determine whether it was written. If that
     * read fails too, the attempt fails and its lease is revoked; with the lease, the state store
     * deletes the leader key if it was written.
     */
    private void confirm(Attempt attempt) {
        stateClient.get(
                StateStoreKeys.LEADER,
                result -> {
                    if (result instanceof StateStoreResult.Success<StoredRecord> found
                            && isWrittenBy(attempt, found.value())) {
                        // One transaction wrote both keys, so its revision is the version of both.
                        onAcquired(attempt, found.value().version());
                    } else {
                        abandon(attempt.leaseId);
                    }
                });
    }

    private boolean isWrittenBy(Attempt attempt, StoredRecord leaderKey) {
        boolean hasLeaseOfAttempt =
                leaderKey.leaseId() == attempt.leaseId
                        || leaderKey.leaseId() == StoredRecord.LEASE_NOT_STATED;
        return hasLeaseOfAttempt
                && RecordCodec.decodeLeader(leaderKey)
                        .equals(new LeaderRecord(attempt.term, controllerName));
    }

    private void onAcquired(Attempt attempt, long revision) {
        listener.onAcquired(attempt.term, attempt.leaseId, revision, attempt.sentAtSeconds);
    }

    private void abandon(long leaseId) {
        if (leaseId != RecordMutation.NO_LEASE) {
            stateClient.revokeLease(leaseId);
        }
        listener.onFailed();
    }

    /**
     * Revokes the leader lease of a previous process of this controller, if the leader key names
     * this controller and this process has never attempted to acquire the leadership. That process
     * has ended, so no controller needs to wait for its lease to expire. Done at most once, even if
     * a request fails; the lease then expires.
     *
     * @param onRevocationEnded runs when the request to revoke the lease has ended in any way; does
     *     not run if none is sent
     */
    void revokePreviousLease(LeadershipKeys keys, Runnable onRevocationEnded) {
        boolean isHeldByThisController =
                keys.leader().isPresent()
                        && keys.leader().get().controllerName().equals(controllerName);
        if (hasAttempted || previousLeaseHandled || !isHeldByThisController) {
            return;
        }
        previousLeaseHandled = true;
        stateClient.get(
                StateStoreKeys.LEADER,
                result -> {
                    if (!hasAttempted
                            && result instanceof StateStoreResult.Success<StoredRecord> found) {
                        revokeLeaseOf(found.value(), onRevocationEnded);
                    }
                });
    }

    private void revokeLeaseOf(StoredRecord leaderKey, Runnable onRevocationEnded) {
        LeaderRecord previous = RecordCodec.decodeLeader(leaderKey);
        if (previous.controllerName().equals(controllerName) && leaderKey.hasLease()) {
            LOG.info(
                    "leader lease of a previous process of this controller found, revoking it:"
                            + " term={}",
                    previous.term());
            stateClient.revokeLease(leaderKey.leaseId(), onRevocationEnded);
        }
    }
}
