package io.kelphoist.election;

import io.kelphoist.model.SchedulingPolicy;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader election of one controller.
 *
 * <p>The leader holds the leader key in the state store, which is bound to a short lease. It is
 * authorized to act while that lease has not expired at the maximum clock drift, or while it holds
 * an unexpired grant of every other controller. The grants let the leader keep renewing the
 * workers' leases during an outage of the state store. A candidate first stops giving grants and
 * waits until the last grant that it gave has expired. A controller also waits after it starts,
 * because it does not store its grants and an earlier process may have given some.
 *
 * <p>Performs no I/O and reads no clock: each event is passed in with its time, in seconds of the
 * monotonic clock, and requests are sent through {@link Actions}. Not thread-safe: all methods are
 * called on the event loop.
 */
public final class Election {
    /**
     * The roles of a controller in the election. {@link #transitionTo} is the only method that
     * changes the role.
     */
    public enum State {
        /**
         * Another controller leads, or this controller has not established that there is no leader.
         * Gives grants.
         */
        FOLLOWER,
        /**
         * There is no leader. Gives no grants, and waits until the last grant that it gave has
         * expired.
         */
        CANDIDATE,
        /** Has requested the leader key from the state store. */
        ACQUIRING,
        /**
         * Has acquired the leader key. Authorized to act only while {@link #isLeader} returns true.
         */
        LEADER
    }

    /** Carries out the requests of the election and receives its events. */
    public interface Actions {
        /**
         * Creates a lease, reads the leadership keys and writes the leader key under the lease. The
         * result is passed to {@link #onLeadershipAcquired} or {@link #onAcquisitionFailed}.
         */
        void acquireLeadership();

        /**
         * Renews the lease. The result is passed to {@link #onLeaseRenewed}, which is not called if
         * the outcome is unknown.
         */
        void renewLease(long leaseId);

        /** Releases a lease that this controller does not need any more. */
        void releaseLease(long leaseId);

        /**
         * Releases the lease and notifies the other controllers that the term has ended, so that
         * they need not wait until their grants for this term expire.
         */
        void handOverLeadership(long endedTerm, long leaseId);

        /**
         * Requests a grant from another controller. {@link #onGrantReceived} is called if the grant
         * is given.
         */
        void requestGrant(String peer, long term, double sentAtSeconds);

        /**
         * Whether this controller has a current replica of the leader's state and of the records.
         * Without one it needs longer than another controller to load its state as a new leader.
         */
        boolean isReplicaCurrent();

        /** Called when this controller has been elected as the leader of a new term. */
        void onElected(long term);

        /** Called when this controller has stopped leading its term. */
        void onLeadershipEnded();
    }

    private static final Logger LOG = LoggerFactory.getLogger(Election.class);

    /**
     * Safety margin for the expiry of leases and grants: received ones are treated as shorter by
     * this time, and grants that this controller gave as longer.
     */
    static final double SAFETY_MARGIN_SECONDS = 0.05;

    /** A leader that resigned does not become a candidate again for this long. */
    private static final double RESIGNATION_COOLDOWN_SECONDS = 15;

    /**
     * How long a controller without a current replica, or one that is not the preferred successor,
     * waits before it becomes a candidate. The other controllers can complete the failover sooner.
     */
    private static final double LESS_PREFERRED_DELAY_SECONDS = 0.4;

    /** Delay after a failed acquisition of the leader key. */
    private static final double ACQUISITION_RETRY_SECONDS = 0.2;

    /** Number of lease renewals within the duration of one lease. */
    private static final double RENEWALS_PER_LEASE = 5;

    /** The first renewal of a lease is sent after this fraction (1/4) of its duration. */
    private static final double FIRST_RENEWAL_DIVISOR = 4;

    /** Number of grant requests to each peer within the duration of one grant. */
    private static final double GRANT_REQUESTS_PER_GRANT = 4;

    private final String self;
    private final List<String> peers;
    private final double leaseSeconds;
    private final double grantSeconds;
    private final Actions actions;
    private final ReceivedGrants receivedGrants;
    private final GivenGrants givenGrants;
    private State state = State.FOLLOWER;
    private long term;
    private long leaseId;
    private double leaseExpiresAtSeconds;

