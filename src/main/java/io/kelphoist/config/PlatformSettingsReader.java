package io.kelphoist.config;

import io.kelphoist.model.Resources;
import io.kelphoist.model.Team;
import io.kelphoist.sockets.SocketBudget;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads {@link PlatformSettings} from a file in JSON. Only this class knows the names of the fields
 * in the file, besides the code that writes such files for local clusters, for the training run of
 * the class archive and in tests.
 */
final class PlatformSettingsReader {
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;

    /** The clock error that is assumed if the platform's settings do not have one. */
    private static final double DEFAULT_CLOCK_ERROR_MILLIS = 1000;

    private PlatformSettingsReader() {}

    /**
     * Reads a settings file. Unknown fields are ignored.
     *
     * @throws InvalidSettingsException if the file can't be read or a field is invalid
     */
    static PlatformSettings read(Path file) throws InvalidSettingsException {
        return readSettings(JsonSettings.read(file));
    }

    private static PlatformSettings readSettings(JsonSettings root)
            throws InvalidSettingsException {
        String controllerName = root.text("label");
        List<PlatformSettings.Peer> peers = readPeers(root, controllerName);
        JsonSettings external = root.object("external");
        JsonSettings cluster = root.object("cluster");
        List<String> zones = cluster.texts("zones");
        List<Team> teams = readTeams(cluster);
        JsonSettings workers = cluster.object("workers");
        JsonSettings state = cluster.object("state");
        JsonSettings cloud = cluster.object("cloud");
        return new PlatformSettings(
                controllerName,
                root.textOrEmpty("site"),
                root.address("serve_on"),
                root.address("peer_listen"),
                List.copyOf(peers),
                external.address("cloud"),
                external.address("state"),
                List.copyOf(zones),
                List.copyOf(teams),
                readWorkers(workers),
                readStateLimits(state),
                new PlatformSettings.CloudLimits(
                        cloud.positive("rps"), cloud.positive("list_lag_s")),
                readStartObjectives(cluster),
                readSocketLimit(cluster),
                readClockErrorMillis(cluster));
    }

    private static List<PlatformSettings.Peer> readPeers(JsonSettings root, String controllerName)
            throws InvalidSettingsException {
        List<PlatformSettings.Peer> peers = new ArrayList<>();
        if (!root.has("known")) {
            return peers;
        }
        Set<String> names = new HashSet<>();
        names.add(controllerName);
        for (JsonSettings peerSettings : root.list("known")) {
            PlatformSettings.Peer peer =
                    new PlatformSettings.Peer(
                            peerSettings.text("label"),
                            peerSettings.textOrEmpty("site"),
                            peerSettings.address("peer_addr"));
            if (!names.add(peer.name())) {
                throw peerSettings.invalid(
                        "label",
                        "'"
                                + peer.name()
                                + "' is also the label of this controller or of an earlier entry");
            }
            peers.add(peer);
        }
        return peers;
    }

    private static List<Team> readTeams(JsonSettings cluster) throws InvalidSettingsException {
        List<Team> teams = new ArrayList<>();
        for (JsonSettings team : cluster.list("teams")) {
            teams.add(readTeam(team));
        }
        return teams;
    }

    private static Team readTeam(JsonSettings team) throws InvalidSettingsException {
        double cpus = team.nonNegative("cpus");
        double maxCpus = team.nonNegative("cpus_max");
        double gpus = team.nonNegative("gpus");
        double maxGpus = team.nonNegative("gpus_max");
        // A limit of 0 means that there is no limit. Memory is never limited.
        Resources limit =
                new Resources(
                        maxCpus == 0 ? UNLIMITED : maxCpus,
                        maxGpus == 0 ? UNLIMITED : maxGpus,
                        UNLIMITED);
        // A team without any guarantee is a guest team: nothing is guaranteed to it, not even a
        // resource without a limit. For any other team, a resource with neither a guarantee nor a
        // limit is not restricted: its guarantee is infinite, as that of memory always is.
        Resources guarantee =
                cpus == 0 && gpus == 0
                        ? Resources.NONE
                        : new Resources(
                                cpus == 0 && maxCpus == 0 ? UNLIMITED : cpus,
                                gpus == 0 && maxGpus == 0 ? UNLIMITED : gpus,
                                UNLIMITED);
        return new Team(team.text("name"), guarantee, limit);
    }

    private static PlatformSettings.Workers readWorkers(JsonSettings workers)
            throws InvalidSettingsException {
        return new PlatformSettings.Workers(
                workers.positive("report_s"),
                workers.positive("lease_s"),
                workers.positive("gang_wait_s"),
                workers.positive("gang_peer_s"),
                workers.positive("cancel_s"));
    }

    /**
     * Reads, for each limit, the smaller of the current limit and the announced next one. The time
     * of the change is not announced, so both must be kept to all the time. In particular, a record
     * that is stored before the change must not be too large to be stored again after it.
     */
    private static PlatformSettings.StateLimits readStateLimits(JsonSettings state)
            throws InvalidSettingsException {
        JsonSettings next = state.has("next") ? state.object("next") : state;
        return new PlatformSettings.StateLimits(
                smallerOf(state, next, "rps"),
                smallerOf(state, next, "write_rps"),
                smallerOf(state, next, "value_kb"),
                (int) Math.max(1, smallerOf(state, next, "txn_ops")));
    }

    private static double smallerOf(JsonSettings current, JsonSettings next, String name)
            throws InvalidSettingsException {
        double limit = current.positive(name);
        return next.has(name) ? Math.min(limit, next.positive(name)) : limit;
    }

    /**
     * Reads, by job class, the time within which tasks should start. These are the objectives of
     * kind {@code wait}; objectives of other kinds are ignored. If a class has several, the
     * shortest time is used.
     */
    private static Map<String, Double> readStartObjectives(JsonSettings cluster)
            throws InvalidSettingsException {
        Map<String, Double> objectives = new HashMap<>();
        if (cluster.has("objectives")) {
            for (JsonSettings objective : cluster.list("objectives")) {
                if (objective.textOrEmpty("kind").equals("wait")) {
                    objectives.merge(
                            objective.text("class"), objective.positive("within_s"), Math::min);
                }
            }
        }
        return Map.copyOf(objectives);
    }

    private static int readSocketLimit(JsonSettings cluster) throws InvalidSettingsException {
        if (!cluster.has("quota", "fd_limit")) {
            return SocketBudget.DEFAULT_LIMIT;
        }
        double limit = cluster.object("quota").positive("fd_limit");
        return (int) Math.min(Integer.MAX_VALUE, limit);
    }

    private static double readClockErrorMillis(JsonSettings cluster)
            throws InvalidSettingsException {
        return cluster.has("clock_error_ms")
                ? cluster.nonNegative("clock_error_ms")
                : DEFAULT_CLOCK_ERROR_MILLIS;
    }
}
