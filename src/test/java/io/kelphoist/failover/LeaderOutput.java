package io.kelphoist.failover;

import io.kelphoist.leadership.RecordStoringOutput;
import io.kelphoist.leadership.TermRecordStore;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.ScaleOutResult;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import java.util.List;

/**
 * Carries out the requests of a leader's scheduler: messages to workers, writes of records, and
 * requests to the cloud.
 */
final class LeaderOutput extends RecordStoringOutput {
    /** One of this many responses to scale-out requests is lost, on average. */
    private static final int MEAN_CLOUD_RESPONSES_PER_LOSS = 3;

    private final SimulatedLeader.Dependencies dependencies;
    private final SimulatedLeader leader;

    LeaderOutput(
            SimulatedLeader.Dependencies dependencies,
            SimulatedLeader leader,
            TermRecordStore recordStore) {
        super(recordStore);
        this.dependencies = dependencies;
        this.leader = leader;
    }

    void requestStatus(Machine machine, long agentEpoch) {
        send(machine, Math.max(1, agentEpoch), List.of(), CommandDelivery.Kind.STATUS_REQUEST);
    }

    @Override
    public void probe(Machine machine) {
        send(machine, Math.max(1, machine.agentEpoch()), List.of(), CommandDelivery.Kind.PROBE);
    }

    @Override
    public void sendCommands(Machine machine, long agentEpoch, List<WorkerCommand> commands) {
        send(machine, agentEpoch, List.copyOf(commands), CommandDelivery.Kind.COMMANDS);
    }

    private void send(
            Machine machine,
            long agentEpoch,
            List<WorkerCommand> commands,
            CommandDelivery.Kind kind) {
        dependencies.checker().checkNoCancelledStart(commands, leader.receivedCancellations());
        SimulatedWorker worker = dependencies.fleet().findByAddress(machine.address()).orElse(null);
        CommandDelivery delivery =
                new CommandDelivery(leader, worker, machine.name(), agentEpoch, commands, kind);
        if (worker == null) {
            // The cloud has terminated the machine. Addresses are not reused.
            dependencies
                    .network()
                    .onNextStep(() -> delivery.complete(DeliveryOutcome.NOT_SENT, null));
        } else {
            dependencies.network().send(delivery);
        }
    }

    @Override
    public void scaleOut(ScaleOutRequest request) {
        if (!leader.isLeading()) {
            return;
        }
        List<String> names = dependencies.fleet().scaleOut(request);
        ScaleOutResult result = scaleOutResult(names);
        dependencies.network().onNextStep(() -> leader.onScaleOutResponse(request, result));
    }

    private ScaleOutResult scaleOutResult(List<String> names) {
        SimulationContext context = dependencies.context();
        if (!context.areRandomFaultsDisabled()
                && context.random().nextInt(MEAN_CLOUD_RESPONSES_PER_LOSS) == 0) {
            return new ScaleOutResult.Unknown();
        }
        return names.isEmpty() ? new ScaleOutResult.Refused() : new ScaleOutResult.Granted(names);
    }

    @Override
    public void scaleIn(List<String> machineNames) {
        List<String> names = List.copyOf(machineNames);
        dependencies
                .network()
                .onNextStep(
                        () -> {
                            if (leader.isLeading()) {
                                names.forEach(dependencies.fleet()::terminate);
                            }
                            leader.onScaleInConfirmed(names);
                        });
    }
}
