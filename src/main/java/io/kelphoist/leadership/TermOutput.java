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
 * Carries out the requests that the scheduler of one term makes to other systems: sends commands
 * and probes to workers and scaling requests to the cloud, and publishes task events. The
 * superclass stores and reads records. Runs on the event loop.
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
     * Sets the components that receive the outcomes of requests: the scheduler, and for status
     * requests also the failover. Called once, before the scheduler makes any decision.
     */
    void attach(SchedulerState schedulerState, Failover failover) {
        this.schedulerState = schedulerState;
        commandSender.attach(schedulerState, failover);
    }

    /**
     * The term has ended: no outcomes are reported to the scheduler any more, and a scale-out
     * request that still waits for the cloud's rate limit is not sent. Commands, probes and
     * scale-in requests do not wait for a rate limit: whether this controller is the leader is
     * checked when the scheduler makes them, and the scheduler of an ended term makes none.
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
        // Evaluated when the request is sent, which the cloud's rate limit may delay.
        cloudGateway.scaleOut(request, () -> !closed && isStillLeader());
    }

    @Override
    public void scaleIn(List<String> machineNames) {
        if (isStillLeader()) {
            cloudGateway.scaleIn(machineNames);
            return;
        }
        // Another leader may already use the machines, so their termination is not requested. The
        // scheduler gets the same outcome as for a request that failed, and in a separate event,
        // because an output must not call back into the scheduler.
        context.eventLoop()
                .schedule(
                        /* delaySeconds= */ 0,
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
