package io.kelphoist.scheduler.reachability;

import io.kelphoist.model.Heartbeat;

/**
 * Whether one machine's worker receives what is sent to it, and what is known of the order of its
 * messages. Owns both.
 *
 * <p>That heartbeats arrive says nothing of the way back. A worker without an answer gives up after
 * 4 s, tries the next controller, and loses its lease although each of its heartbeats was received
 * and answered. What shows that it receives is a response to a command or a probe, or a heartbeat
 * to the controller that answered the last one, with no message in between.
 *
 * <p>A heartbeat that is no newer than the newest one seen is a copy that comes late, or the worker
 * restarted within a moment and counts from 1 again. Both are possible until a probe tells them
 * apart: a probe is answered after it was sent, so its response is newer than all that was known
 * then, unless the worker restarted.
 */
public final class MachineReachability {
    /** The states; {@link #transitionTo} is the only method that changes it. */
    public enum State {
        /** Nothing speaks against it. */
        REACHABLE,
        /** Something was not delivered: it gets no new work until it is known to receive. */
        SUSPECTED,
        /** Suspected for longer than a lease, while its heartbeats came. */
        UNREACHABLE
    }

    /** Least time between two probes of a machine: it sends heartbeats about as often. */
    private static final double PROBE_INTERVAL_SECONDS = 1.0;

    /**
     * A heartbeat that is this much older than the newest one took a slower path; it is no copy.
     */
    private static final int REORDERING_WINDOW = 3;

    /** How long a worker waits for an answer, and a little for its way. */
    private static final double RESPONSE_TIMEOUT_SECONDS = 4.5;

    private State state = State.REACHABLE;
    private double suspectedAtSeconds;

    /** The newest heartbeat, by agent epoch and sequence number. */
    private long agentEpoch;

    private long sequenceNumber;

    /** The controller that the newest heartbeat was sent to; empty: this one. */
    private String receivingController = "";

    /** The newest heartbeat was answered. */
    private boolean answered;

    private boolean probeInFlight;
    private double nextProbeAtSeconds = Double.NEGATIVE_INFINITY;
    private double probeSentAtSeconds;

    /** The newest message that was known when the last probe was sent. */
    private long probeAgentEpoch;

    private long probeSequenceNumber;

    /** The worker was known then to hold the term's fencing token. */
    private boolean probeTermConfirmed;

    /** When a message last came that a restarted worker may have sent. */
    private double possibleRestartAtSeconds = Double.NEGATIVE_INFINITY;

    private boolean restarted;

    /**
     * A heartbeat of an agent epoch that can hardly have begun, kept until a probe tells; null:
     * none.
     */
    private Heartbeat implausibleHeartbeat;

    /** The only method that changes the state. */
    private void transitionTo(State next, double nowSeconds) {
        if (state == State.REACHABLE && next != State.REACHABLE) {
            suspectedAtSeconds = nowSeconds;
        }
        state = next;
    }

    /** Its state. */
    public State state() {
        return state;
    }

    /** Whether something speaks against its being reachable. */
    public boolean isSuspected() {
        return state != State.REACHABLE;
    }

    /** For how long it has been suspected, in seconds; 0: it is not. */
    public double suspectedForSeconds(double nowSeconds) {
        return isSuspected() ? nowSeconds - suspectedAtSeconds : 0;
    }

    /** Something sent to it did not arrive, or had no response. */
    public void onDeliveryFailed(double nowSeconds) {
        if (state == State.REACHABLE) {
            transitionTo(State.SUSPECTED, nowSeconds);
        }
    }

    /** How something ended that had no response; what was not attempted says nothing. */
    public void onUndelivered(DeliveryOutcome outcome, double nowSeconds) {
        if (outcome != DeliveryOutcome.NOT_ATTEMPTED) {
            onDeliveryFailed(nowSeconds);
        }
    }

    /** It acted on what was sent to it. */
    public void onAcknowledged(double nowSeconds) {
        transitionTo(State.REACHABLE, nowSeconds);
    }

    /** Whether a heartbeat is no newer than the newest one seen. */
    public boolean isStale(Heartbeat heartbeat) {
        return agentEpoch > 0 && !heartbeat.isNewerThan(agentEpoch, sequenceNumber);
    }

    /**
     * Whether an old heartbeat was only held up on its way while the next ones came, as by a
     * controller that is behind: no reason to probe. A worker that restarted and counted that far
     * is detected by its next heartbeat.
     */
    public boolean isReordered(Heartbeat heartbeat) {
        return heartbeat.agentEpoch() == agentEpoch
                && heartbeat.sequenceNumber() + REORDERING_WINDOW >= sequenceNumber;
    }

