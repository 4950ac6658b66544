package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.ExitReason;
import io.kelphoist.model.JobKind;
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.TaskStatus;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.images.ImageCatalog;
import io.kelphoist.scheduler.jobrecords.JobEndWriter;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import io.kelphoist.scheduler.records.SchedulerRecords;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import io.kelphoist.scheduler.spi.TaskEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the task status that a worker reports to the task's attempt: its progress, its exit, and
 * the consequences of both for its job and machine.
 */
public final class TaskAttemptHandler {
    private static final Logger LOG = LoggerFactory.getLogger(TaskAttemptHandler.class);

    /** Delay before a job is placed again after a worker refused a job or task unknown to it. */
    private static final double UNKNOWN_TASK_RETRY_SECONDS = 2.0;

    /** Delay before a job is placed again after a refusal for any other reason. */
    private static final double REFUSED_RETRY_SECONDS = 0.5;

    /**
     * A machine on which tasks of this many different jobs failed is treated as faulty. Jobs that
     * are suspected faulty themselves are not counted.
     */
    private static final int FAULTY_MACHINE_FAILED_JOBS = 2;

    private final AttemptLifecycle attempts;
    private final JobEndWriter jobEndWriter;
    private final ImageCatalog imageCatalog;
    private final SchedulerRecords records;
    private final SchedulerOutput output;

    /** Creates the handler of the task statuses that workers report in a term. */
    public TaskAttemptHandler(
            AttemptLifecycle attempts,
            JobEndWriter jobEndWriter,
            ImageCatalog imageCatalog,
            SchedulerRecords records,
            SchedulerOutput output) {
        this.attempts = attempts;
        this.jobEndWriter = jobEndWriter;
        this.imageCatalog = imageCatalog;
        this.records = records;
        this.output = output;
    }

    /**
     * Applies a task status from a message that is newer than all earlier messages from its
     * machine. No effect if the state of the attempt does not change.
     */
    void onTaskStatus(TaskAttempt attempt, TaskStatus taskStatus, double nowSeconds) {
        TaskAttempt.State next = stateOf(taskStatus.phase());
        boolean hadRun = attempt.hasRun();
        if (!attempt.transitionTo(next, taskStatus.exitReason(), nowSeconds)) {
            return;
        }
        if (provesImageCached(next, taskStatus.exitReason())) {
            recordImageUse(attempt);
        }
        if (!hadRun && attempt.hasRun()) {
            onRunning(attempt, nowSeconds);
        }
        if (next == TaskAttempt.State.EXITED) {
            onExited(attempt, taskStatus.exitReason(), nowSeconds);
        }
    }

    private static TaskAttempt.State stateOf(TaskPhase phase) {
        return switch (phase) {
            case FETCHING -> TaskAttempt.State.FETCHING;
            case WAITING -> TaskAttempt.State.WAITING;
            case RUNNING -> TaskAttempt.State.RUNNING;
            case SAVING -> TaskAttempt.State.SAVING;
            case EXITED -> TaskAttempt.State.EXITED;
        };
    }

    private static boolean provesImageCached(TaskAttempt.State state, ExitReason exitReason) {
        return exitReason == ExitReason.DONE
                || (state != TaskAttempt.State.FETCHING && state != TaskAttempt.State.EXITED);
    }

    private void recordImageUse(TaskAttempt attempt) {
        Job job = attempt.job();
        boolean isNew =
                attempt.machine()
                        .images()
                        .recordUse(
                                job.imageIndex(), job.spec().imageSizeGb(), imageCatalog::sizeGb);
        if (isNew) {
            records.images().onImagesChanged(attempt.machine());
        }
    }

    private void onRunning(TaskAttempt attempt, double nowSeconds) {
        Job job = attempt.job();
        job.onTaskRunning(nowSeconds);
        output.publishEvent(
                job, new TaskEvent.TaskRunning(attempt.taskIndex(), attempt.machine().name()));
        LOG.debug(
                "task running: class={} kind={} job={} task={} machine={} secondsSinceAccepted={} secondsSinceStart={}",
                job.spec().jobClass(),
                job.spec().kind(),
                job.spec().id(),
                attempt.taskIndex(),
                attempt.machine().name(),
                AttemptLifecycle.roundToTenths(nowSeconds - job.acceptedAtSeconds()),
                AttemptLifecycle.roundToTenths(nowSeconds - attempt.createdAtSeconds()));
    }

    // ---- exits ----

