package io.kelphoist.scheduler.reachability;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.ReplicatedMachine;

/**
 * State of the communication between the leader and one machine's worker: the newest message by
 * agent epoch and sequence number, the times of the last heartbeat and the last response to one,
 * and whether the worker is reachable. Owns this state, from which {@code LeaseMonitor} decides
 * whether the machine's lease has expired.
 */
public final class WorkerContact {
    /** The agent epoch of the newest message; 0: none was received. */
    private long agentEpoch;

    /** The sequence number of the newest message; 0: none was received. */
    private long sequenceNumber;

    /** Heartbeats of this agent epoch and earlier ones are refused; 0: none are. */
    private long endedAgentEpoch;

    /** The agent epoch that an earlier leader replicated; 0: none. */
    private long replicatedAgentEpoch;

    /**
     * When this leader last responded to a heartbeat, or an earlier leader last may have. The lease
     * is counted from this time.
     */
    private double lastPossibleResponseAtSeconds;

    /**
     * When the last heartbeat was received that is not a copy; at first, when the machine was
     * requested or adopted.
     */
    private double lastHeartbeatAtSeconds;

    /**
     * A message of the worker contained the fencing token of this term. A message with an older
     * fencing token was sent before that one, or by a restarted worker.
     */
    private boolean termConfirmed;

    /** A heartbeat is overdue, or the worker is suspected not to receive messages. */
    private boolean possiblyDisconnected;

    /** A batch of direct commands was sent and its outcome is not reported yet. */
    private boolean commandsInFlight;

    /** No direct commands are sent before this time. */
    private double commandsRetryAtSeconds;

    /**
     * A command of an earlier leader had no response yet when that leader replicated the machine:
     * its outcome is unknown.
     */
    private boolean previousLeaderCommandOutcomeUnknown;

    private final MachineReachability reachability = new MachineReachability();

    /**
     * Creates the state for a machine.
     *
     * @param leaseFromSeconds the time from which its lease is counted, unless {@link
     *     #onDiscovered} is called
     */
    public WorkerContact(double leaseFromSeconds) {
        this.lastPossibleResponseAtSeconds = leaseFromSeconds;
        this.lastHeartbeatAtSeconds = leaseFromSeconds;
    }

    // ---- the newest message ----

    /** The agent epoch of the newest message; 0: none was received. */
    public long agentEpoch() {
        return agentEpoch;
    }

    /** The sequence number of the newest message; 0: none was received. */
    public long sequenceNumber() {
        return sequenceNumber;
    }

    /** The newest agent epoch that this leader received or an earlier one replicated; 0: none. */
    public long agentEpochHint() {
        return Math.max(agentEpoch, replicatedAgentEpoch);
    }

    /** Whether the heartbeat is newer than the newest message. */
    public boolean isNewer(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(agentEpoch, sequenceNumber);
    }

    /** Sets the newest message to this heartbeat. */
    public void updateNewestMessage(Heartbeat heartbeat) {
        agentEpoch = heartbeat.agentEpoch();
        sequenceNumber = heartbeat.sequenceNumber();
    }

    /**
     * Resets the newest message to none: the messages that were received are copies from before the
     * worker restarted.
     */
    public void resetNewestMessage() {
        agentEpoch = 0;
        sequenceNumber = 0;
        reachability.resetNewestHeartbeat();
    }

    /** Whether heartbeats of this agent epoch are refused. */
    public boolean isEpochEnded(long epoch) {
        return epoch <= endedAgentEpoch;
    }

    /**
     * Ends the present agent epoch: heartbeats of it and of earlier ones are refused from now on.
     */
    public void endCurrentEpoch() {
        endedAgentEpoch = Math.max(endedAgentEpoch, agentEpoch);
    }

    /** Ends all agent epochs: all heartbeats are refused from now on. */
    public void endAllEpochs() {
        endedAgentEpoch = Long.MAX_VALUE;
    }

    /** Whether a message of the worker contained the fencing token of this term. */
    public boolean isTermConfirmed() {
        return termConfirmed;
    }

    /** Called when a message of the worker contains the fencing token of this term. */
    public void confirmTerm() {
        termConfirmed = true;
    }

    // ---- heartbeats and responses ----

