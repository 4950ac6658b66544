package io.kelphoist.election;

import io.kelphoist.model.SchedulingPolicy;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader election of one controller.
 *
 * <p>The leader holds the leader key in the state store, which is bound to a short lease. It is
 * authorized to act while that lease is valid even at the maximum clock drift, or while it holds
 * valid grants of all other controllers, so that workers' leases do not expire during an outage of
 * the state store. A candidate first stops giving grants and waits until the last one that it gave
 * has expired. Grants are not stored, so a new process assumes that one was given at its start.
 *
 * <p>Performs no I/O and reads no clock: events are passed in with their time, in seconds of the
 * monotonic clock, and requests go to {@link Actions}. Not thread-safe: confined to the event loop.
 */
public final class Election {
    /** The roles of a controller. Only {@link #transitionTo} changes the role. */
    public enum State {
        /** Another controller leads or may lead, or candidacy must be delayed. Gives grants. */
        FOLLOWER,
        /** Knows of no leader. Gives no grants, and waits until its last one has expired. */
        CANDIDATE,
        /** Has requested the leader key from the state store. */
        ACQUIRING,
        /** Has acquired the leader key. Authorized to act while {@link #isLeader}. */
        LEADER
    }

    /** Carries out the requests of the election and receives its events. */
    public interface Actions {
        /**
         * Creates a lease, reads the leadership keys, and writes the term and, under the lease, the
         * leader key. Followed by {@link #onLeadershipAcquired} or {@link #onAcquisitionFailed}.
         */
        void acquireLeadership();

        /** Renews the lease; {@link #onLeaseRenewed} is called if it was renewed or has expired. */
        void renewLease(long leaseId);

        /** Releases a lease that this controller does not need any more. */
        void releaseLease(long leaseId);

        /**
         * Releases the lease and notifies the other controllers that the term has ended, so that
         * they need not wait until their grants for this term expire.
         */
        void handOverLeadership(long endedTerm, long leaseId);

        /** Requests a grant; {@link #onGrantReceived} is called if the peer gives it. */
        void requestGrant(String peer, long term, double sentAtSeconds);

        /**
         * Whether this controller has a current replica of the records and, if it is replicated, of
         * the leader's state. Without one it needs longer to load its state as a new leader.
         */
        boolean isReplicaCurrent();

        /** Called when this controller has been elected as the leader of a new term. */
        void onElected(long term);

        /** Called when this controller has stopped leading its term. */
        void onLeadershipEnded();
    }

    private static final Logger LOG = LoggerFactory.getLogger(Election.class);

    /** Received leases and grants are treated as shorter by this, and given grants as longer. */
    static final double SAFETY_MARGIN_SECONDS = 0.05;

    /** A leader that resigned does not become a candidate again for this long. */
    private static final double RESIGNATION_COOLDOWN_SECONDS = 15;

    /** Candidacy delay in favor of the preferred successor or of those with a current replica. */
    private static final double LESS_PREFERRED_DELAY_SECONDS = 0.4;

    private static final double ACQUISITION_RETRY_SECONDS = 0.2;

    /** Renewals within the duration of a lease. The first one is sent after a quarter of it. */
    private static final double RENEWALS_PER_LEASE = 5;

    private static final double FIRST_RENEWAL_DIVISOR = 4;
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

    /** The newest term in any key or message read. Leaders of older terms have been replaced. */
    private long newestTerm;

    /** The newest term that was ended by a handover message of its own leader. */
    private long newestEndedTerm;

    private double nextRenewalAtSeconds;
    private double nextGrantRequestAtSeconds;
    private double candidacyNotBeforeSeconds;

    /** When a read of the leader key last changed {@link #leader} from a controller to null. */
    private double leaderKeyAbsentSinceSeconds = Double.NEGATIVE_INFINITY;

    /** Whether a key read or a handover has set {@link #leader} since the start or resignation. */
    private boolean leaderKeyLoaded;

    private String leader;
    private long leaderTerm;

    /** False if the keys were read and no term is known: before the first there are no grants. */
    private boolean hasEarlierTerm = true;

    /** The result of {@link #isLeader} at the last tick as the leader. */
    private boolean wasLeaderAtLastTick;

