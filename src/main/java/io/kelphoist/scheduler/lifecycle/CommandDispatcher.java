package io.kelphoist.scheduler.lifecycle;

import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * Sends stops directly to the workers, so that they need not wait for the next heartbeat. Starts
 * are never sent directly: a direct command may be executed late, or once more, when its attempt
 * has long been forgotten. At most one batch of commands per machine is in flight. Responses to
 * heartbeats repeat the stops, so a batch without a response is not sent again.
 */
public final class CommandDispatcher {
    /**
     * After commands that were not delivered or got no response, a machine is sent no direct
     * commands for this many heartbeat intervals.
     */
    private static final int RETRY_DELAY_HEARTBEAT_INTERVALS = 2;

    private final SchedulerOutput output;
    private final double heartbeatIntervalSeconds;

    /** Machines for which stops may be due. */
    private final Set<Machine> pendingMachines = new ReferenceLinkedOpenHashSet<>();

    /** Creates a dispatcher that has no machines with due commands. */
    public CommandDispatcher(SchedulerOutput output, double heartbeatIntervalSeconds) {
        this.output = output;
        this.heartbeatIntervalSeconds = heartbeatIntervalSeconds;
    }

    /** Adds a machine for which stops may be due. */
    void enqueue(Machine machine) {
        pendingMachines.add(machine);
    }

    /** Sends the due commands to each machine that can receive them and has none in flight. */
    public void sendPending(double nowSeconds) {
        for (Iterator<Machine> machines = pendingMachines.iterator(); machines.hasNext(); ) {
            Machine machine = machines.next();
            if (machine.state() == Machine.State.TERMINATED) {
                machines.remove();
            } else if (canReceive(machine, nowSeconds)) {
                List<WorkerCommand> commands = takeCommands(machine);
                if (commands.isEmpty()) {
                    machines.remove();
                } else {
                    machine.contact().onCommandsSent();
                    output.sendCommands(machine, machine.agentEpoch(), commands);
                }
            }
        }
    }

    private static boolean canReceive(Machine machine, double nowSeconds) {
        return machine.state().isReporting() && machine.contact().canReceiveCommands(nowSeconds);
    }

    /** Returns the due commands of a machine, and marks them as sent. */
    private static List<WorkerCommand> takeCommands(Machine machine) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (TaskAttempt attempt : machine.attempts()) {
            if (isStopDue(attempt)) {
                attempt.onStopSent();
                commands.add(
                        new WorkerCommand.Stop(
                                attempt.job().spec().id(),
                                attempt.taskIndex(),
                                attempt.attemptId(),
                                attempt.stopGraceSeconds()));
            }
        }
        return commands;
    }

    private static boolean isStopDue(TaskAttempt attempt) {
        return attempt.state().occupiesResources()
                && attempt.state() != TaskAttempt.State.STARTING
                && attempt.isStopping()
                && !attempt.stopSent();
    }

    /** Handles the outcome of the batch of commands that was sent to a machine. */
    public void onOutcome(Machine machine, DeliveryOutcome outcome, double nowSeconds) {
        machine.contact().onCommandsEnded();
        if (outcome != DeliveryOutcome.EXECUTED && outcome != DeliveryOutcome.REFUSED) {
            machine.contact()
                    .postponeCommands(
                            nowSeconds
                                    + heartbeatIntervalSeconds * RETRY_DELAY_HEARTBEAT_INTERVALS);
            machine.reachability().onUndelivered(outcome, nowSeconds);
        }
    }
}
