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
 * Sends the commands, status requests and reachability probes of one term directly to workers, all
 * with the term's fencing token, and reports their outcomes to the scheduler. Outcomes that arrive
 * after the end of the term are discarded. Runs on the event loop.
 */
final class WorkerCommandSender {
    /** A request without commands, to which the worker responds with a heartbeat. */
    private static final List<WorkerCommand> STATUS_REQUEST = List.of();

    private static final DeliveryOutcome NOT_ATTEMPTED = DeliveryOutcome.NOT_ATTEMPTED;

    /**
     * Smallest agent epoch that a message may contain, sent if the worker's agent epoch is not
     * recorded here. The worker's response contains its own epoch.
     */
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

    /** Sets the components that receive outcomes. Called once, before anything is sent. */
    void attach(SchedulerState schedulerState, Failover failover) {
        this.schedulerState = schedulerState;
        this.failover = failover;
    }

    /** The term has ended: outcomes are no longer reported to the scheduler. */
    void close() {
        closed = true;
    }

    /**
     * Sends a status request with the fencing token of this term to a machine, whose address must
     * be known. The machine responds with a heartbeat. Once it has received that fencing token, the
     * machine refuses the commands of earlier leaders.
     */
    void requestStatus(Machine machine, long agentEpoch) {
        context.counters().onStatusRequested();
        send(
                machine,
                Math.max(MIN_AGENT_EPOCH, agentEpoch),
                STATUS_REQUEST,
                (outcome, heartbeat) -> {
                    if (!closed) {
                        schedulerState.onStatusRequestOutcome(
                                machine.name(), outcome, heartbeat, context.nowSeconds());
                        failover.onStatusRequestOutcome(machine.name(), outcome, heartbeat);
                        context.requestTick().run();
                    }
                });
    }

    /**
     * Sends a reachability probe to a machine, whose address must be known: a status request whose
     * outcome goes to {@link SchedulerState#onProbeOutcome}. Sends nothing and reports {@link
     * DeliveryOutcome#NOT_ATTEMPTED} if this controller is not the leader at the moment.
     */
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
     * Sends commands to a machine, except task starts while {@link RenewalGate} withholds them.
     * Sends nothing and reports {@link DeliveryOutcome#NOT_ATTEMPTED} if no command is left, if
     * this controller is not the leader at the moment, or if the machine's address is unknown.
     * Commands that are not sent go with the next heartbeat response.
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

    /** Reports an outcome in a separate event, never from within the call that caused it. */
    private void reportLater(Runnable report) {
        context.eventLoop().schedule(/* delaySeconds= */ 0, report);
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
