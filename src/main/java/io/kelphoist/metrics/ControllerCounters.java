package io.kelphoist.metrics;

/**
 * Event counts of one controller since its process started.
 *
 * <p>All updates come from the event loop, so that each field has a single writer; the metrics read
 * from the same thread or, as the fields are volatile, from any other. Counting allocates nothing:
 * heartbeats and decisions pass here.
 */
public final class ControllerCounters {
    private volatile long heartbeats;
    private volatile long relayedHeartbeats;
    private volatile long delegatedRenewals;
    private volatile long withheldResponses;
    private volatile long commandsSent;
    private volatile long commandsWithUnknownOutcome;
    private volatile long statusRequests;
    private volatile long reachabilityProbes;
    private volatile long malformedMessages;
    private volatile long unexpectedErrors;
    private volatile long decisions;
    private volatile double decisionSeconds;
    private volatile double heartbeatSeconds;

    /** Not a metric, and used on the event loop only. */
    private double lastDirectHeartbeatAtSeconds;

    /** A worker's heartbeat arrived at this controller, whichever controller leads. */
    public void onHeartbeat() {
        heartbeats++;
    }

    /** A heartbeat is relayed to the leader. */
    public void onHeartbeatRelayed() {
        relayedHeartbeats++;
    }

    /** A worker's lease was renewed under a delegation, without a leader. */
    public void onDelegatedRenewal() {
        delegatedRenewals++;
    }

    /** A renewal or a start was withheld since cancellations may be unknown here. */
    public void onResponseWithheld() {
        withheldResponses++;
    }

    /** Commands are sent to a worker outside a heartbeat response. */
    public void onCommandsSent() {
        commandsSent++;
    }

    /** Nobody knows whether commands that were sent reached their worker. */
    public void onCommandOutcomeUnknown() {
        commandsWithUnknownOutcome++;
    }

    /** A new leader asks a machine for a heartbeat. */
    public void onStatusRequested() {
        statusRequests++;
    }

    /** The leader checks whether a machine can be reached. */
    public void onReachabilityProbe() {
        reachabilityProbes++;
    }

    /** A message or response could not be decoded. */
    public void onMalformedMessage() {
        malformedMessages++;
    }

    /** A task of the event loop failed with an exception that nothing handles. */
    public void onUnexpectedError() {
        unexpectedErrors++;
    }

    /**
     * The leader made a scheduling decision.
     *
     * @param durationSeconds how long it kept the event loop busy
     */
    public void onDecision(double durationSeconds) {
        decisions++;
        decisionSeconds += durationSeconds;
    }

    /**
     * The leader handled a heartbeat.
     *
     * @param durationSeconds how long it kept the event loop busy
     */
    public void onHeartbeatHandled(double durationSeconds) {
        heartbeatSeconds += durationSeconds;
    }

    /** A worker's heartbeat reached this controller directly while it led. */
    public void onDirectHeartbeat(double nowSeconds) {
        lastDirectHeartbeatAtSeconds = nowSeconds;
    }

    /** Heartbeats that arrived at this controller directly. */
    public long heartbeats() {
        return heartbeats;
    }

    /** Heartbeats relayed to the leader. */
    public long relayedHeartbeats() {
        return relayedHeartbeats;
    }

    /** Leases renewed under a delegation. */
    public long delegatedRenewals() {
        return delegatedRenewals;
    }

    /** Renewals and starts that were withheld. */
    public long withheldResponses() {
        return withheldResponses;
    }

    /** Commands sent outside of heartbeat responses. */
    public long commandsSent() {
        return commandsSent;
    }

    /** Commands whose delivery is unknown. */
    public long commandsWithUnknownOutcome() {
        return commandsWithUnknownOutcome;
    }

    /** Heartbeats requested by a new leader. */
    public long statusRequests() {
        return statusRequests;
    }

    /** Probes of whether a machine receives commands. */
    public long reachabilityProbes() {
        return reachabilityProbes;
    }

    /** Messages and responses that could not be decoded. */
    public long malformedMessages() {
        return malformedMessages;
    }

    /** Failed tasks of the event loop. */
    public long unexpectedErrors() {
        return unexpectedErrors;
    }

    /** Scheduling decisions. */
    public long decisions() {
        return decisions;
    }

    /** Time that all decisions took together, in seconds. */
    public double decisionSeconds() {
        return decisionSeconds;
    }

    /** Time that the leader spent on all heartbeats together, in seconds. */
    public double heartbeatSeconds() {
        return heartbeatSeconds;
    }

    /** When {@link #onDirectHeartbeat} was called last, on the event loop's clock; 0: never. */
    public double lastDirectHeartbeatAtSeconds() {
        return lastDirectHeartbeatAtSeconds;
    }
}
