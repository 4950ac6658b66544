package io.kelphoist.election;

import io.kelphoist.model.SchedulingPolicy;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader election of one controller.
 *
 * <p>The leader holds a key at the state service that is bound to a short lease. It may act while
 * that lease is surely alive, or while every other controller has recently granted it not to lead,
 * so that an outage of the state service does not end the workers' leases. A candidate first stops
 * giving grants and waits until its last one has expired; so does a controller after its start, as
 * it does not remember what it granted.
 *
 * <p>Has no I/O and no clock: events come in with their time, in seconds of the monotonic clock,
 * and requests go to {@link Actions}. Not thread-safe: all methods are called on the event loop.
 */
public final class Election {
    /** The states of a controller; {@link #transitionTo} is the only method that changes it. */
    public enum State {
        /** Another controller leads, or may lead; gives grants. */
        FOLLOWER,
        /** Saw no leader; gives no grants, and waits until its last one has expired. */
        CANDIDATE,
        /** Has asked the state service for the leader key. */
        ACQUIRING,
        /** Holds the leader key; may act while {@link #isLeader}. */
        LEADER
    }

    /** What the election asks for. */
    public interface Actions {
        /**
         * Creates a lease, checks the keys and takes the leader key under it; ends in {@link
         * #onLeadershipAcquired} or {@link #onAcquisitionFailed}.
         */
        void acquireLeadership();

        /** Renews the lease; ends in {@link #onLeaseRenewed}, or in nothing if that is unknown. */
        void renewLease(long leaseId);

        /** Releases a lease that is not needed. */
        void releaseLease(long leaseId);

        /**
         * Releases the lease and tells the other controllers that the term has ended, so that they
         * need not wait for grants to expire.
         */
        void handOverLeadership(long endedTerm, long leaseId);

        /** Asks another controller for a grant; ends in {@link #onGrantReceived} if it is given. */
        void requestGrant(String peer, long term, double sentAtSeconds);

        /**
         * Whether this controller replicates the leader's state and the records. If it does not,
         * another one would be ready to lead sooner.
         */
        boolean isFollowing();

        /** This controller leads a new term. */
        void onElected(long term);

        /** This controller does not lead any more. */
        void onLeadershipEnded();
    }

    private static final Logger LOG = LoggerFactory.getLogger(Election.class);

    /** Leases and grants are counted shorter, and one's own grants longer, by this margin. */
    static final double SAFETY_MARGIN_SECONDS = 0.05;

    /** A leader that resigned is no candidate for so long. */
    private static final double RESIGNATION_COOLDOWN_SECONDS = 15;

    /** How long a controller that would be ready later leaves the election to the others. */
    private static final double LESS_PREFERRED_DELAY_SECONDS = 0.4;

    private static final double ACQUISITION_RETRY_SECONDS = 0.2;

    /** The lease is renewed this many times in its length; the first time after a quarter of it. */
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

    /** The newest term that was heard of: the leader of an older one is none any more. */
    private long newestTerm;

    /** The newest term of which its own leader said that it ended. */
    private long newestEndedTerm;

    private double nextRenewalAtSeconds;
    private double nextGrantRequestAtSeconds;
    private double candidacyNotBeforeSeconds;

    /** When the leader key was seen to be gone. */
    private double leaderGoneAtSeconds = Double.NEGATIVE_INFINITY;

    /** Whether {@link #leader} is what the state service, or a leader that resigned, said last. */
    private boolean leaderKeyKnown;

    private String leader;

    private long leaderTerm;

    /** Whether there was a term before; if not, no grant can be outstanding. */
    private boolean hasEarlierTerm = true;

    /** What {@link #isLeader} was at the last tick. */
    private boolean wasLeader;

    /**
     * @param self the name of this controller
     * @param peers the names of the other controllers
     * @param startedAtSeconds when this process started; an earlier one may have given grants until
     *     then
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

    /** The role of this controller. */
    public State state() {
        return state;
    }

    /** Returns the leader that the state service last named, or null if none or unknown. */
    public String leader() {
        return state == State.LEADER ? self : leader;
    }

    /** The newest term that this controller led; 0: none. */
    public long term() {
        return term;
    }

    /** Whether this controller may act as the leader now. */
    public boolean isLeader(double nowSeconds) {
        return state == State.LEADER
                && (nowSeconds < leaseExpiresAtSeconds || receivedGrants.hasAll(nowSeconds));
    }

