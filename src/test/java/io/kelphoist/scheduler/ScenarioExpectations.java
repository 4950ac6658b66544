package io.kelphoist.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.failover.PromotionCheck;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Checks what a scenario expects of the scheduler's state and of its requests. */
final class ScenarioExpectations {
    private static final String NONE = "none";

    private final Scenario scenario;
    private final ScenarioOutput output;
    private final ScenarioJobs jobs;
    private final ScenarioMachines machines;
    private final ScenarioElection election;
    private long consideredAtLastCheck;

    ScenarioExpectations(
            Scenario scenario,
            ScenarioOutput output,
            ScenarioJobs jobs,
            ScenarioMachines machines,
            ScenarioElection election) {
        this.scenario = scenario;
        this.output = output;
        this.jobs = jobs;
        this.machines = machines;
        this.election = election;
    }

    void check(ScenarioLine line) {
        switch (line.word(1)) {
            case "heartbeat-response", "heartbeat-refused" -> checkHeartbeatResponse(line);
            case "commands" -> assertEquals(line.textFrom(3), output.commandsTo(line.word(2)));
            case "due-starts" -> assertEquals(line.textFrom(3), dueStarts(line.word(2)));
            case "probes" -> assertEquals(line.textFrom(2), output.probes());
            case "scale-out" -> assertEquals(line.textFrom(2), output.scaleOutRequests());
            case "scale-in" -> assertEquals(line.textFrom(2), output.scaledInMachines());
            case "status-requests" -> assertEquals(line.textFrom(2), statusRequests());
            case "missing-jobs" ->
                    assertEquals(line.textFrom(2), ScenarioOutput.describe(jobs.missingJobIds()));
            case "considered-machines-at-most" -> checkConsideredMachines(line);
            default -> checkRecords(line);
        }
    }

    private void checkHeartbeatResponse(ScenarioLine line) {
        if (line.word(1).equals("heartbeat-refused")) {
            assertTrue(
                    machines.wasHeartbeatReceived(),
                    "no heartbeat was received before the line, expected one");
            assertNull(
                    machines.heartbeatResponse(),
                    "response to the last heartbeat, expected a refusal");
        } else {
            assertNotNull(
                    machines.heartbeatResponse(),
                    "the last heartbeat was refused, expected a response");
            assertEquals(line.textFrom(2), ScenarioOutput.describe(machines.heartbeatResponse()));
        }
    }

    private String statusRequests() {
        return ScenarioOutput.describe(
                scenario.statusRequests().entrySet().stream()
                        .map(request -> request.getKey() + "@" + request.getValue())
                        .collect(Collectors.toList()));
    }

    private String dueStarts(String machineName) {
        Machine machine = scenario.schedulerState().machineRegistry().get(machineName);
        if (machine == null) {
            return NONE;
        }
        List<String> tasks = new ArrayList<>();
        for (TaskAttempt attempt : machine.attempts()) {
            if (attempt.isStartDue()) {
                tasks.add(attempt.job().spec().id() + "/" + attempt.taskIndex());
            }
        }
        return tasks.isEmpty() ? NONE : String.join(", ", new TreeSet<>(tasks));
    }

    private void checkConsideredMachines(ScenarioLine line) {
        long considered = scenario.schedulerState().consideredMachineCount();
        long consideredSinceLastCheck = considered - consideredAtLastCheck;
        consideredAtLastCheck = considered;
        assertTrue(
                consideredSinceLastCheck <= line.intAt(2),
                consideredSinceLastCheck
                        + " machines considered since the last check, expected at most "
                        + line.intAt(2));
    }

    private void checkRecords(ScenarioLine line) {
        switch (line.word(1)) {
            case "open-writes" -> assertEquals(line.textFrom(2), output.openWrites());
            case "open-write-count" -> assertEquals(line.intAt(2), output.openWriteCount());
            case "recorded-starts" -> assertEquals(line.textFrom(2), output.recordedStarts());
            case "start-record" ->
                    assertEquals(line.textFrom(3), output.recordedStartsOf(line.intAt(2)));
            case "start-record-count" -> assertEquals(line.intAt(2), output.recordedPageCount());
            case "recorded-images" ->
                    assertEquals(line.word(3), output.recordedImagesOf(line.word(2)));
            case "job-reads" -> assertEquals(line.textFrom(2), output.takeReadJobIds());
            case "writes-at-most" ->
                    assertTrue(
                            output.writeCount() <= line.intAt(2),
                            output.writeCount()
                                    + " writes requested, expected at most "
                                    + line.intAt(2));
            case "image-record-bytes-at-most" ->
                    assertTrue(
                            output.maxImageRecordBytes() <= line.intAt(2),
                            output.maxImageRecordBytes()
                                    + " bytes in an image record, expected at most "
                                    + line.intAt(2));
            default -> checkState(line);
        }
    }

    private void checkState(ScenarioLine line) {
        SchedulerState state = scenario.schedulerState();
        switch (line.word(1)) {
            case "job" -> assertEquals(line.word(3), jobState(line.word(2)));
            case "priority" ->
                    assertEquals(
                            line.word(3),
                            lowerCase(state.jobRegistry().get(line.word(2)).priority()));
            case "latest-finish" ->
                    assertEquals(
                            line.doubleAt(3),
                            state.jobRegistry().get(line.word(2)).latestFinishAtSeconds(),
                            1e-9);
            case "used-gpus" ->
                    assertEquals(
                            line.doubleAt(3),
                            state.jobFactory().teamsByName().get(line.word(2)).used().gpus(),
                            1e-9);
            case "machine" -> assertEquals(line.word(3), machineState(line.word(2)));
            case "reachability" ->
                    assertEquals(
                            line.word(3),
                            lowerCase(
                                    state.machineRegistry()
                                            .get(line.word(2))
                                            .reachability()
                                            .state()));
            case "promotion-check" ->
                    assertEquals(line.booleanAt(3), isPassed(PromotionCheck.valueOf(line.word(2))));
            case "recovered" -> assertEquals(line.booleanAt(2), state.isRecovered());
            case "deposed" -> assertEquals(line.booleanAt(2), state.isDeposed());
            default -> election.expect(line);
        }
    }

    private boolean isPassed(PromotionCheck check) {
        return !Double.isNaN(scenario.failover().secondsUntilPassed(check));
    }

    private String jobState(String jobId) {
        JobRegistry registry = scenario.schedulerState().jobRegistry();
        return registry.contains(jobId) ? lowerCase(registry.get(jobId).state()) : NONE;
    }

    private String machineState(String name) {
        Machine machine = scenario.schedulerState().machineRegistry().get(name);
        return machine == null ? NONE : lowerCase(machine.state());
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