    /**
     * @param self the name of this controller
     * @param peers the names of the other controllers
     * @param startedAtSeconds when this process started; an earlier process may have given grants
     *     until then
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

    /** Returns the holder of the leader key; null if none, not loaded, or its term has ended. */
    public String leader() {
        return state == State.LEADER ? self : leader;
    }

    /** Returns the newest term that this process led; 0 if it led none. */
    public long term() {
        return term;
    }

    /** Whether this controller is authorized to act, by its lease or by the others' grants. */
    public boolean isLeader(double nowSeconds) {
        return state == State.LEADER
                && (nowSeconds < leaseExpiresAtSeconds || receivedGrants.areAllValid(nowSeconds));
    }

    /** Changes the state and calls the actions that belong to the change. */
    private void transitionTo(State next, double nowSeconds) {
        if (state == next) {
            return;
        }
        LOG.debug("election state changed: from={} to={}", state, next);
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
     * @param holder the controller that holds the key; null, with {@code holderTerm} 0, if absent
     * @param lastTerm the newest stored term; 0 if there is none. Before the first term of which
     *     this controller knows, a candidate does not wait until its given grants have expired
     */
    public void onLeaderKeyRead(String holder, long holderTerm, long lastTerm, double nowSeconds) {
        leaderKeyLoaded = true;
        if (holder == null && leader != null) {
            leaderKeyAbsentSinceSeconds = nowSeconds;
        }
        leader = holder;
        leaderTerm = holderTerm;
        newestTerm = Math.max(newestTerm, Math.max(holderTerm, lastTerm));
        hasEarlierTerm = newestTerm > 0;
        if (state == State.LEADER
                && (holder == null || !holder.equals(self) || holderTerm != term)) {
            LOG.info("leader key lost: term={} holder={} holderTerm={}", term, holder, holderTerm);
            transitionTo(State.FOLLOWER, nowSeconds);
        } else if (state == State.CANDIDATE && holder != null) {
            transitionTo(State.FOLLOWER, nowSeconds);
        }
    }

    /**
     * Another controller requests a grant, the promise not to lead for the duration of a grant.
     * Refused if this controller is not a follower, or if the term has ended or is older than the
     * newest one read: the leader of an old term may not have learned that it was replaced, and
     * with grants of all others it would act at the same time as its successor.
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
     * The leader of a term stopped acting and sent a handover. Grants for that term become void. A
     * grant for an older term must expire: that term's leader may not have learned that it was
     * replaced, and a controller that refused it a grant may have restarted and give one now.
     * Ignored if this controller leads, or if a newer term was granted, held the key or ended.
     *
     * @param isPreferred whether this controller is the preferred successor. The others become
     *     candidates after a short delay, because the preferred successor may be down
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
     * Another controller gave the grant that was requested at {@code sentAtSeconds}. Ignored if
     * this controller does not lead {@code requestedTerm} any more.
     */
    public void onGrantReceived(String peer, long requestedTerm, double sentAtSeconds) {
        if (state == State.LEADER && requestedTerm == term) {
            receivedGrants.onReceived(peer, sentAtSeconds);
        }
    }

    /**
     * The state store stored the leader key and the new term under a lease that was requested at
     * {@code sentAtSeconds}. The lease is released unless this controller is in ACQUIRING.
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
     * The state store responded to a renewal that was requested at {@code sentAtSeconds}. Ignored
     * if this controller does not lead under that lease any more.
     *
     * @param isAlive false if the lease has expired
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

    /** Returns the earliest expiry of a lease requested at this time, less the safety margin. */
    private double leaseExpiryAfter(double sentAtSeconds) {
        return sentAtSeconds
                + leaseSeconds * (1 - 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO)
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

    /** Performs what is due: candidacies, acquisitions, renewals and grant requests start here. */
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
     * With a current replica, or before the first term, a controller may become a candidate at
     * once. Others wait for a short delay only, as all controllers with a replica may be down.
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

    private void logAuthorizationChange(double nowSeconds) {
        boolean isLeader = isLeader(nowSeconds);
        if (isLeader != wasLeaderAtLastTick) {
            LOG.info("leader authorization changed: term={} authorized={}", term, isLeader);
            wasLeaderAtLastTick = isLeader;
        }
    }
}
