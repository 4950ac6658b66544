package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.ExitReason;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.TaskStatus;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import io.kelphoist.scheduler.spi.SentStarts;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Selects the commands for the response to a heartbeat, in the order in which the worker must
 * execute them. The only class that creates start commands: a worker executes such a response
 * before it sends its next heartbeat, or never, whereas a direct command may be executed late or
 * repeated as long as its session and fencing token are current, also after a forget command.
 */
final class HeartbeatResponder {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatResponder.class);

    private final JobRegistry jobs;
    private final Machine machine;
    private final Heartbeat heartbeat;
    private final SentStarts sentStarts;
    private final double nowSeconds;
    private final List<WorkerCommand> commands = new ArrayList<>();

    private HeartbeatResponder(
            JobRegistry jobs,
            Machine machine,
            Heartbeat heartbeat,
            SentStarts sentStarts,
            double nowSeconds) {
        this.jobs = jobs;
        this.machine = machine;
        this.heartbeat = heartbeat;
        this.sentStarts = sentStarts;
        this.nowSeconds = nowSeconds;
    }

    /**
     * Returns the commands for the machine's attempts and, if no newer message was received, for
     * listed tasks of unregistered jobs. Marks the starts and stops of the attempts as sent, and
     * counts the starts.
     */
    static List<WorkerCommand> commands(
            JobRegistry jobs,
            Machine machine,
            Heartbeat heartbeat,
            SentStarts sentStarts,
            double nowSeconds) {
        HeartbeatResponder responder =
                new HeartbeatResponder(jobs, machine, heartbeat, sentStarts, nowSeconds);
        responder.addCommands();
        return responder.commands;
    }

    private void addCommands() {
        for (TaskAttempt attempt : machine.attempts()) {
            if (attempt.isPresumed()) {
                continue;
            }
            if (attempt.state() == TaskAttempt.State.EXITED) {
                addForget(attempt);
            } else if (attempt.isStopping()) {
                addStop(attempt);
            } else {
                addStart(attempt);
            }
        }
        // The task list of a heartbeat is not used if a newer message of the machine was received.
        if (heartbeat.isNewerThan(machine.agentEpoch(), machine.contact().sequenceNumber() - 1)) {
            addForTasksOfUnregisteredJobs();
        }
    }

    private void addForget(TaskAttempt attempt) {
        if (isForgettable(attempt)) {
            commands.add(
                    new WorkerCommand.Forget(
                            attempt.job().spec().id(), attempt.taskIndex(), attempt.attemptId()));
            LOG.debug(
                    "forget sent: job={} task={} attempt={} machine={} agentEpoch={} sequence={}"
                            + " exit={}",
                    attempt.job().spec().id(),
                    attempt.taskIndex(),
                    attempt.attemptId(),
                    machine.name(),
                    heartbeat.agentEpoch(),
                    heartbeat.sequenceNumber(),
                    attempt.exitReason());
        }
    }

    private void addStart(TaskAttempt attempt) {
        if (attempt.state() == TaskAttempt.State.STARTING && attempt.startRecorded()) {
            commands.add(
                    new WorkerCommand.Start(
                            attempt.job().spec().id(), attempt.taskIndex(), attempt.attemptId()));
            onStartSent(attempt);
        }
    }

    private void onStartSent(TaskAttempt attempt) {
        double secondsSinceDecision = nowSeconds - attempt.createdAtSeconds();
        if (attempt.startSent()) {
            sentStarts.onStartRepeated();
        } else {
            sentStarts.onStartSent(secondsSinceDecision);
        }
        LOG.debug(
                "start sent: job={} task={} attempt={} machine={} agentEpoch={} sequence={}"
                        + " repeated={} secondsSinceDecision={}",
                attempt.job().spec().id(),
                attempt.taskIndex(),
                attempt.attemptId(),
                machine.name(),
                heartbeat.agentEpoch(),
                heartbeat.sequenceNumber(),
                attempt.startSent(),
                AttemptLifecycle.roundToTenths(secondsSinceDecision));
        attempt.onStartSent();
    }

    private void addStop(TaskAttempt attempt) {
        if (attempt.state() != TaskAttempt.State.STARTING) {
            commands.add(
                    new WorkerCommand.Stop(
                            attempt.job().spec().id(),
                            attempt.taskIndex(),
                            attempt.attemptId(),
                            attempt.stopGraceSeconds()));
            attempt.onStopSent();
        }
    }

    /**
     * Stops tasks of unregistered jobs and, after they have exited, lets the worker forget them.
     */
    private void addForTasksOfUnregisteredJobs() {
        for (TaskStatus task : heartbeat.tasks()) {
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

    /** Whether a worker may forget an exited attempt: its result is stored or need not be. */
    private static boolean isForgettable(TaskAttempt attempt) {
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