    /**
     * The newest term that this controller has seen in the leadership keys, in a grant request or
     * in a handover. The leader of any older term has been replaced.
     */
    private long newestTerm;

    /** The newest term that was ended by a handover message of its own leader. */
    private long newestEndedTerm;

    private double nextRenewalAtSeconds;
    private double nextGrantRequestAtSeconds;
    private double candidacyNotBeforeSeconds;

    /** When the leader key was first read as absent after it had named a leader. */
    private double leaderKeyAbsentSinceSeconds = Double.NEGATIVE_INFINITY;

    /**
     * Whether {@link #leader} is set from the last read of the leader key or from a handover
     * message. False after the start and after this controller resigned, until one of these
     * arrives.
     */
    private boolean leaderKeyLoaded;

    /** The controller that holds the leader key; null if there is none or it is not loaded. */
    private String leader;

    /** The term of {@link #leader} in the leader key. */
    private long leaderTerm;

    /**
     * Whether the state store holds an earlier term. If it does not, no controller has ever led,
     * and no grant can be outstanding.
     */
    private boolean hasEarlierTerm = true;

    /** The result of {@link #isLeader} at the last tick as the leader. */
    private boolean wasLeaderAtLastTick;

    /**
     * Creates the election of a process that has just started, as a follower.
     *
     * @param self the name of this controller
     * @param peers the names of the other controllers
     * @param leaseSeconds duration of the leader lease
     * @param grantSeconds duration of a grant
     * @param startedAtSeconds when this process started. An earlier process of this controller may
     *     have given grants until then
     */
    public Election(
            String self,
            List<String> peers,
            double leaseSeconds,
            double grantSeconds,
            double startedAtSeconds,
            Actions actions) {
        this.self = self;
        this.peers = List.copyOf(peers);
        this.leaseSeconds = leaseSeconds;
        this.grantSeconds = grantSeconds;
        this.actions = actions;
        this.receivedGrants = new ReceivedGrants(this.peers, grantSeconds);
        this.givenGrants = new GivenGrants(grantSeconds, startedAtSeconds);
    }

    /** Returns the current role of this controller. */
    public State state() {
        return state;
    }

    /**
     * Returns the leader that the state store last named; null if there is none or it is not
     * loaded.
     */
    public String leader() {
        return state == State.LEADER ? self : leader;
    }

    /** Returns the newest term that this process led; 0 if it led none. */
    public long term() {
        return term;
    }

    /**
     * Whether this controller is authorized to act as the leader now: it holds an unexpired leader
     * lease, or unexpired grants of all other controllers.
     */
    public boolean isLeader(double nowSeconds) {
        return state == State.LEADER
                && (nowSeconds < leaseExpiresAtSeconds || receivedGrants.areAllValid(nowSeconds));
    }

    /** Changes the role and calls the actions that belong to the change. */
    private void transitionTo(State next, double nowSeconds) {
        if (state == next) {
            return;
        }
        LOG.debug("election role changed: from={} to={}", state, next);
        State previous = state;
        state = next;
        if (previous == State.LEADER) {
            leaseExpiresAtSeconds = 0;
            receivedGrants.clear();
            actions.onLeadershipEnded();
        }
        if (next == State.LEADER) {
            nextRenewalAtSeconds = nowSeconds + leaseSeconds / FIRST_RENEWAL_DIVISOR;
            nextGrantRequestAtSeconds = nowSeconds;
            actions.onElected(term);
        }
    }

    /**
     * Called with the leader key as read from the state store.
     *
     * @param holder the controller that holds the key; null if the key is absent
     * @param holderTerm the term in the leader key; 0 if the key is absent
     * @param lastTerm the newest term that the state store holds; 0 if it holds none, or if the
     *     caller found another holder and did not evaluate the term key
     */
    public void onLeaderKeyRead(String holder, long holderTerm, long lastTerm, double nowSeconds) {
        leaderKeyLoaded = true;
        if (holder == null && leader != null) {
            leaderKeyAbsentSinceSeconds = nowSeconds;
        }
        leader = holder;
        leaderTerm = holderTerm;
        newestTerm = Math.max(newestTerm, Math.max(holderTerm, lastTerm));
        hasEarlierTerm = lastTerm > 0;
        if (state == State.LEADER
                && (holder == null || !holder.equals(self) || holderTerm != term)) {
            LOG.info("leader key lost: term={} holder={} holderTerm={}", term, holder, holderTerm);
            transitionTo(State.FOLLOWER, nowSeconds);
        } else if (state == State.CANDIDATE && holder != null) {
            transitionTo(State.FOLLOWER, nowSeconds);
        }
    }

