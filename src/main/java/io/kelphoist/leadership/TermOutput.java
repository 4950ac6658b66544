package io.kelphoist.leadership;

import io.kelphoist.election.Election;
import io.kelphoist.failover.Failover;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.SchedulerState;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.spi.TaskEvent;
import java.util.List;

/**
 * Executes the decisions of one term's scheduler: sends commands to workers, records to the state
 * store and scaling requests to the cloud. Runs on the event loop.
 */
final class TermOutput extends RecordStoringOutput {
    private final Election election;
    private final LeaderContext context;
    private final WorkerCommandSender commandSender;
    private final TermRecordStore store;
    private final CloudGateway cloudGateway;
    private SchedulerState schedulerState;
    private boolean closed;

    TermOutput(
            Election election,
            LeaderContext context,
            WorkerCommandSender commandSender,
            TermRecordStore store,
            CloudGateway cloudGateway) {
        super(store);
        this.election = election;
        this.context = context;
        this.commandSender = commandSender;
        this.store = store;
        this.cloudGateway = cloudGateway;
    }

    /**
     * Sets the components that receive outcomes. Called once, before the scheduler makes any
     * decision.
     */
    void attach(SchedulerState schedulerState, Failover failover) {
        this.schedulerState = schedulerState;
        commandSender.attach(schedulerState, failover);
    }

    /**
     * The term has ended: no further machines are requested, and no outcomes are reported to the
     * scheduler.
     */
    void close() {
        closed = true;
        commandSender.close();
        store.close();
    }

    @Override
    public void probe(Machine machine) {
        commandSender.probe(machine);
    }

    @Override
    public void sendCommands(Machine machine, long agentEpoch, List<WorkerCommand> commands) {
        commandSender.sendCommands(machine, agentEpoch, commands);
    }

    @Override
    public void publishEvent(Job job, TaskEvent event) {
        context.taskEventListener().accept(job, event);
    }

    @Override
    public void scaleOut(ScaleOutRequest request) {
        cloudGateway.scaleOut(request, () -> !closed && isStillLeader());
    }

    @Override
    public void scaleIn(List<String> machineNames) {
        if (isStillLeader()) {
            cloudGateway.scaleIn(machineNames);
            return;
        }
        // Another leader may already use the machines, so they must not be terminated.
        context.eventLoop()
                .schedule(
                        0,
                        () -> {
                            if (!closed) {
                                schedulerState.onScaleInFailed(context.nowSeconds());
                            }
                        });
    }

    private boolean isStillLeader() {
        return election.isLeader(context.nowSeconds());
    }
}
