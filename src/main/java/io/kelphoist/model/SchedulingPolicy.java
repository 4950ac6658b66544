package io.kelphoist.model;

import java.util.List;
import java.util.Map;

/**
 * What the settings fix for the scheduler.
 *
 * @param gangPeerTimeoutSeconds within which tasks of a gang notice that another one is gone
 * @param holdRetryDelaySeconds for which a failed hold keeps a job from the next one
 * @param localityWaitSeconds for which an array waits for a machine that caches its image
 * @param machineHoldSeconds for which a machine is held for a job at the most
 * @param gangHoldSeconds for which room is reserved for a gang at the most
 * @param headroom share of machines that should be free
 * @param idleBeforeScaleInSeconds for which a machine must be idle before it is returned
 * @param maxRecordBytes size of a stored value at the most
 * @param startWriteIntervalSeconds least time between two writes of starts, so that the state
 *     service's limits leave room for others
 * @param progressWriteIntervalSeconds the same for done tasks and for cached images
 * @param startObjectiveSeconds by job class, the time within which its tasks should start; classes
 *     without such an objective are absent
 */
public record SchedulingPolicy(
        List<String> zones,
        List<Team> teams,
        double heartbeatIntervalSeconds,
        double leaseSeconds,
        double gangPeerTimeoutSeconds,
        double holdRetryDelaySeconds,
        double localityWaitSeconds,
        double machineHoldSeconds,
        double gangHoldSeconds,
        double headroom,
        double idleBeforeScaleInSeconds,
        int maxRecordBytes,
        double startWriteIntervalSeconds,
        double progressWriteIntervalSeconds,
        Map<String, Double> startObjectiveSeconds) {
    /** Clocks of two machines drift apart by at most this share. */
    public static final double MAX_CLOCK_DRIFT_RATIO = 0.0005;

    /**
     * Heartbeats come every {@code heartbeatIntervalSeconds}, give or take a quarter: after this
     * many intervals one was missed.
     */
    public static final double MISSED_HEARTBEAT_FACTOR = 1.25;
}
