package io.kelphoist.model;

/**
 * The state of a machine that the leader replicates to followers. After a failover it is a hint for
 * the new leader: to which workers it should send a status request, and which machines are already
 * booting and must not be requested from the cloud again.
 *
 * @param address host and port of the machine's worker; null if unknown
 * @param agentEpoch agent epoch of the worker; 0 if unknown
 * @param hasReported whether the worker has sent a heartbeat; otherwise the machine is booting
 * @param drainedAsFaulty whether the leader drains the machine because it is faulty
 * @param possiblyDisconnected whether the worker has missed a heartbeat
 * @param commandOutcomeUnknown whether commands to the worker are in flight, or a task start was
 *     sent to it whose outcome is unknown
 * @param launchedAtSeconds when the machine was launched, on the monotonic clock of the controller
 *     that holds this object
 * @param terminationAtSeconds when the cloud will terminate the machine, on the same clock;
 *     infinite without a termination notice
 */
public record ReplicatedMachine(
        String name,
        String address,
        String machineType,
        String zone,
        boolean spot,
        long agentEpoch,
        boolean hasReported,
        boolean drainedAsFaulty,
        boolean possiblyDisconnected,
        boolean commandOutcomeUnknown,
        double launchedAtSeconds,
        double terminationAtSeconds) {
    /** Returns the same state with its times converted to a clock that is ahead by an offset. */
    public ReplicatedMachine shiftedBy(double offsetSeconds) {
        return new ReplicatedMachine(
                name,
                address,
                machineType,
                zone,
                spot,
                agentEpoch,
                hasReported,
                drainedAsFaulty,
                possiblyDisconnected,
                commandOutcomeUnknown,
                launchedAtSeconds + offsetSeconds,
                terminationAtSeconds + offsetSeconds);
    }
}
