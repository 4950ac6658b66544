package io.kelphoist.delegation;

import com.google.common.collect.ImmutableSet;

/**
 * State machine of the delegation that this controller holds. While the delegation is {@link
 * State#ACTIVE} and no leader is heard, the controller may renew the leases of the workers in its
 * zone, under the fencing token that they already hold and without any command. It never starts or
 * stops a task under a delegation.
 *
 * <p>Owns the state of the held delegation. Performs no I/O: events and the time (this process's
 * monotonic clock, in seconds) are passed in. Confined to the controller's event loop.
 */
public final class HeldDelegation {
    /** States of the delegation; {@link #transitionTo} is the only method that changes them. */
    public enum State {
        /** No delegation was received, or a newer term has ended it. */
        NONE,
        /** A delegation is held and the leader was heard recently. */
        HELD,
        /** The leader is silent: leases may be renewed. */
        ACTIVE,
        /** The delegation's time has run out. */
        EXPIRED
    }

    private final DelegationTiming timing;
    private final String localZone;
    private final long incarnation;
    private State state = State.NONE;
    private long term;
    private long sequenceNumber;
    private double expiresAtSeconds;
    private ImmutableSet<String> excludedMachines = ImmutableSet.of();
    private double lastLeaderMessageAtSeconds = Double.NEGATIVE_INFINITY;
    private double lastRenewalAtSeconds = Double.NEGATIVE_INFINITY;

    /** Whether the delegation was given by this controller to itself while it was the leader. */
    private boolean selfOffered;

    /**
     * Creates the state machine without a delegation.
     *
     * @param localZone the zone whose workers this controller may serve
     * @param incarnation unique among all processes of this controller
     */
    public HeldDelegation(DelegationTiming timing, String localZone, long incarnation) {
        this.timing = timing;
        this.localZone = localZone;
        this.incarnation = incarnation;
    }

    private void transitionTo(State nextState) {
        state = nextState;
    }

    /** Returns the state at a moment, after the transitions that are due by then. */
    public State state(double nowSeconds) {
        boolean isLeaderSilent =
                selfOffered
                        || nowSeconds >= lastLeaderMessageAtSeconds + timing.leaderSilenceSeconds();
        if (state == State.HELD && isLeaderSilent) {
            transitionTo(State.ACTIVE);
        }
        if ((state == State.HELD || state == State.ACTIVE) && nowSeconds >= expiresAtSeconds) {
            transitionTo(State.EXPIRED);
        }
        return state;
    }

    /** The newest term that was seen here. */
    public long term() {
        return term;
    }

    /**
     * When this controller last renewed a lease under a delegation; negative infinity if this
     * process never did.
     */
    public double lastRenewalAtSeconds() {
        return lastRenewalAtSeconds;
    }

    /**
     * A message of a leader arrived. A newer term ends a delegation of an older one at once;
     * messages of older terms are ignored.
     */
    public void onLeaderMessage(long leaderTerm, double nowSeconds) {
        if (leaderTerm < term) {
            return;
        }
        onTermObserved(leaderTerm);
        lastLeaderMessageAtSeconds = Math.max(lastLeaderMessageAtSeconds, nowSeconds);
        selfOffered = false;
        if (state == State.ACTIVE) {
            transitionTo(State.HELD);
        }
    }

    /** A term exists; if it is newer than the held delegation's, that delegation ends. */
    public void onTermObserved(long newerTerm) {
        if (newerTerm > term) {
            term = newerTerm;
            sequenceNumber = 0;
            selfOffered = false;
            transitionTo(State.NONE);
        }
    }

    /**
     * The leader gives, renews or revokes a delegation; call {@link #onLeaderMessage} first. Offers
     * of another term, for another process or older than the newest one are ignored.
     */
    public void onOffer(DelegationOffer offer, double nowSeconds) {
        if (offer.term() != term
                || offer.incarnation() != incarnation
                || offer.sequenceNumber() <= sequenceNumber) {
            return;
        }
        apply(offer, nowSeconds);
        selfOffered = false;
    }

    /**
     * This controller is the leader and gives itself a delegation, to be used when it can no longer
     * act as leader.
     */
    public void onOwnOffer(DelegationOffer offer, double nowSeconds) {
        if (offer.term() >= term) {
            term = offer.term();
            apply(offer, nowSeconds);
            selfOffered = true;
        }
    }

    private void apply(DelegationOffer offer, double nowSeconds) {
        sequenceNumber = offer.sequenceNumber();
        // The start is a clock value that this process reported, so it can't be in its future; the
        // bound protects against a leader that sends another value.
        expiresAtSeconds =
                Math.min(offer.startsAtSeconds(), nowSeconds) + timing.delegationSeconds();
        excludedMachines = offer.excludedMachines();
        transitionTo(State.HELD);
    }

    /** Sequence number of the newest offer accepted from a term; 0 if there is none. */
    public long sequenceNumberOf(long leaderTerm) {
        return leaderTerm == term ? sequenceNumber : 0;
    }

    /**
     * What this controller reports about itself to the leader of a term.
     *
     * @param uptimeSeconds time since this process started
     */
    public PeerStatus statusFor(long leaderTerm, double uptimeSeconds, double nowSeconds) {
        return new PeerStatus(
                incarnation,
                nowSeconds,
                uptimeSeconds,
                nowSeconds - lastRenewalAtSeconds,
                sequenceNumberOf(leaderTerm));
    }

    /** Identifies this process among all processes of this controller. */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Whether a worker's lease may be renewed here now: the delegation is active, the worker is in
     * this zone, is not excluded and holds the delegation's term. A newer term in the worker's
     * fencing token ends the delegation.
     */
    public boolean allowsRenewal(
            String machineName, String machineZone, long fencingToken, double nowSeconds) {
        if (fencingToken > term) {
            onTermObserved(fencingToken);
        }
        return state(nowSeconds) == State.ACTIVE
                && fencingToken == term
                && machineZone.equals(localZone)
                && !excludedMachines.contains(machineName);
    }

    /** A lease was renewed under the delegation. */
    public void onRenewal(double nowSeconds) {
        lastRenewalAtSeconds = nowSeconds;
    }
}
