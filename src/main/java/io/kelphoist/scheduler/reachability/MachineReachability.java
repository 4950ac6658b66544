package io.kelphoist.scheduler.reachability;

import io.kelphoist.model.Heartbeat;

/**
 * Whether one machine's worker receives what is sent to it, and the order of its heartbeats. Owns
 * both.
 *
 * <p>Heartbeats that arrive do not prove that responses arrive. A worker that gets no response
 * within 4 s sends its next heartbeat to the next controller, and its lease expires although each
 * of its heartbeats was received and a response to it was sent. The worker is proven to receive
 * messages by a response to a direct request, or if its next heartbeat, with no message in between,
 * goes to the controller that responded to the last one.
 *
 * <p>A heartbeat that is no newer than the newest one received is a delayed copy, or the worker
 * restarted within a short time and numbers its messages from 1 again. A probe distinguishes the
 * two: the worker creates its response after the probe was sent, so the response is newer than all
 * messages that had been received by then, unless the worker restarted.
 */
public final class MachineReachability {
    /** The states; {@link #transitionTo} is the only method that changes it. */
    public enum State {
        /** There is no sign that the worker does not receive what is sent to it. */
        REACHABLE,
        /**
         * A request to the worker was not delivered or got no response, or an earlier leader
         * replicated the machine as possibly disconnected: no tasks are started on the machine
         * until the worker is proven to receive messages.
         */
        SUSPECTED,
        /** Suspected for longer than a lease, while its heartbeats arrived. */
        UNREACHABLE
    }

    /** Minimum time between two probes of a machine, which is about its heartbeat interval. */
    private static final double PROBE_INTERVAL_SECONDS = 1.0;

    /**
     * A heartbeat whose sequence number is behind the newest one by at most this many is taken as
     * delayed on a slower path, not as a copy.
     */
    private static final int REORDERING_WINDOW = 3;

    /** The 4 s for which a worker waits for a response, plus the time that the response takes. */
    private static final double RESPONSE_TIMEOUT_SECONDS = 4.5;

    private State state = State.REACHABLE;

    /** When the state last changed from REACHABLE to another one. */
    private double suspectedAtSeconds;

    /** The agent epoch of the newest heartbeat; 0: none was received. */
    private long agentEpoch;

    /** The sequence number of the newest heartbeat. */
    private long sequenceNumber;

    /** The controller that the newest heartbeat was sent to; empty: this one. */
    private String receivingController = "";

    /** A response to the newest heartbeat was sent. */
    private boolean responseSent;

    private boolean probeInFlight;
    private double nextProbeAtSeconds = Double.NEGATIVE_INFINITY;
    private double probeSentAtSeconds;

    /** The agent epoch of the newest message when the last probe was sent. */
    private long probeAgentEpoch;

    /** The sequence number of the newest message when the last probe was sent. */
    private long probeSequenceNumber;

    /** A message with the term's fencing token had been received when the last probe was sent. */
    private boolean probeTermConfirmed;

    /**
     * When a message was last received that a restarted worker may have sent; negative infinity:
     * none was, or a probe has ruled the restart out.
     */
    private double possibleRestartAtSeconds = Double.NEGATIVE_INFINITY;

    /** The worker is known to have restarted. */
    private boolean restarted;

    /**
     * A heartbeat of a new agent epoch that was received before the lease of the previous one can
     * have expired, unless a response was lost. Kept until the outcome of a probe shows whether to
     * apply it; null: none.
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

    /** Whether the state is not {@link State#REACHABLE}. */
    public boolean isSuspected() {
        return state != State.REACHABLE;
    }

    /** For how long the worker has been suspected, in seconds; 0: it is not suspected. */
    public double suspectedForSeconds(double nowSeconds) {
        return isSuspected() ? nowSeconds - suspectedAtSeconds : 0;
    }

    /**
     * Called when a request to the worker was not delivered or got no response, or an earlier
     * leader replicated the machine as possibly disconnected.
     */
    public void onDeliveryFailed(double nowSeconds) {
        if (state == State.REACHABLE) {
            transitionTo(State.SUSPECTED, nowSeconds);
        }
    }

    /** Handles the outcome of a request without response; one that was not attempted is ignored. */
    public void onUndelivered(DeliveryOutcome outcome, double nowSeconds) {
        if (outcome != DeliveryOutcome.NOT_ATTEMPTED) {
            onDeliveryFailed(nowSeconds);
        }
    }

    /** Called when the worker is proven to receive what is sent to it. */
    public void onAcknowledged(double nowSeconds) {
        transitionTo(State.REACHABLE, nowSeconds);
    }

    /** Whether a heartbeat is no newer than the newest one received. */
    public boolean isStale(Heartbeat heartbeat) {
        return agentEpoch > 0 && !heartbeat.isNewerThan(agentEpoch, sequenceNumber);
    }

    /**
     * Whether an old heartbeat was only delayed and overtaken by newer ones, for example at an
     * overloaded controller, so that no probe is needed. A worker that restarted and reached such a
     * sequence number again is detected by its next heartbeat.
     */
    public boolean isReordered(Heartbeat heartbeat) {
        return heartbeat.agentEpoch() == agentEpoch
                && heartbeat.sequenceNumber() + REORDERING_WINDOW >= sequenceNumber;
    }

