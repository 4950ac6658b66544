package io.kelphoist.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kelphoist.failover.Failover;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Executes a scenario: each line is an input of the scheduler at a virtual time, or an expectation
 * of its state or of its requests. This class dispatches the lines, and owns the scheduler of the
 * current term and the virtual time. {@code docs/SCENARIOS.md} lists the commands.
 */
final class Scenario {
    /** The longest heartbeat interval of a worker: 2 s with a jitter of up to a quarter of it. */
    private static final double HEARTBEAT_ROUND_SECONDS = 2.5;

    private static final int MAX_STATUS_REQUESTS = 100;

    private final ScenarioSetup setup = new ScenarioSetup();
    private final ScenarioOutput output = new ScenarioOutput();
    private final ScenarioElection election = new ScenarioElection();
    private final Map<String, Consumer<ScenarioLine>> commands = new HashMap<>();

    /**
     * The status requests of the present leader that have no outcome yet: the agent epoch in each
     * request, by machine name.
     */
    private final Map<String, Long> statusRequests = new TreeMap<>();

    private SchedulerState schedulerState;
    private Failover failover;
    private double nowSeconds;
    private double delegatedUntilSeconds = Double.NEGATIVE_INFINITY;

    Scenario() {
        ScenarioValues values = new ScenarioValues(setup);
        ScenarioJobs jobs = new ScenarioJobs(this, setup, values);
        ScenarioMachines machines = new ScenarioMachines(this, output, values);
        ScenarioExpectations expectations =
                new ScenarioExpectations(this, output, jobs, machines, election);
        registerSetup();
        jobs.register(commands);
        machines.register(commands);
        new ScenarioStore(this, output, jobs).register(commands);
        commands.put("expect", expectations::check);
    }

    void execute(String text) {
        ScenarioLine line = new ScenarioLine(text);
        commands.getOrDefault(line.command(), election::execute).accept(line);
        assertEquals(
                List.of(),
                line.unreadWords(),
                "words that the command '" + line.command() + "' does not support");
    }

    SchedulerState schedulerState() {
        return schedulerState;
    }

    Failover failover() {
        return failover;
    }

    double nowSeconds() {
        return nowSeconds;
    }

    /** Sets the time until which a delegate may have renewed the leases of all machines. */
    void delegateLeasesUntil(double untilSeconds) {
        delegatedUntilSeconds = untilSeconds;
    }

    Map<String, Long> statusRequests() {
        return Collections.unmodifiableMap(statusRequests);
    }

    /** Removes the open status request to a machine; returns whether there was one. */
    boolean removeStatusRequest(String machine) {
        return statusRequests.remove(machine) != null;
    }

    private void registerSetup() {
        commands.put("zones", setup::addZones);
        commands.put("machine-type", setup::addMachineType);
        commands.put("team", setup::addTeam);
        commands.put("max-record-bytes", line -> setup.setMaxRecordBytes(line.intAt(1)));
        commands.put("term", line -> startTerm(line.longAt(1)));
        commands.put("at", line -> advanceTo(line.doubleAt(1)));
        commands.put("repeat", this::repeat);
    }

    private void startTerm(long term) {
        failover =
                new Failover(
                        term,
                        HEARTBEAT_ROUND_SECONDS,
                        /* listLagSeconds= */ 0,
                        MAX_STATUS_REQUESTS,
                        (machine, agentEpoch) -> statusRequests.put(machine.name(), agentEpoch),
                        nowSeconds);
        schedulerState =
                new SchedulerState(
                        setup.createPolicy(),
                        output,
                        (machine, zone, atSeconds) -> Math.min(atSeconds, delegatedUntilSeconds),
                        failover,
                        term,
                        setup.machineTypes());
        failover.onRecordsLoaded(/* oldestRevision= */ 1, /* termRevision= */ 1, nowSeconds);
        statusRequests.clear();
        output.onTermStarted(schedulerState);
    }

    private void advanceTo(double atSeconds) {
        nowSeconds = atSeconds;
        if (schedulerState != null) {
            failover.advance(schedulerState.machines(), nowSeconds);
            schedulerState.tick(nowSeconds);
        }
        election.tick(nowSeconds);
    }

    /**
     * Executes a line repeatedly, with the iteration number, from 0, in place of '#' and the number
     * of the next iteration in place of '#+'.
     */
    private void repeat(ScenarioLine line) {
        String text = line.textFrom(2);
        for (int i = 0; i < line.intAt(1); i++) {
            execute(text.replace("#+", Integer.toString(i + 1)).replace("#", Integer.toString(i)));
        }
    }
}
