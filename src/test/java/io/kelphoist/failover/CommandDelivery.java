package io.kelphoist.failover;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import java.util.List;

/**
 * A request in flight from a leader to a worker. After a timeout the leader stops waiting for the
 * response, but the request may still arrive later.
 */
final class CommandDelivery {
    /** The kinds of requests to a worker. */
    enum Kind {
        COMMANDS,
        STATUS_REQUEST,
        PROBE
    }

    private static final double COMMANDS_TIMEOUT_SECONDS = 2.5;
    private static final double STATUS_TIMEOUT_SECONDS = 1;

    private final SimulatedLeader leader;
    private final SimulatedWorker worker;
    private final String machineName;
    private final long agentEpoch;
    private final List<WorkerCommand> commands;
    private final Kind kind;
    private final double sentAtSeconds;
    private boolean completed;
    private boolean lost;

    /**
     * Creates a request that is sent now.
     *
     * @param worker the receiver; null if the machine with the address has been terminated, and the
     *     request is then not delivered
     * @param agentEpoch the agent epoch that the leader takes the worker to have
     */
    CommandDelivery(
            SimulatedLeader leader,
            SimulatedWorker worker,
            String machineName,
            long agentEpoch,
            List<WorkerCommand> commands,
            Kind kind) {
        this.leader = leader;
        this.worker = worker;
        this.machineName = machineName;
        this.agentEpoch = agentEpoch;
        this.commands = commands;
        this.kind = kind;
        sentAtSeconds = leader.nowSeconds();
    }

    SimulatedLeader leader() {
        return leader;
    }

    SimulatedWorker worker() {
        return worker;
    }

    double sentAtSeconds() {
        return sentAtSeconds;
    }

    boolean startsTasks() {
        return commands.stream().anyMatch(command -> command instanceof WorkerCommand.Start);
    }

    boolean isTimedOut(double nowSeconds) {
        double timeout = kind == Kind.COMMANDS ? COMMANDS_TIMEOUT_SECONDS : STATUS_TIMEOUT_SECONDS;
        return nowSeconds >= sentAtSeconds + timeout;
    }

    /** The connection on which the request was sent was closed, so the request is lost. */
    void markLost() {
        lost = true;
    }

    boolean isLost() {
        return lost;
    }

    /**
     * The worker executes the request, or refuses it if its term or its agent epoch is not current.
     */
    void deliver(SimulationChecker checker, CommandCopies copies) {
        worker.expireLease();
        checker.checkStartsNoTask(this);
        boolean executed = execute();
        complete(
                executed ? DeliveryOutcome.EXECUTED : DeliveryOutcome.REFUSED,
                worker.createHeartbeat());
        if (executed) {
            copies.onExecuted(this);
        }
    }

    /**
     * A copy of this request, which the worker executed before, arrives. Returns whether the worker
     * executes it, too.
     */
    boolean deliverCopy() {
        worker.expireLease();
        return execute();
    }

    private boolean execute() {
        return agentEpoch == worker.agentEpoch() && worker.execute(leader.term(), commands);
    }

    /**
     * Reports the outcome to the leader, unless one was reported before.
     *
     * @param heartbeat the worker's response; null if there is none
     */
    void complete(DeliveryOutcome outcome, Heartbeat heartbeat) {
        if (completed) {
            return;
        }
        completed = true;
        switch (kind) {
            case COMMANDS -> leader.onCommandOutcome(machineName, outcome, heartbeat);
            case STATUS_REQUEST -> leader.onStatusOutcome(machineName, outcome, heartbeat);
            case PROBE -> leader.onProbeOutcome(machineName, outcome, heartbeat);
        }
    }
}
