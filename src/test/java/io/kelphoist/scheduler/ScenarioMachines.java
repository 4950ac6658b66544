package io.kelphoist.scheduler;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.model.CloudInstance;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.InstanceListPage;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.ScaleOutResult;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import io.kelphoist.scheduler.spi.PendingResponse;
import io.kelphoist.scheduler.spi.SentStarts;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Executes the commands of a scenario that are messages from workers, peers and the cloud. */
final class ScenarioMachines {
    private final Scenario scenario;
    private final ScenarioOutput output;
    private final ScenarioValues values;
    private List<WorkerCommand> heartbeatResponse;
    private boolean heartbeatReceived;

    ScenarioMachines(Scenario scenario, ScenarioOutput output, ScenarioValues values) {
        this.scenario = scenario;
        this.output = output;
        this.values = values;
    }

    /**
     * The commands in the response to the last heartbeat; null if it was refused or there was none.
     */
    List<WorkerCommand> heartbeatResponse() {
        return heartbeatResponse;
    }

    boolean wasHeartbeatReceived() {
        return heartbeatReceived;
    }

    void register(Map<String, Consumer<ScenarioLine>> commands) {
        commands.put("heartbeat", this::onHeartbeat);
        commands.put("command-outcome", this::onCommandOutcome);
        commands.put("replicated-machine", this::onReplicatedMachine);
        commands.put("status-request-outcome", this::onStatusRequestOutcome);
        commands.put("probe-outcome", this::onProbeOutcome);
        commands.put("scale-out-response", this::onScaleOutResponse);
        commands.put(
                "scale-in-confirmed",
                line ->
                        scenario.schedulerState()
                                .onScaleInConfirmed(List.of(line.word(1)), scenario.nowSeconds()));
        commands.put("delegated-until", line -> scenario.delegateLeasesUntil(line.doubleAt(1)));
        commands.put("listed-instance", this::onInstanceListed);
        commands.put("instance-list-page", line -> onInstanceList(values.instanceListPage(line)));
    }

    private void onHeartbeat(ScenarioLine line) {
        Heartbeat heartbeat = heartbeat(line.word(1), line);
        PendingResponse accepted =
                scenario.schedulerState()
                        .onHeartbeat(
                                heartbeat, line.option("relayed-by", ""), scenario.nowSeconds());
        heartbeatResponse =
                accepted == null
                        ? null
                        : accepted.takeCommands(new SentStarts(), scenario.nowSeconds());
        heartbeatReceived = true;
    }

    private Heartbeat heartbeat(String machine, ScenarioLine line) {
        return values.heartbeat(machine, line, output::newestAttemptId);
    }

    /** Syntax: {@code command-outcome MACHINE OUTCOME [HEARTBEAT]}. */
    private void onCommandOutcome(ScenarioLine line) {
        String machine = line.word(1);
        Heartbeat response = response(line);
        output.removeCommandsTo(machine);
        scenario.schedulerState()
                .onCommandOutcome(machine, outcome(line), response, scenario.nowSeconds());
    }

    /** Syntax: {@code status-request-outcome MACHINE OUTCOME [responder=MACHINE] [HEARTBEAT]}. */
    private void onStatusRequestOutcome(ScenarioLine line) {
        Heartbeat response = response(line);
        String machine = line.word(1);
        assertTrue(
                scenario.removeStatusRequest(machine),
                "no status request to " + machine + " is open, expected one");
        scenario.schedulerState()
                .onStatusRequestOutcome(machine, outcome(line), response, scenario.nowSeconds());
        scenario.failover().onStatusRequestOutcome(machine, outcome(line), response);
    }

    /** Syntax: {@code probe-outcome MACHINE OUTCOME [HEARTBEAT]}. */
    private void onProbeOutcome(ScenarioLine line) {
        assertTrue(
                output.removeProbe(line.word(1)),
                "no probe of " + line.word(1) + " is open, expected one");
        scenario.schedulerState()
                .onProbeOutcome(line.word(1), outcome(line), response(line), scenario.nowSeconds());
    }

    private static DeliveryOutcome outcome(ScenarioLine line) {
        return ScenarioValues.parse(DeliveryOutcome.class, line.word(2));
    }

    /** The heartbeat in the response to a direct request; null if there is no response. */
    private Heartbeat response(ScenarioLine line) {
        return line.has("epoch") ? heartbeat(line.option("responder", line.word(1)), line) : null;
    }

    private void onReplicatedMachine(ScenarioLine line) {
        scenario.schedulerState()
                .onReplicatedMachine(
                        values.replicatedMachine(line, scenario.nowSeconds()),
                        scenario.nowSeconds());
        scenario.failover().onReplicaApplied(scenario.nowSeconds());
    }

    /**
     * Responds to the oldest open request. Syntax: {@code scale-out-response granted MACHINE...},
     * {@code scale-out-response refused} or {@code scale-out-response unknown}.
     */
    private void onScaleOutResponse(ScenarioLine line) {
        ScaleOutRequest request = output.takeOldestScaleOutRequest();
        ScaleOutResult result =
                switch (line.word(1)) {
                    case "granted" -> new ScaleOutResult.Granted(line.wordsFrom(2));
                    case "refused" -> new ScaleOutResult.Refused();
                    case "unknown" -> new ScaleOutResult.Unknown();
                    default ->
                            throw new IllegalArgumentException(
                                    "unknown response, expected granted, refused or unknown: "
                                            + line.text());
                };
        scenario.schedulerState().onScaleOutResponse(request, result, scenario.nowSeconds());
    }

    /**
     * Passes on a page that lists one instance and is not the last page. Syntax: {@code
     * listed-instance MACHINE STATE [age=SECONDS]}.
     */
    private void onInstanceListed(ScenarioLine line) {
        CloudInstance instance = values.instance(line.word(1), line.word(2), line.number("age", 1));
        onInstanceList(
                new InstanceListPage(
                        /* afterName= */ "", /* lastPage= */ false, List.of(instance)));
    }

    private void onInstanceList(InstanceListPage page) {
        scenario.schedulerState().onInstanceList(List.of(page), scenario.nowSeconds());
    }
}