    /**
     * Another controller requests a grant: the promise not to lead for the duration of a grant.
     * Requests for a term older than the newest one seen are refused: the leader of an old term may
     * not have learned that it was replaced, and with grants of all other controllers it would act
     * at the same time as its successor.
     *
     * @return whether the grant is given
     */
    public boolean onGrantRequested(long requestedTerm, double nowSeconds) {
        if (state != State.FOLLOWER
                || requestedTerm < newestTerm
                || requestedTerm <= newestEndedTerm) {
            return false;
        }
        givenGrants.recordGrant(requestedTerm, nowSeconds);
        newestTerm = requestedTerm;
        return true;
    }

    /**
     * The leader of a term sent a handover message after it stopped acting. Grants for that term
     * are void at once. A grant for an older term stays valid until it expires: the leader of that
     * term may not have learned that it was replaced, and the controller whose refusal kept it from
     * holding all grants may have restarted and grant again.
     *
     * @param isPreferred whether the message names this controller as the preferred successor. Any
     *     other controller becomes a candidate after a delay, which covers the case that the
     *     preferred successor is down
     */
    public void onTermEnded(long endedTerm, boolean isPreferred, double nowSeconds) {
        if (endedTerm < givenGrants.newestTerm()
                || endedTerm < leaderTerm
                || endedTerm <= newestEndedTerm
                || state == State.LEADER) {
            return;
        }
        newestEndedTerm = endedTerm;
        newestTerm = Math.max(newestTerm, endedTerm);
        givenGrants.onTermEnded(endedTerm);
        if (state == State.FOLLOWER) {
            leaderKeyLoaded = true;
            leader = null;
            candidacyNotBeforeSeconds =
                    Math.max(
                            candidacyNotBeforeSeconds,
                            nowSeconds + (isPreferred ? 0 : LESS_PREFERRED_DELAY_SECONDS));
        }
    }

    /**
     * Another controller gave the grant that this leader requested.
     *
     * @param requestedTerm the term of the request
     * @param sentAtSeconds when the request was sent
     */
    public void onGrantReceived(String peer, long requestedTerm, double sentAtSeconds) {
        if (state == State.LEADER && requestedTerm == term) {
            receivedGrants.onReceived(peer, sentAtSeconds);
        }
    }

    /**
     * The state store stored the leader key and the new term for this controller.
     *
     * @param sentAtSeconds when the lease was requested
     */
    public void onLeadershipAcquired(
            long newTerm, long newLeaseId, double sentAtSeconds, double nowSeconds) {
        if (state != State.ACQUIRING) {
            actions.releaseLease(newLeaseId);
            return;
        }
        term = newTerm;
        newestTerm = Math.max(newestTerm, newTerm);
        leaseId = newLeaseId;
        leaseExpiresAtSeconds = leaseExpiryAfter(sentAtSeconds);
        leader = self;
        leaderTerm = newTerm;
        transitionTo(State.LEADER, nowSeconds);
    }

    /** The leader key was not acquired, or the outcome of the acquisition is unknown. */
    public void onAcquisitionFailed(double nowSeconds) {
        if (state == State.ACQUIRING) {
            candidacyNotBeforeSeconds = nowSeconds + ACQUISITION_RETRY_SECONDS;
            transitionTo(State.CANDIDATE, nowSeconds);
        }
    }

