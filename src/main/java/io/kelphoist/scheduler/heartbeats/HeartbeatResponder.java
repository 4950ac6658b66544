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

/** The commands in the answer to a heartbeat, in the order in which a worker must execute them. */
final class HeartbeatResponder {
    private HeartbeatResponder() {}

    /** Marks the starts and stops among the commands as sent. */
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
        if (heartbeat.isNewerThan(machine.agentEpoch(), machine.contact().sequenceNumber() - 1)) {
            addForUnknownTasks(commands, jobs, machine, heartbeat.tasks());
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
        // A stop does not end an attempt whose start may arrive later: the worker starts it with
        // this answer, and then stops it.
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

    /** Tasks of jobs that are not known are stopped and, once they exited, forgotten. */
    private static void addForUnknownTasks(
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
                                        task.jobId(), task.taskIndex(), task.attemptId(), 0));
            }
        }
    }

    /**
     * Whether a worker may forget an exited attempt: its result is stored, and no command with its
     * start may arrive any more.
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
