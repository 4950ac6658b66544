package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.ExitReason;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.TaskStatus;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import java.util.ArrayList;
import java.util.List;

/**
 * Selects the commands for the response to a heartbeat, in the order in which the worker must
 * execute them.
 */
final class HeartbeatResponder {
    private HeartbeatResponder() {}

    /**
     * Returns the commands for the machine's attempts and, if no newer message was received, for
     * listed tasks of unregistered jobs. Marks the starts and stops of the attempts as sent.
     */
    static List<WorkerCommand> commands(JobRegistry jobs, Machine machine, Heartbeat heartbeat) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (TaskAttempt attempt : machine.attempts()) {
            if (attempt.isPresumed()) {
                continue;
            }
            if (attempt.state() == TaskAttempt.State.EXITED) {
                addForget(commands, attempt);
            } else {
                addStartAndStop(commands, attempt);
            }
        }
        // The task list of a heartbeat is not used if a newer message of the machine was received.
        if (heartbeat.isNewerThan(machine.agentEpoch(), machine.contact().sequenceNumber() - 1)) {
            addForTasksOfUnregisteredJobs(commands, jobs, machine, heartbeat.tasks());
        }
        return commands;
    }

    private static void addForget(List<WorkerCommand> commands, TaskAttempt attempt) {
        if (isForgettable(attempt)) {
            commands.add(
                    new WorkerCommand.Forget(
                            attempt.job().spec().id(), attempt.taskIndex(), attempt.attemptId()));
        }
    }

    private static void addStartAndStop(List<WorkerCommand> commands, TaskAttempt attempt) {
        String jobId = attempt.job().spec().id();
        boolean isStarting = attempt.state() == TaskAttempt.State.STARTING;
        // A stop command alone does not end an attempt whose start command may still arrive. The
        // worker starts the attempt by this response and then stops it, so that the earlier start
        // command has no effect.
        boolean startMayArrive = attempt.mayStartArrive();
        if (isStarting && attempt.startRecorded() && (!attempt.isStopping() || startMayArrive)) {
            commands.add(new WorkerCommand.Start(jobId, attempt.taskIndex(), attempt.attemptId()));
            attempt.onStartSentInResponse();
        }
        if (attempt.isStopping() && (!isStarting || startMayArrive)) {
            commands.add(
                    new WorkerCommand.Stop(
                            jobId,
                            attempt.taskIndex(),
                            attempt.attemptId(),
                            attempt.stopGraceSeconds()));
            attempt.onStopSent();
        }
    }

    /**
     * Stops tasks of unregistered jobs and, after they have exited, lets the worker forget them.
     */
    private static void addForTasksOfUnregisteredJobs(
            List<WorkerCommand> commands,
            JobRegistry jobs,
            Machine machine,
            List<TaskStatus> tasks) {
        for (TaskStatus task : tasks) {
            if (machine.attempts().find(task) == null && !jobs.contains(task.jobId())) {
                commands.add(
                        task.phase() == TaskPhase.EXITED
                                ? new WorkerCommand.Forget(
                                        task.jobId(), task.taskIndex(), task.attemptId())
                                : new WorkerCommand.Stop(
                                        task.jobId(),
                                        task.taskIndex(),
                                        task.attemptId(),
                                        /* graceSeconds= */ 0));
            }
        }
    }

    /**
     * Whether a worker may forget an exited attempt: its result is stored or need not be, and no
     * command with its start can still arrive.
     */
    private static boolean isForgettable(TaskAttempt attempt) {
        if (attempt.mayStartArrive()) {
            return false;
        }
        if (attempt.exitReason() != ExitReason.DONE) {
            return true;
        }
        return switch (attempt.job().state()) {
            case DONE, CANCELLING, CANCELLED -> true;
            case FINISHING -> false;
            case WAITING, ACTIVE -> attempt.job().tasks().isDoneStored(attempt.taskIndex());
        };
    }
}