    /**
     * A new heartbeat came.
     *
     * @param newestAgentEpoch of the newest message that was known before, with {@code
     *     newestSequenceNumber}
     * @param receiver the controller that it was sent to
     * @return whether the worker switched to another controller although its last heartbeat was
     *     answered: perhaps the answer did not arrive
     */
    public boolean onHeartbeat(
            Heartbeat heartbeat,
            long newestAgentEpoch,
            long newestSequenceNumber,
            String receiver,
            double leaseSeconds,
            double nowSeconds) {
        // Without an answer it would have gone on to the next controller, and be back here some
        // numbers later at the earliest.
        boolean isNext =
                heartbeat.agentEpoch() == newestAgentEpoch
                        && heartbeat.sequenceNumber() == newestSequenceNumber + 1
                        && agentEpoch == newestAgentEpoch;
        boolean switchedController = answered && isNext && !receiver.equals(receivingController);
        if (answered && isNext && receiver.equals(receivingController)) {
            onAcknowledged(nowSeconds);
        } else if (state == State.SUSPECTED && nowSeconds - suspectedAtSeconds > leaseSeconds) {
            transitionTo(State.UNREACHABLE, nowSeconds);
        }
        agentEpoch = heartbeat.agentEpoch();
        sequenceNumber = heartbeat.sequenceNumber();
        receivingController = receiver;
        answered = true;
        return switchedController;
    }

    /**
     * Whether the lease that the last answer renewed is surely alive: a worker waits 4 s for an
     * answer, and counts its lease from when it sent the heartbeat.
     */
    public boolean leaseCannotHaveExpired(
            double lastAnsweredAtSeconds, double leaseSeconds, double nowSeconds) {
        return answered
                && nowSeconds
                        < lastAnsweredAtSeconds
                                + Math.max(
                                        leaseSeconds / 2, leaseSeconds - RESPONSE_TIMEOUT_SECONDS);
    }

    /** Whether a probe is to be sent now. */
    public boolean isProbeDue(double nowSeconds) {
        return !probeInFlight && nowSeconds >= nextProbeAtSeconds;
    }

    /** A probe is sent; the parameters are what is known of the worker's messages. */
    public void onProbeSent(
            long knownAgentEpoch,
            long knownSequenceNumber,
            boolean termConfirmed,
            double nowSeconds) {
        probeInFlight = true;
        probeTermConfirmed = termConfirmed;
        probeAgentEpoch = knownAgentEpoch;
        probeSequenceNumber = knownSequenceNumber;
        probeSentAtSeconds = nowSeconds;
        nextProbeAtSeconds = nowSeconds + PROBE_INTERVAL_SECONDS;
    }

    /** The last probe was answered, or got no response. */
    public void onProbeFinished() {
        probeInFlight = false;
    }

    /** Keeps a heartbeat until the outcome of a probe tells whether to apply it. */
    public void deferImplausibleHeartbeat(Heartbeat heartbeat) {
        implausibleHeartbeat = heartbeat;
    }

    /** The heartbeat that was deferred, which is not kept any longer; null: none was. */
    public Heartbeat takeImplausibleHeartbeat() {
        Heartbeat heartbeat = implausibleHeartbeat;
        implausibleHeartbeat = null;
        return heartbeat;
    }

    /**
     * Whether the response to the last probe proves that the worker restarted after its newest
     * known message.
     */
    public boolean provesRestart(Heartbeat response, long term) {
        return (probeAgentEpoch > 0 && !response.isNewerThan(probeAgentEpoch, probeSequenceNumber))
                || (probeTermConfirmed && response.fencingToken() < term);
    }

    /** The heartbeats that were known were copies of the time before the worker restarted. */
    void resetNewestHeartbeat() {
        agentEpoch = 0;
        sequenceNumber = 0;
    }

    /**
     * The last probe was answered by the worker as it was known: until the probe was sent it had
     * not restarted.
     */
    public void onNoRestartSeen() {
        if (possibleRestartAtSeconds <= probeSentAtSeconds) {
            possibleRestartAtSeconds = Double.NEGATIVE_INFINITY;
        }
    }

    /**
     * A heartbeat may be of a restarted worker: it may yet execute what was sent before, for a
     * lease from now on.
     */
    public void markPossibleRestart(double nowSeconds) {
        possibleRestartAtSeconds = nowSeconds;
    }

    /** When the worker last may have restarted; negative infinity: it surely has not. */
    public double possibleRestartAtSeconds() {
        return possibleRestartAtSeconds;
    }

    /** The worker restarted: its machine is terminated, and its heartbeats are not answered. */
    public void markRestarted() {
        restarted = true;
    }

    /** Whether {@link #markRestarted} was called. */
    public boolean hasRestarted() {
        return restarted;
    }
}