    /**
     * Called when the machine is adopted: an earlier leader may have responded to its heartbeats
     * until now.
     */
    public void onDiscovered(double nowSeconds) {
        lastPossibleResponseAtSeconds = nowSeconds;
        lastHeartbeatAtSeconds = nowSeconds;
    }

    /**
     * When the last heartbeat was received that is not a copy; before the first one, when the
     * machine was requested or adopted.
     */
    public double lastHeartbeatAtSeconds() {
        return lastHeartbeatAtSeconds;
    }

    /** Called for a heartbeat that is not a copy. */
    public void onHeartbeat(double nowSeconds) {
        lastHeartbeatAtSeconds = nowSeconds;
        possiblyDisconnected = reachability.isSuspected();
    }

    /** When this leader last responded to a heartbeat, or an earlier leader last may have. */
    public double lastPossibleResponseAtSeconds() {
        return lastPossibleResponseAtSeconds;
    }

    /** Called when a response to a heartbeat is sent, which renews the lease. */
    public void onResponseSent(double nowSeconds) {
        lastPossibleResponseAtSeconds = nowSeconds;
    }

    /**
     * Called when a response may have been sent, or a lease may have begun, at any time until now.
     */
    public void onResponsePossiblySent(double nowSeconds) {
        lastPossibleResponseAtSeconds = Math.max(lastPossibleResponseAtSeconds, nowSeconds);
    }

    // ---- connection ----

    /** Whether the worker receives what the leader sends. */
    public MachineReachability reachability() {
        return reachability;
    }

    /** Whether a heartbeat is overdue, or the worker is suspected not to receive messages. */
    public boolean isPossiblyDisconnected() {
        return possiblyDisconnected;
    }

    /**
     * Updates {@link #isPossiblyDisconnected}.
     *
     * @param maxIntervalSeconds the longest regular interval between two heartbeats
     * @param maxDelaySeconds a heartbeat that is not received within the interval plus this delay
     *     is overdue
     */
    public void updateConnectivity(
            double maxIntervalSeconds, double maxDelaySeconds, double nowSeconds) {
        possiblyDisconnected =
                reachability.isSuspected()
                        || nowSeconds
                                > lastHeartbeatAtSeconds + maxIntervalSeconds + maxDelaySeconds;
    }

    // ---- direct commands ----

    /** Whether direct commands were sent and their outcome is not reported yet. */
    public boolean hasCommandsInFlight() {
        return commandsInFlight;
    }

    /**
     * Whether no direct commands are in flight, and the delay after undelivered ones has passed.
     */
    public boolean canReceiveCommands(double nowSeconds) {
        return !commandsInFlight && nowSeconds >= commandsRetryAtSeconds;
    }

    /** Called when direct commands are sent. */
    public void onCommandsSent() {
        commandsInFlight = true;
    }

    /** Called for the outcome of the direct commands: a response, or none. */
    public void onCommandsEnded() {
        commandsInFlight = false;
    }

    /** Sets the time before which no direct commands are sent. */
    public void postponeCommands(double untilSeconds) {
        commandsRetryAtSeconds = untilSeconds;
    }

    /** Whether a command of an earlier leader may still be delivered. */
    public boolean isPreviousLeaderCommandOutcomeUnknown() {
        return previousLeaderCommandOutcomeUnknown;
    }

    // ---- earlier leaders ----

    /**
     * Applies what an earlier leader replicated of this machine.
     *
     * @param awaitsFirstHeartbeat whether the worker has not acknowledged this term yet
     */
    public void applyReplicated(ReplicatedMachine replicated, boolean awaitsFirstHeartbeat) {
        replicatedAgentEpoch = replicated.agentEpoch();
        previousLeaderCommandOutcomeUnknown = replicated.commandOutcomeUnknown();
        if (replicated.possiblyDisconnected() && awaitsFirstHeartbeat) {
            reachability.onDeliveryFailed(lastHeartbeatAtSeconds);
        }
    }

    /**
     * Fields for log lines about an expired lease or an ended agent epoch, which show whether
     * heartbeats, responses or both were missing.
     */
    public String summary(double nowSeconds) {
        return "secondsSinceHeartbeat="
                + Math.round(nowSeconds - lastHeartbeatAtSeconds)
                + " secondsSinceResponse="
                + Math.round(nowSeconds - lastPossibleResponseAtSeconds)
                + " reachability="
                + reachability.state();
    }
}
