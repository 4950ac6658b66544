package io.kelphoist.admission;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.Resources;
import io.kelphoist.model.Team;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether a job could ever run in this cluster, by its team's limit, its zones and the
 * machine types. Has no state besides the configured teams and zones.
 */
final class AdmissionRules {
    private static final int MIN_ZONES_FOR_SPREAD = 2;

    private final Map<String, Team> teams = new HashMap<>();
    private final List<String> zones;

    AdmissionRules(List<Team> teams, List<String> zones) {
        teams.forEach(team -> this.teams.put(team.name(), team));
        this.zones = zones;
    }

    /**
     * Returns why the job can never run, as a message for the user, or empty if it can.
     *
     * @param machineTypes all machine types that the cloud offers; must not be empty
     */
    Optional<String> findRejectionReason(JobSpec job, Collection<MachineType> machineTypes) {
        Team team = teams.get(job.team());
        if (team == null) {
            return Optional.of("unknown team");
        }
        if (!minimumResources(job).fitsIn(team.limit())) {
            return Optional.of("past the team's limit");
        }
        if (job.zone() != null && !zones.contains(job.zone())) {
            return Optional.of("unknown zone");
        }
        if (mustSpread(job) && (job.singleZone() || job.zone() != null)) {
            return Optional.of("one zone and spread");
        }
        Set<String> fittingZones = zonesWithFittingMachineType(job, machineTypes);
        if (job.zone() == null ? fittingZones.isEmpty() : !fittingZones.contains(job.zone())) {
            return Optional.of("fits no allowed machine type");
        }
        if (mustSpread(job)
                && mustRunAllTasksAtOnce(job)
                && fittingZones.size() < MIN_ZONES_FOR_SPREAD) {
            return Optional.of("spread, and fits in one zone only");
        }
        return Optional.empty();
    }

    /**
     * Tasks of an array may run one after the other; those of a gang or a service run all together
     * or not at all.
     */
    private static boolean mustRunAllTasksAtOnce(JobSpec job) {
        return job.kind() != JobKind.ARRAY;
    }

    private static Resources minimumResources(JobSpec job) {
        return mustRunAllTasksAtOnce(job)
                ? job.resourcesPerTask().times(job.tasks())
                : job.resourcesPerTask();
    }

    private static boolean mustSpread(JobSpec job) {
        return job.spreadAcrossZones() && job.tasks() > 1;
    }

    private static Set<String> zonesWithFittingMachineType(
            JobSpec job, Collection<MachineType> machineTypes) {
        Set<String> fittingZones = new HashSet<>();
        for (MachineType machineType : machineTypes) {
            if (job.allowsMachineType(machineType.name())
                    && job.resourcesPerTask().fitsIn(machineType.capacity())) {
                fittingZones.addAll(machineType.zones());
            }
        }
        return fittingZones;
    }
}
