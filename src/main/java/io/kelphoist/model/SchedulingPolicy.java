package io.kelphoist.model;

import java.util.List;
import java.util.Map;

/**
 * Parameters of the scheduler, derived from the settings of the platform and the operator.
 *
 * @param zones names of all zones
 * @param teams all teams with their quotas
 * @param heartbeatIntervalSeconds interval between two heartbeats of a worker
 * @param leaseSeconds duration of a worker lease
 * @param gangPeerTimeoutSeconds time within which tasks of a gang detect that another task of the
 *     gang is no longer running
 * @param machineHoldBackoffSeconds pause before a machine is held for the same job again, after a
 *     machine hold that expired or whose machine no longer accepted work
 * @param localityWaitSeconds maximum time for which a job array waits for a machine that has its
 *     image in the cache
 * @param machineHoldSeconds maximum time for which a machine is held for a job
 * @param gangReservationSeconds maximum time for which resources are reserved for a gang
 * @param headroom free resources to keep on on-demand machines, as a share of the machines in use
 * @param idleBeforeScaleInSeconds how long a machine must be idle before it is terminated to scale
 *     in
 * @param maxRecordBytes maximum size of a value in the state store
 * @param startWriteIntervalSeconds minimum time between two writes of task starts, so that the
 *     write limit of the state store leaves capacity for other writes
 * @param progressWriteIntervalSeconds the same for writes of done tasks and of cached images
 * @param startObjectiveSeconds by job class, the time within which tasks should start; classes
 *     without such an objective are absent
 */
public record SchedulingPolicy(
        List<String> zones,
        List<Team> teams,
        double heartbeatIntervalSeconds,
        double leaseSeconds,
        double gangPeerTimeoutSeconds,
        double machineHoldBackoffSeconds,
        double localityWaitSeconds,
        double machineHoldSeconds,
        double gangReservationSeconds,
        double headroom,
        double idleBeforeScaleInSeconds,
        int maxRecordBytes,
        double startWriteIntervalSeconds,
        double progressWriteIntervalSeconds,
        Map<String, Double> startObjectiveSeconds) {
    /**
     * Upper bound of the relative drift between the clocks of two machines, in seconds per second.
     * Durations that another machine measures are lengthened or shortened by twice this ratio.
     */
    public static final double MAX_CLOCK_DRIFT_RATIO = 0.0005;

    /**
     * Number of intervals after which a heartbeat is considered missed. Workers send heartbeats
     * every {@code heartbeatIntervalSeconds} with a jitter of up to a quarter of the interval.
     */
    public static final double MISSED_HEARTBEAT_FACTOR = 1.25;
}
