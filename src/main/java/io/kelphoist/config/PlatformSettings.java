package io.kelphoist.config;

import io.kelphoist.model.Team;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The platform's settings of a controller: its addresses, its peers, and the systems that it
 * depends on with their limits.
 *
 * @param controllerName name of this controller
 * @param zone zone of this controller; empty if unknown
 * @param listenAddress host and port on which this controller listens for users and workers
 * @param peerListenAddress host and port on which it listens for the other controllers
 * @param peers the other controllers
 * @param cloudAddress host and port of the cloud
 * @param stateAddress host and port of the state store
 * @param zones zones in which the cloud offers machines
 * @param teams the teams that may submit jobs, with their quotas
 * @param startObjectiveSeconds by job class, the time within which tasks should start
 * @param socketLimit bound on the sockets that this process has open
 * @param clockErrorMillis largest error of a controller's wall clock; the clocks of two controllers
 *     may differ by twice as much
 */
public record PlatformSettings(
        String controllerName,
        String zone,
        String listenAddress,
        String peerListenAddress,
        List<Peer> peers,
        String cloudAddress,
        String stateAddress,
        List<String> zones,
        List<Team> teams,
        Workers workers,
        StateLimits stateLimits,
        CloudLimits cloudLimits,
        Map<String, Double> startObjectiveSeconds,
        int socketLimit,
        double clockErrorMillis) {

    /**
     * Another controller.
     *
     * @param name its name
     * @param zone its zone; empty if unknown
     * @param address host and port on which it listens for controllers
     */
    public record Peer(String name, String zone, String address) {}

    /**
     * The intervals and timeouts of workers.
     *
     * @param heartbeatIntervalSeconds time between two heartbeats of a worker
     * @param leaseSeconds a worker stops its tasks this long after the last renewal of its lease
     * @param gangWaitSeconds how long a task of a gang waits for the other tasks to start
     * @param gangPeerSeconds how long after the loss of one task of a gang its other tasks may run
     * @param cancelSeconds time from a cancellation until all tasks of the job must have ended
     */
    public record Workers(
            double heartbeatIntervalSeconds,
            double leaseSeconds,
            double gangWaitSeconds,
            double gangPeerSeconds,
            double cancelSeconds) {}

    /**
     * Limits of the state store. Each is the smaller of the current limit and the announced next
     * one, so that it can be kept to before and after the change.
     */
    public record StateLimits(
            double requestsPerSecond,
            double writesPerSecond,
            double maxValueKilobytes,
            int maxTransactionChanges) {}

    /**
     * Limits of the cloud.
     *
     * @param listLagSeconds how long the instance list may take to show a change
     */
    public record CloudLimits(double requestsPerSecond, double listLagSeconds) {}

    /**
     * Reads a settings file in JSON. Unknown fields are ignored.
     *
     * @throws InvalidSettingsException if the file can't be read or a field is invalid
     */
    public static PlatformSettings read(Path file) throws InvalidSettingsException {
        return PlatformSettingsReader.read(file);
    }

    /** Returns the zones of the other controllers, by name. */
    public Map<String, String> peerZones() {
        Map<String, String> zonesByName = new LinkedHashMap<>();
        peers.forEach(peer -> zonesByName.put(peer.name(), peer.zone()));
        return zonesByName;
    }

    /** Returns the number of controllers, including this one. */
    public int controllerCount() {
        return peers.size() + 1;
    }
}