    private void onExited(TaskAttempt attempt, ExitReason exitReason, double nowSeconds) {
        Job job = attempt.job();
        LOG.debug(
                "task exited: job={} task={} attempt={} machine={} reason={}",
                job.spec().id(),
                attempt.taskIndex(),
                attempt.attemptId(),
                attempt.machine().name(),
                exitReason);
        if (exitReason == ExitReason.DONE && job.isActive()) {
            onDone(attempt);
        }
        boolean wasRunning = attempt.isRunningAllocated();
        attempts.deallocate(attempt, nowSeconds);
        publishExit(attempt, exitReason, wasRunning);
        switch (exitReason) {
            case ERROR -> onFailed(attempt, nowSeconds);
            case INSUFFICIENT_RESOURCES, BUSY, UNKNOWN, PEERS_MISSING ->
                    onRefused(attempt, exitReason, nowSeconds);
            default -> {}
        }
        if (exitReason != ExitReason.DONE) {
            stopBrokenGang(job, nowSeconds);
        }
        jobEndWriter.onTaskExited(job);
    }

    private void onDone(TaskAttempt attempt) {
        Job job = attempt.job();
        job.failures().onTaskSucceeded();
        if (job.spec().kind() == JobKind.GANG) {
            // All tasks of a gang are done together.
            job.tasks().markAllDone();
        } else {
            job.tasks().markDone(attempt.taskIndex());
        }
        if (!job.tasks().areAllDone()) {
            records.progress().onTaskDone(job, attempt.taskIndex());
        }
    }

    private void publishExit(TaskAttempt attempt, ExitReason exitReason, boolean wasRunning) {
        String machineName = attempt.machine().name();
        if (exitReason == ExitReason.DONE) {
            output.publishEvent(
                    attempt.job(), new TaskEvent.TaskDone(attempt.taskIndex(), machineName));
        } else if (wasRunning) {
            output.publishEvent(
                    attempt.job(),
                    new TaskEvent.TaskStopped(
                            attempt.taskIndex(), machineName, causeOf(exitReason)));
        }
    }

    private static TaskEvent.Cause causeOf(ExitReason exitReason) {
        return switch (exitReason) {
            case ERROR -> TaskEvent.Cause.FAILED;
            case PEER_EXITED, PEERS_MISSING -> TaskEvent.Cause.GANG;
            default -> TaskEvent.Cause.STOPPED;
        };
    }

    /**
     * Handles a task that the worker did not run: the job is placed again only after {@link
     * #UNKNOWN_TASK_RETRY_SECONDS} or {@link #REFUSED_RETRY_SECONDS}.
     */
    private static void onRefused(TaskAttempt attempt, ExitReason reason, double nowSeconds) {
        Job job = attempt.job();
        job.failures()
                .postponeRetry(
                        nowSeconds
                                + (reason == ExitReason.UNKNOWN
                                        ? UNKNOWN_TASK_RETRY_SECONDS
                                        : REFUSED_RETRY_SECONDS));
        if (reason != ExitReason.PEERS_MISSING) {
            LOG.info(
                    "task refused by worker: machine={} job={} task={} reason={}",
                    attempt.machine().name(),
                    job.spec().id(),
                    attempt.taskIndex(),
                    reason);
        }
    }

    /**
     * Stops the other attempts of a gang of which a task has exited without being done. All of them
     * must have ended before the next gang attempt starts. No effect if the job is not an active
     * gang.
     */
    private void stopBrokenGang(Job job, double nowSeconds) {
        if (job.spec().kind() != JobKind.GANG || !job.isActive()) {
            return;
        }
        for (TaskAttempt other : job.tasks().copyOfAttempts()) {
            if (!other.isStopping()) {
                attempts.stop(
                        other, job.hasRun() ? job.spec().checkpointSaveSeconds() : 0, nowSeconds);
            }
        }
    }

    /**
     * Handles a task that ended with an error. The failure is attributed to the machine unless the
     * job is suspected faulty: in most cases the machine is at fault, but not if the job fails on
     * every machine.
     */
    private static void onFailed(TaskAttempt attempt, double nowSeconds) {
        Job job = attempt.job();
        Machine machine = attempt.machine();
        boolean wasSuspectedFaulty = job.isSuspectedFaulty();
        job.failures().onTaskFailed(machine.recordFailure(job), nowSeconds);
        LOG.info(
                "task failed: job={} task={} machine={} jobErrors={} failedMachines={}",
                job.spec().id(),
                attempt.taskIndex(),
                machine.name(),
                job.failures().errorCount(),
                job.failures().failedMachineCount());
        if (job.isSuspectedFaulty() && !wasSuspectedFaulty) {
            LOG.warn(
                    "job suspected faulty, limiting it to one task or gang at a time: job={}",
                    job.spec().id());
        }
        drainIfFaulty(machine, nowSeconds);
    }

    /** Drains a machine that is up and on which enough different jobs have failed. */
    private static void drainIfFaulty(Machine machine, double nowSeconds) {
        int failedJobCount = machine.countAttributedFailures();
        if (failedJobCount >= FAULTY_MACHINE_FAILED_JOBS && machine.state() == Machine.State.UP) {
            LOG.warn(
                    "machine faulty, draining it for termination: machine={} failedJobs={}",
                    machine.name(),
                    failedJobCount);
            machine.transitionTo(Machine.State.DRAINING, nowSeconds);
        }
    }
}
