package io.kelphoist.leadership;

import io.kelphoist.election.Election;
import io.kelphoist.failover.Failover;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.SchedulerState;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import io.kelphoist.worker.WorkerClient;
import java.util.List;

/**
 * Sends commands and status requests of one term straight to workers, all under the term's fencing
 * token, and returns their outcomes to the scheduler. Outcomes that arrive after the end of the
 * term are dropped. Runs on the event loop.
 */
final class WorkerCommandSender {
    private static final List<WorkerCommand> STATUS_REQUEST = List.of();

    private static final DeliveryOutcome NOT_ATTEMPTED = DeliveryOutcome.NOT_ATTEMPTED;

    /** Least agent epoch that a message may name; the worker answers with its own. */
    private static final long MIN_AGENT_EPOCH = 1;

    private final long fencingToken;
    private final Election election;
    private final LeaderContext context;
    private final WorkerClient workerClient;
    private SchedulerState schedulerState;
    private Failover failover;
    private boolean closed;

    WorkerCommandSender(
            long fencingToken,
            Election election,
            LeaderContext context,
            WorkerClient workerClient) {
        this.fencingToken = fencingToken;
        this.election = election;
        this.context = context;
        this.workerClient = workerClient;
    }

    /** Names the receivers of outcomes; called once, before anything is sent. */
    void attach(SchedulerState schedulerState, Failover failover) {
        this.schedulerState = schedulerState;
        this.failover = failover;
    }

    /** The term has ended: outcomes are no longer reported. */
    void close() {
        closed = true;
    }

    /**
     * Asks a machine for a heartbeat under the token of this term. From then on the machine refuses
     * the commands of earlier leaders.
     */
    void requestHeartbeat(Machine machine, long agentEpoch) {
        context.counters().onStatusRequested();
        send(
                machine,
                Math.max(MIN_AGENT_EPOCH, agentEpoch),
                STATUS_REQUEST,
                (outcome, heartbeat) -> {
                    if (!closed) {
                        schedulerState.onStatusRequestOutcome(
                                machine.name(), outcome, heartbeat, context.nowSeconds());
                        failover.onResponse(machine.name(), outcome, heartbeat);
                        context.requestTick().run();
                    }
                });
    }

    /** Checks whether a machine can be reached, as {@link SchedulerState#onProbeOutcome}. */
    void probe(Machine machine) {
        if (!election.isLeader(context.nowSeconds())) {
            reportLater(() -> onProbeOutcome(machine.name(), NOT_ATTEMPTED, null));
            return;
        }
        context.counters().onReachabilityProbe();
        send(
                machine,
                Math.max(MIN_AGENT_EPOCH, machine.agentEpoch()),
                STATUS_REQUEST,
                (outcome, heartbeat) -> onProbeOutcome(machine.name(), outcome, heartbeat));
    }

    /**
     * Sends commands to a machine. Without the right to act, or while starts are withheld and there
     * is nothing else, nothing is sent: such commands go with the next heartbeat response.
     */
    void sendCommands(Machine machine, long agentEpoch, List<WorkerCommand> commands) {
        List<WorkerCommand> permitted = context.renewalGate().permittedCommands(commands);
        if (!election.isLeader(context.nowSeconds())
                || machine.address() == null
                || permitted.isEmpty()) {
            reportLater(() -> onCommandOutcome(machine.name(), NOT_ATTEMPTED, null));
            return;
        }
        context.counters().onCommandsSent();
        send(
                machine,
                agentEpoch,
                permitted,
                (outcome, heartbeat) -> onCommandOutcome(machine.name(), outcome, heartbeat));
    }

    private void send(
            Machine machine,
            long agentEpoch,
            List<WorkerCommand> commands,
            WorkerClient.CommandCallback callback) {
        workerClient.sendCommands(
                machine.address(),
                fencingToken,
                agentEpoch,
                commands,
                context.nowSeconds(),
                callback);
    }

    /** Outcomes are never reported from within the call that caused them. */
    private void reportLater(Runnable report) {
        context.eventLoop().schedule(0, report);
    }

    /**
     * Reports how a reachability probe ended.
     *
     * @param heartbeat the worker's response; null if there was none
     */
    private void onProbeOutcome(String machineName, DeliveryOutcome outcome, Heartbeat heartbeat) {
        if (!closed) {
            schedulerState.onProbeOutcome(machineName, outcome, heartbeat, context.nowSeconds());
            context.requestTick().run();
        }
    }

    /**
     * Reports how the delivery of commands ended.
     *
     * @param heartbeat the worker's response; null if there was none
     */
    private void onCommandOutcome(
            String machineName, DeliveryOutcome outcome, Heartbeat heartbeat) {
        if (closed) {
            return;
        }
        schedulerState.onCommandOutcome(machineName, outcome, heartbeat, context.nowSeconds());
        if (outcome == DeliveryOutcome.NO_RESPONSE) {
            context.counters().onCommandOutcomeUnknown();
        }
        context.requestTick().run();
    }
}
