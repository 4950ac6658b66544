package io.kelphoist.failover;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import java.util.List;

/**
 * A request on its way from a leader to a worker. The leader gives it up after a while, and it may
 * still arrive later.
 */
final class CommandDelivery {
    /** The kind of a request to a worker. */
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
     * @param worker null: no machine has the address any more
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

    /** The connection that it was sent on is closed. */
    void markLost() {
        lost = true;
    }

    boolean isLost() {
        return lost;
    }

    /** The worker executes it, or refuses it if the leader or the agent epoch is not current. */
    void deliver(SafetyChecker checker) {
        worker.expireLease();
        checker.checkHeartbeatsBeforeStart(this);
        boolean executed =
                agentEpoch == worker.agentEpoch() && worker.execute(leader.term(), commands);
        complete(
                executed ? DeliveryOutcome.EXECUTED : DeliveryOutcome.REFUSED,
                worker.createHeartbeat());
    }

    /**
     * The leader learns the outcome, if it has not before.
     *
     * @param heartbeat null: without a response of the worker
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
