package io.kelphoist.scheduler;

import io.kelphoist.model.MachineType;
import io.kelphoist.model.Resources;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.model.Team;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Collects the zones, machine types, teams and limits that a scenario declares. */
final class ScenarioSetup {
    private static final int DEFAULT_MAX_RECORD_BYTES = 2000;

    private final List<String> zones = new ArrayList<>();
    private final List<Team> teams = new ArrayList<>();
    private final List<MachineType> machineTypes = new ArrayList<>();
    private int maxRecordBytes = DEFAULT_MAX_RECORD_BYTES;

    void addZones(ScenarioLine line) {
        zones.addAll(line.wordsFrom(1));
    }

    void addMachineType(ScenarioLine line) {
        machineTypes.add(
                new MachineType(
                        line.word(1),
                        new Resources(
                                line.number("cpus", 32),
                                line.number("gpus", 4),
                                line.number("memory", 64)),
                        line.number("cache", 100),
                        line.number("fetch-rate", 1),
                        line.number("price", 10),
                        line.number("spot-price", 3),
                        line.number("boot-seconds", 30),
                        List.copyOf(zones)));
    }

    void addTeam(ScenarioLine line) {
        Resources guaranteed =
                line.has("guest")
                        ? Resources.NONE
                        : withLimitedGpus(line.number("guaranteed-gpus", 0));
        teams.add(new Team(line.word(1), guaranteed, withLimitedGpus(line.number("max-gpus", 0))));
    }

    /** Infinite resources except {@code gpus} GPUs; 0: an infinite number of GPUs too. */
    private static Resources withLimitedGpus(double gpus) {
        return new Resources(
                Double.POSITIVE_INFINITY,
                gpus == 0 ? Double.POSITIVE_INFINITY : gpus,
                Double.POSITIVE_INFINITY);
    }

    void setMaxRecordBytes(int bytes) {
        maxRecordBytes = bytes;
    }

    List<MachineType> machineTypes() {
        return machineTypes;
    }

    List<Team> teams() {
        return teams;
    }

    /** The machine type of all machines of the scenario. */
    MachineType machineType() {
        return machineTypes.get(0);
    }

    /** The zone of machines for which the scenario states none. */
    String zone() {
        return zones.get(0);
    }

    SchedulingPolicy createPolicy() {
        return new SchedulingPolicy(
                List.copyOf(zones),
                List.copyOf(teams),
                /* heartbeatIntervalSeconds= */ 2,
                /* leaseSeconds= */ 10,
                /* gangPeerTimeoutSeconds= */ 8,
                /* machineHoldBackoffSeconds= */ 5,
                /* localityWaitSeconds= */ 3,
                /* machineHoldSeconds= */ 20,
                /* gangReservationSeconds= */ 15,
                /* headroom= */ 0,
                /* idleBeforeScaleInSeconds= */ 40,
                maxRecordBytes,
                /* startWriteIntervalSeconds= */ 0.01,
                /* progressWriteIntervalSeconds= */ 0.01,
                /* startObjectiveSeconds= */ Map.of("relaxed", 15.0));
    }
}
