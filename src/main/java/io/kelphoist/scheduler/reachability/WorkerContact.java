package io.kelphoist.scheduler.reachability;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.ReplicatedMachine;

/**
 * What is known of the messages between the leader and one machine's worker: the newest message by
 * agent epoch and sequence number, when the worker was last heard and last answered, and whether it
 * is reachable. Owns this state; a lease is judged by it, see {@code LeaseMonitor}.
 */
public final class WorkerContact {
    private long agentEpoch;
    private long sequenceNumber;

    /** Heartbeats of this agent epoch and earlier ones are ignored. */
    private long endedAgentEpoch;

    /** The agent epoch that an earlier leader replicated; 0: none. */
    private long replicatedAgentEpoch;

    /** This leader's last answer, or an earlier leader's last possible one. */
    private double lastPossibleResponseAtSeconds;

    private double lastHeartbeatAtSeconds;

    /**
     * The worker was seen to hold the fencing token of this term. A message with an older token was
     * sent before, or by a restarted worker.
     */
    private boolean termConfirmed;

    /** A heartbeat is late, or the worker is suspected not to receive what is sent to it. */
    private boolean possiblyDisconnected;

    /** A batch of direct commands was sent and has not ended. */
    private boolean commandsInFlight;

    private double commandsRetryAtSeconds;

    /** A command of an earlier leader had no response when it was replicated. */
    private boolean previousLeaderCommandUnanswered;

    private final MachineReachability reachability = new MachineReachability();

    /** Creates the contact with the worker of a machine that became known now. */
    public WorkerContact(double nowSeconds) {
        this.lastPossibleResponseAtSeconds = nowSeconds;
        this.lastHeartbeatAtSeconds = nowSeconds;
    }

    // ---- the newest message ----

    /** The agent epoch of the newest message; 0: none is known. */
    public long agentEpoch() {
        return agentEpoch;
    }

    /** The sequence number of the newest message; 0: none is known. */
    public long sequenceNumber() {
        return sequenceNumber;
    }

    /** The newest agent epoch that this leader or an earlier one has seen; 0: none. */
    public long agentEpochHint() {
        return Math.max(agentEpoch, replicatedAgentEpoch);
    }

    /** Whether the heartbeat is newer than all messages before. */
    public boolean isNewer(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(agentEpoch, sequenceNumber);
    }

    /** The heartbeat is the newest message. */
    public void updateNewestMessage(Heartbeat heartbeat) {
        agentEpoch = heartbeat.agentEpoch();
        sequenceNumber = heartbeat.sequenceNumber();
    }

    /** The messages that were known were copies of the time before the worker restarted. */
    public void resetNewestMessage() {
        agentEpoch = 0;
        sequenceNumber = 0;
        reachability.resetNewestHeartbeat();
    }

    /** Whether heartbeats of the epoch are ignored. */
    public boolean isEpochEnded(long epoch) {
        return epoch <= endedAgentEpoch;
    }

    /** Heartbeats of the present agent epoch are ignored from now on. */
    public void endCurrentEpoch() {
        endedAgentEpoch = Math.max(endedAgentEpoch, agentEpoch);
    }

    /** All heartbeats are ignored from now on. */
    public void endAllEpochs() {
        endedAgentEpoch = Long.MAX_VALUE;
    }

    /** Whether the worker was seen to hold the fencing token of this term. */
    public boolean isTermConfirmed() {
        return termConfirmed;
    }

    /** The worker was seen to hold the fencing token of this term. */
    public void confirmTerm() {
        termConfirmed = true;
    }

    // ---- heartbeats and answers ----

    /** The machine became known now; an earlier leader may have answered it until now. */
    public void onDiscovered(double nowSeconds) {
        lastPossibleResponseAtSeconds = nowSeconds;
        lastHeartbeatAtSeconds = nowSeconds;
    }

    /** When the last heartbeat came that is no copy. */
    public double lastHeartbeatAtSeconds() {
        return lastHeartbeatAtSeconds;
    }

    /** A heartbeat came that is no copy. */
    public void onHeartbeat(double nowSeconds) {
        lastHeartbeatAtSeconds = nowSeconds;
        possiblyDisconnected = reachability.isSuspected();
    }

    /** Until when the worker was, or may have been, answered. */
    public double lastPossibleResponseAtSeconds() {
        return lastPossibleResponseAtSeconds;
    }

    /** A heartbeat is answered now, which renews the lease. */
    public void onResponseSent(double nowSeconds) {
        lastPossibleResponseAtSeconds = nowSeconds;
    }

    /** The lease may have begun, or may have been renewed, until now. */
    public void onResponsePossiblySent(double nowSeconds) {
        lastPossibleResponseAtSeconds = Math.max(lastPossibleResponseAtSeconds, nowSeconds);
    }

    // ---- connection ----

    /** Whether the worker receives what is sent to it. */
    public MachineReachability reachability() {
        return reachability;
    }

    /** Whether a heartbeat is late, or the worker is suspected. */
    public boolean isPossiblyDisconnected() {
        return possiblyDisconnected;
    }

    /** Doubts the connection if a heartbeat is late by more than the delay, or it is suspected. */
    public void updateConnectivity(
            double heartbeatIntervalSeconds, double maxDelaySeconds, double nowSeconds) {
        possiblyDisconnected =
                reachability.isSuspected()
                        || nowSeconds
                                > lastHeartbeatAtSeconds
                                        + heartbeatIntervalSeconds
                                        + maxDelaySeconds;
    }

    // ---- direct commands ----

    /** Whether direct commands were sent and have not ended. */
    public boolean hasCommandsInFlight() {
        return commandsInFlight;
    }

    /** Whether no commands are under way, and none failed a short time ago. */
    public boolean canReceiveCommands(double nowSeconds) {
        return !commandsInFlight && nowSeconds >= commandsRetryAtSeconds;
    }

    /** Direct commands are sent now. */
    public void onCommandsSent() {
        commandsInFlight = true;
    }

    /** The direct commands were answered, or got no response. */
    public void onCommandsEnded() {
        commandsInFlight = false;
    }

    /** No direct commands are sent before {@code untilSeconds}. */
    public void postponeCommands(double untilSeconds) {
        commandsRetryAtSeconds = untilSeconds;
    }

    /** Whether a command of an earlier leader may still be on its way. */
    public boolean isPreviousLeaderCommandOutcomeUnknown() {
        return previousLeaderCommandUnanswered;
    }

    // ---- earlier leaders ----

    /**
     * What an earlier leader replicated.
     *
     * @param awaitsFirstHeartbeat no heartbeat of this term has come yet
     */
    public void applyReplicated(ReplicatedMachine replicated, boolean awaitsFirstHeartbeat) {
        replicatedAgentEpoch = replicated.agentEpoch();
        previousLeaderCommandUnanswered = replicated.commandUnanswered();
        if (replicated.possiblyDisconnected() && awaitsFirstHeartbeat) {
            reachability.onDeliveryFailed(lastHeartbeatAtSeconds);
        }
    }

    /** For log lines about an expired lease: whether heartbeats, answers or both were missing. */
    public String summary(double nowSeconds) {
        return "secondsSinceHeartbeat="
                + Math.round(nowSeconds - lastHeartbeatAtSeconds)
                + " secondsSinceAnswer="
                + Math.round(nowSeconds - lastPossibleResponseAtSeconds)
                + " reachability="
                + reachability.state();
    }
}
