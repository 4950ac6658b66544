package io.kelphoist.metrics;

/**
 * Counters of one controller since its process started.
 *
 * <p>All updates are made on the event loop, so that each field has a single writer. The fields are
 * volatile, so that the metrics may read them on any thread. An update allocates no memory, because
 * it is part of handling each heartbeat and each scheduling decision.
 */
public final class ControllerCounters {
    private volatile long heartbeats;
    private volatile long relayedHeartbeats;
    private volatile long delegatedRenewals;
    private volatile long withheldResponses;
    private volatile long startsSent;
    private volatile long startsRepeated;
    private volatile double startWaitSeconds;
    private volatile long commandsSent;
    private volatile long commandsWithUnknownOutcome;
    private volatile long statusRequests;
    private volatile long reachabilityProbes;
    private volatile long malformedMessages;
    private volatile long unexpectedErrors;
    private volatile long refusedRequestsCutOff;
    private volatile long decisions;
    private volatile double decisionSeconds;
    private volatile double heartbeatSeconds;

    /** Not a metric; used only on the event loop. */
    private double lastDirectHeartbeatAtSeconds;

    /** Counts a heartbeat that a worker sent to this controller, whichever controller leads. */
    public void onHeartbeat() {
        heartbeats++;
    }

    /** Counts a heartbeat that is relayed to the leader. */
    public void onHeartbeatRelayed() {
        relayedHeartbeats++;
    }

    /** Counts a renewal of a worker lease under a lease delegation, without a leader. */
    public void onDelegatedRenewal() {
        delegatedRenewals++;
    }

    /**
     * Counts a lease renewal or a task start that the leader withheld, as its cancellation
     * watermark was too old.
     */
    public void onResponseWithheld() {
        withheldResponses++;
    }

    /**
     * Counts the task starts in a response to a heartbeat.
     *
     * @param sent how many were sent for the first time
     * @param repeated how many were sent again, as the worker did not receive them
     * @param waitSeconds sum of the times from the decision of those that were sent for the first
     *     time
     */
    public void onStartsSent(int sent, int repeated, double waitSeconds) {
        startsSent += sent;
        startsRepeated += repeated;
        startWaitSeconds += waitSeconds;
    }

    /** Counts a delivery of commands to a worker outside of a heartbeat response. */
    public void onCommandsSent() {
        commandsSent++;
    }

    /** Counts a delivery of commands without a response: the worker may have received them. */
    public void onCommandOutcomeUnknown() {
        commandsWithUnknownOutcome++;
    }

    /** Counts a status request that a new leader sends to a machine. */
    public void onStatusRequested() {
        statusRequests++;
    }

    /** Counts a reachability probe that the leader sends to a machine. */
    public void onReachabilityProbe() {
        reachabilityProbes++;
    }

    /** Counts a message or response that could not be decoded. */
    public void onMalformedMessage() {
        malformedMessages++;
    }

    /** Counts a task of the event loop that failed with an unhandled exception. */
    public void onUnexpectedError() {
        unexpectedErrors++;
    }

    /** Counts a refused request whose connection is closed before its body was discarded. */
    public void onRefusedRequestCutOff() {
        refusedRequestsCutOff++;
    }

    /**
     * Counts a scheduling decision of the leader.
     *
     * @param durationSeconds how long it occupied the event loop
     */
    public void onDecision(double durationSeconds) {
        decisions++;
        decisionSeconds += durationSeconds;
    }

    /**
     * Adds the time in which the leader handled a heartbeat.
     *
     * @param durationSeconds how long it occupied the event loop
     */
    public void onHeartbeatHandled(double durationSeconds) {
        heartbeatSeconds += durationSeconds;
    }

    /** Notes that a worker sent a heartbeat directly to this controller while it led. */
    public void onDirectHeartbeat(double nowSeconds) {
        lastDirectHeartbeatAtSeconds = nowSeconds;
    }

    /** Number of heartbeats that workers sent directly to this controller. */
    public long heartbeats() {
        return heartbeats;
    }

    /** Number of heartbeats relayed to the leader. */
    public long relayedHeartbeats() {
        return relayedHeartbeats;
    }

    /** Number of worker leases renewed under a lease delegation. */
    public long delegatedRenewals() {
        return delegatedRenewals;
    }

    /** Number of lease renewals and task starts that were withheld. */
    public long withheldResponses() {
        return withheldResponses;
    }

    /** Number of task starts that were sent for the first time. */
    public long startsSent() {
        return startsSent;
    }

    /** Number of task starts that were sent again. */
    public long startsRepeated() {
        return startsRepeated;
    }

    /** Sum of the times from the decision of each task start until it was sent. */
    public double startWaitSeconds() {
        return startWaitSeconds;
    }

    /** Number of deliveries of commands outside of heartbeat responses. */
    public long commandsSent() {
        return commandsSent;
    }

    /** Number of deliveries of commands whose outcome is unknown. */
    public long commandsWithUnknownOutcome() {
        return commandsWithUnknownOutcome;
    }

    /** Number of status requests sent by a new leader. */
    public long statusRequests() {
        return statusRequests;
    }

    /** Number of reachability probes. */
    public long reachabilityProbes() {
        return reachabilityProbes;
    }

    /** Number of messages and responses that could not be decoded. */
    public long malformedMessages() {
        return malformedMessages;
    }

    /** Number of tasks of the event loop that failed with an unhandled exception. */
    public long unexpectedErrors() {
        return unexpectedErrors;
    }

    /** Number of refused requests whose connections were closed at a bound. */
    public long refusedRequestsCutOff() {
        return refusedRequestsCutOff;
    }

    /** Number of scheduling decisions. */
    public long decisions() {
        return decisions;
    }

    /** Total time of all scheduling decisions, in seconds. */
    public double decisionSeconds() {
        return decisionSeconds;
    }

    /** Total time in which the leader handled heartbeats, in seconds. */
    public double heartbeatSeconds() {
        return heartbeatSeconds;
    }

    /** Time of the last {@link #onDirectHeartbeat}, on the event loop's clock; 0 if none. */
    public double lastDirectHeartbeatAtSeconds() {
        return lastDirectHeartbeatAtSeconds;
    }
}
