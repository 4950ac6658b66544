package io.kelphoist.delegation;

import com.google.common.collect.ImmutableSet;

/**
 * State machine of the delegation that this controller holds. While the delegation is {@link
 * State#ACTIVE}, because no message of a leader arrives or because this controller offered it to
 * itself, the controller may renew the worker leases in its zone. It responds with the fencing
 * token that the workers already hold and sends no commands: it never starts or stops a task under
 * a delegation.
 *
 * <p>Owns the state of the held delegation. Performs no I/O: events and the time (this process's
 * monotonic clock, in seconds) are passed in. Confined to the controller's event loop.
 */
public final class HeldDelegation {
    /**
     * States of the delegation. {@link #transitionTo} is the only method that changes the state.
     */
    public enum State {
        /** No delegation was received, or a newer term ended it. */
        NONE,
        /** A delegation is held, and a message of the leader arrived recently. */
        HELD,
        /**
         * Leases may be renewed: a delegation is held, and no message of the leader arrives, or it
         * was offered by this controller to itself.
         */
        ACTIVE,
        /** The duration of the delegation has ended, or it was revoked. */
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

    /** Whether this controller offered the delegation to itself while it was the leader. */
    private boolean selfOffered;

    /**
     * Creates the state machine without a delegation.
     *
     * @param localZone the zone in which this controller may renew worker leases
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

    /** Returns the state at a time, after performing the transitions that are due by then. */
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

    /** Returns the newest term that this controller has observed; 0 if it has observed none. */
    public long term() {
        return term;
    }

    /**
     * Returns when this process last renewed a lease under a delegation; negative infinity if it
     * never did.
     */
    public double lastRenewalAtSeconds() {
        return lastRenewalAtSeconds;
    }

    /**
     * A message of a leader arrived. A newer term ends a delegation of an older one immediately;
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

    /**
     * A message or a worker's fencing token contained a term. If the term is newer than the one of
     * the held delegation, that delegation ends.
     */
    public void onTermObserved(long observedTerm) {
        if (observedTerm > term) {
            term = observedTerm;
            sequenceNumber = 0;
            selfOffered = false;
            transitionTo(State.NONE);
        }
    }

    /**
     * The leader offered, renewed or revoked a delegation. {@link #onLeaderMessage} must be called
     * first. Offers of another term, for another process or older than the newest one are ignored.
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
     * This controller is the leader and offers a delegation to itself, which becomes {@link
     * State#ACTIVE} without waiting for the leader to be silent. The caller uses it only once this
     * controller is no longer authorized to act as the leader. Ignored if a newer term was
     * observed.
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
        // The start is not later than a clock value that this process reported, so it cannot be in
        // its future. The bound protects against a leader that sends another value.
        expiresAtSeconds =
                Math.min(offer.startsAtSeconds(), nowSeconds) + timing.delegationSeconds();
        excludedMachines = offer.excludedMachines();
        transitionTo(State.HELD);
    }

    /** Returns the sequence number of the newest offer accepted from a term; 0 if there is none. */
    public long sequenceNumberOf(long leaderTerm) {
        return leaderTerm == term ? sequenceNumber : 0;
    }

    /**
     * Returns the status that this controller reports to the leader of a term.
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

    /** Returns the number that identifies this process among all processes of this controller. */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Whether this controller may renew a worker's lease now: the delegation is active, and the
     * worker is in this zone, is not excluded and holds the fencing token of the delegation's term.
     * If the worker's fencing token is of a newer term, the delegation ends.
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

    /** This controller renewed a lease under the delegation. */
    public void onRenewal(double nowSeconds) {
        lastRenewalAtSeconds = nowSeconds;
    }
}