    /** The only method that changes the state. */
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
     * What the state service says of the leader key.
     *
     * @param holder the controller that holds it; null: the key is absent
     * @param lastTerm the newest term; 0: there was none yet
     */
    public void onLeaderKey(String holder, long holderTerm, long lastTerm, double nowSeconds) {
        leaderKeyKnown = true;
        if (holder == null && leader != null) {
            leaderGoneAtSeconds = nowSeconds;
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
     * Another controller asks for a grant: the promise not to lead for a while. Refused for terms
     * older than the newest one known: the leader of an old term may not know that it was replaced,
     * and with grants of all others it would act beside its successor.
     *
     * @return whether the grant is given
     */
    public boolean onGrantRequested(long requestedTerm, double nowSeconds) {
        if (state != State.FOLLOWER
                || requestedTerm < newestTerm
                || requestedTerm <= newestEndedTerm) {
            return false;
        }
        givenGrants.give(requestedTerm, nowSeconds);
        newestTerm = requestedTerm;
        return true;
    }

    /**
     * The leader of a term says, after it stopped, that it acts no more. A grant for that term need
     * not expire. One for an older term must: that term's leader may not know that it was replaced,
     * and the controller that kept it from acting may have restarted.
     *
     * @param isPreferred whether this controller is to lead next; another one waits a moment, in
     *     case the preferred one is down
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
            leaderKeyKnown = true;
            leader = null;
            candidacyNotBeforeSeconds =
                    Math.max(
                            candidacyNotBeforeSeconds,
                            nowSeconds + (isPreferred ? 0 : LESS_PREFERRED_DELAY_SECONDS));
        }
    }

    /**
     * Another controller gave a grant.
     *
     * @param sentAtSeconds when it was requested
     */
    public void onGrantReceived(String peer, long requestedTerm, double sentAtSeconds) {
        if (state == State.LEADER && requestedTerm == term) {
            receivedGrants.onReceived(peer, sentAtSeconds);
        }
    }

    /**
     * The state service gave this controller the leader key.
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

    /** The leader key was not taken, or nobody knows whether it was. */
    public void onAcquisitionFailed(double nowSeconds) {
        if (state == State.ACQUIRING) {
            candidacyNotBeforeSeconds = nowSeconds + ACQUISITION_RETRY_SECONDS;
            transitionTo(State.CANDIDATE, nowSeconds);
        }
    }

    /**
     * The state service's response to a renewal.
     *
     * @param isAlive false: the lease has expired
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

    private double leaseExpiryAfter(double sentAtSeconds) {
        return sentAtSeconds
                + leaseSeconds * (1 - 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO)
                - SAFETY_MARGIN_SECONDS;
    }

    /** Gives up leading, if this controller leads, as another one can do better. */
    public void resign(String reason, double nowSeconds) {
        if (state == State.LEADER) {
            LOG.info("leadership handed over: term={} reason={}", term, reason);
            long heldLeaseId = leaseId;
            long endedTerm = term;
            candidacyNotBeforeSeconds = nowSeconds + RESIGNATION_COOLDOWN_SECONDS;
            leader = null;
            leaderKeyKnown = false;
            transitionTo(State.FOLLOWER, nowSeconds);
            actions.handOverLeadership(endedTerm, heldLeaseId);
        }
    }

    /** Does what is due. Called often, and after each event. */
    public void tick(double nowSeconds) {
        switch (state) {
            case FOLLOWER -> tickAsFollower(nowSeconds);
            case CANDIDATE -> tickAsCandidate(nowSeconds);
            case ACQUIRING -> {}
            case LEADER -> tickAsLeader(nowSeconds);
        }
    }

    private void tickAsFollower(double nowSeconds) {
        if (leaderKeyKnown
                && leader == null
                && nowSeconds >= candidacyNotBeforeSeconds
                && mayRun(nowSeconds)) {
            transitionTo(State.CANDIDATE, nowSeconds);
        }
    }

    /**
     * A controller that replicates the leader's state goes first. The others wait only a moment, as
     * there may be no such controller, or it may be down.
     */
    private boolean mayRun(double nowSeconds) {
        return !hasEarlierTerm
                || nowSeconds >= leaderGoneAtSeconds + LESS_PREFERRED_DELAY_SECONDS
                || actions.isFollowing();
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
        logAuthorityChange(nowSeconds);
    }

    private void logAuthorityChange(double nowSeconds) {
        boolean isLeader = isLeader(nowSeconds);
        if (isLeader != wasLeader) {
            LOG.info("authority to act changed: term={} leader={}", term, isLeader);
            wasLeader = isLeader;
        }
    }
}