    /**
     * Handles a heartbeat that is newer than all before, to which a response is sent. It may prove
     * that the worker receives messages, or show that it has been suspected for longer than a
     * lease.
     *
     * @param newestAgentEpoch agent epoch of the newest message that was received before this
     *     heartbeat
     * @param newestSequenceNumber sequence number of that message
     * @param receiver the controller that the heartbeat was sent to; empty: this one
     * @return whether the worker switched to another controller although a response to its last
     *     heartbeat was sent: the response may have been lost
     */
    public boolean onHeartbeat(
            Heartbeat heartbeat,
            long newestAgentEpoch,
            long newestSequenceNumber,
            String receiver,
            double leaseSeconds,
            double nowSeconds) {
        // Without a response the worker would have sent its next heartbeat to the next controller,
        // and to this one again only several sequence numbers later, at the earliest.
        boolean isNext =
                heartbeat.agentEpoch() == newestAgentEpoch
                        && heartbeat.sequenceNumber() == newestSequenceNumber + 1
                        && agentEpoch == newestAgentEpoch;
        boolean switchedController =
                responseSent && isNext && !receiver.equals(receivingController);
        if (responseSent && isNext && receiver.equals(receivingController)) {
            onAcknowledged(nowSeconds);
        } else if (state == State.SUSPECTED && nowSeconds - suspectedAtSeconds > leaseSeconds) {
            transitionTo(State.UNREACHABLE, nowSeconds);
        }
        agentEpoch = heartbeat.agentEpoch();
        sequenceNumber = heartbeat.sequenceNumber();
        receivingController = receiver;
        responseSent = true;
        return switchedController;
    }

    /**
     * Whether the lease that the last response renewed cannot have expired yet, provided that the
     * response arrived: a worker waits 4 s for a response, and counts its lease from when it sent
     * the heartbeat.
     */
    public boolean leaseCannotHaveExpired(
            double lastResponseAtSeconds, double leaseSeconds, double nowSeconds) {
        return responseSent
                && nowSeconds
                        < lastResponseAtSeconds
                                + Math.max(
                                        leaseSeconds / 2, leaseSeconds - RESPONSE_TIMEOUT_SECONDS);
    }

    /** Whether no probe is in flight and the minimum time since the last one has passed. */
    public boolean isProbeDue(double nowSeconds) {
        return !probeInFlight && nowSeconds >= nextProbeAtSeconds;
    }

    /**
     * Called when a probe is sent.
     *
     * @param newestAgentEpoch agent epoch of the newest message that was received
     * @param newestSequenceNumber sequence number of that message
     * @param termConfirmed whether a message with the term's fencing token was received
     */
    public void onProbeSent(
            long newestAgentEpoch,
            long newestSequenceNumber,
            boolean termConfirmed,
            double nowSeconds) {
        probeInFlight = true;
        probeTermConfirmed = termConfirmed;
        probeAgentEpoch = newestAgentEpoch;
        probeSequenceNumber = newestSequenceNumber;
        probeSentAtSeconds = nowSeconds;
        nextProbeAtSeconds = nowSeconds + PROBE_INTERVAL_SECONDS;
    }

    /** Called for the outcome of the last probe: a response, or none. */
    public void onProbeFinished() {
        probeInFlight = false;
    }

    /** Keeps a heartbeat until the outcome of a probe shows whether to apply it. */
    public void deferImplausibleHeartbeat(Heartbeat heartbeat) {
        implausibleHeartbeat = heartbeat;
    }

    /** Returns the deferred heartbeat and no longer keeps it; null: none was deferred. */
    public Heartbeat takeImplausibleHeartbeat() {
        Heartbeat heartbeat = implausibleHeartbeat;
        implausibleHeartbeat = null;
        return heartbeat;
    }

    /**
     * Whether the response to the last probe proves that the worker restarted after it sent the
     * newest message that was received before the probe.
     */
    public boolean provesRestart(Heartbeat response, long term) {
        return (probeAgentEpoch > 0 && !response.isNewerThan(probeAgentEpoch, probeSequenceNumber))
                || (probeTermConfirmed && response.fencingToken() < term);
    }

    /**
     * Resets the newest heartbeat to none: the heartbeats that were received are copies from before
     * the worker restarted.
     */
    void resetNewestHeartbeat() {
        agentEpoch = 0;
        sequenceNumber = 0;
    }

    /**
     * Called when the response to the last probe shows no restart: the worker had not restarted by
     * the time the probe was sent.
     */
    public void onNoRestartSeen() {
        if (possibleRestartAtSeconds <= probeSentAtSeconds) {
            possibleRestartAtSeconds = Double.NEGATIVE_INFINITY;
        }
    }

    /**
     * Called for a heartbeat that a restarted worker may have sent. Such a worker may still execute
     * commands that were sent before, and run their tasks for one lease from now.
     */
    public void markPossibleRestart(double nowSeconds) {
        possibleRestartAtSeconds = nowSeconds;
    }

    /**
     * When a message was last received that a restarted worker may have sent; negative infinity:
     * none was, or a probe has ruled the restart out.
     */
    public double possibleRestartAtSeconds() {
        return possibleRestartAtSeconds;
    }

    /**
     * Called when the worker is known to have restarted: its machine is terminated, and its
     * heartbeats are refused.
     */
    public void markRestarted() {
        restarted = true;
    }

    /** Whether the worker is known to have restarted, see {@link #markRestarted}. */
    public boolean hasRestarted() {
        return restarted;
    }
}