    /**
     * The state store responded to a renewal of the lease.
     *
     * @param isAlive false if the lease has expired
     * @param sentAtSeconds when the renewal was requested
     */
    public void onLeaseRenewed(
            long renewedLeaseId, boolean isAlive, double sentAtSeconds, double nowSeconds) {
        if (state != State.LEADER || renewedLeaseId != leaseId) {
            return;
        }
        if (isAlive) {
            leaseExpiresAtSeconds =
                    Math.max(leaseExpiresAtSeconds, leaseExpiryAfter(sentAtSeconds));
        } else {
            LOG.info("leader lease expired: term={}", term);
            leader = null;
            transitionTo(State.FOLLOWER, nowSeconds);
        }
    }

    /**
     * Returns when a lease expires that was granted or renewed by a request sent at this time. The
     * duration is measured from the request, and shortened by the maximum clock drift and a margin.
     */
    private double leaseExpiryAfter(double sentAtSeconds) {
        return sentAtSeconds
                + leaseSeconds * (1 - 2 * SchedulingPolicy.CLOCK_DRIFT)
                - SAFETY_MARGIN_SECONDS;
    }

    /** Ends the term of this controller, if it leads, so that another controller can be elected. */
    public void resign(String reason, double nowSeconds) {
        if (state == State.LEADER) {
            LOG.info("leader resigned: term={} reason={}", term, reason);
            long heldLeaseId = leaseId;
            long endedTerm = term;
            candidacyNotBeforeSeconds = nowSeconds + RESIGNATION_COOLDOWN_SECONDS;
            leader = null;
            leaderKeyLoaded = false;
            transitionTo(State.FOLLOWER, nowSeconds);
            actions.handOverLeadership(endedTerm, heldLeaseId);
        }
    }

    /**
     * Performs the state changes and requests that are due. Called at short intervals and after
     * each event.
     */
    public void tick(double nowSeconds) {
        switch (state) {
            case FOLLOWER -> tickAsFollower(nowSeconds);
            case CANDIDATE -> tickAsCandidate(nowSeconds);
            case ACQUIRING -> {}
            case LEADER -> tickAsLeader(nowSeconds);
        }
    }

    private void tickAsFollower(double nowSeconds) {
        if (leaderKeyLoaded
                && leader == null
                && nowSeconds >= candidacyNotBeforeSeconds
                && mayBecomeCandidate(nowSeconds)) {
            transitionTo(State.CANDIDATE, nowSeconds);
        }
    }

    /**
     * Whether this controller may become a candidate already. A controller with a current replica
     * becomes one at once. The others do so after a short delay, because no other controller may
     * have a current replica, or the one that has it may be down.
     */
    private boolean mayBecomeCandidate(double nowSeconds) {
        return !hasEarlierTerm
                || nowSeconds >= leaderKeyAbsentSinceSeconds + LESS_PREFERRED_DELAY_SECONDS
                || actions.isReplicaCurrent();
    }

    private void tickAsCandidate(double nowSeconds) {
        if (leader != null) {
            transitionTo(State.FOLLOWER, nowSeconds);
        } else if ((!hasEarlierTerm || givenGrants.haveExpired(nowSeconds))
                && nowSeconds >= candidacyNotBeforeSeconds) {
            transitionTo(State.ACQUIRING, nowSeconds);
            actions.acquireLeadership();
        }
    }

    private void tickAsLeader(double nowSeconds) {
        if (nowSeconds >= nextRenewalAtSeconds) {
            nextRenewalAtSeconds = nowSeconds + leaseSeconds / RENEWALS_PER_LEASE;
            actions.renewLease(leaseId);
        }
        if (nowSeconds >= nextGrantRequestAtSeconds) {
            nextGrantRequestAtSeconds = nowSeconds + grantSeconds / GRANT_REQUESTS_PER_GRANT;
            for (String peer : peers) {
                actions.requestGrant(peer, term, nowSeconds);
            }
        }
        logAuthorizationChange(nowSeconds);
    }

    /** Logs when the leader becomes authorized to act, or stops being so, within its term. */
    private void logAuthorizationChange(double nowSeconds) {
        boolean isLeader = isLeader(nowSeconds);
        if (isLeader != wasLeaderAtLastTick) {
            LOG.info("leader authorization changed: term={} authorized={}", term, isLeader);
            wasLeaderAtLastTick = isLeader;
        }
    }
}
