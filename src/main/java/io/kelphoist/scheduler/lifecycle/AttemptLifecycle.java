package io.kelphoist.scheduler.lifecycle;

import com.google.common.base.Preconditions;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.placement.ActiveCandidates;
import io.kelphoist.scheduler.placement.PlacementScorer;
import io.kelphoist.scheduler.records.StartIntentLog;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import io.kelphoist.scheduler.spi.TaskEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts, stops and removes task attempts, and does the accounting: an attempt is charged to the
 * machine's capacity, the team's quota and the job's zones from the decision to start it until its
 * worker lists it as exited or it is proven not to be on its machine.
 */
public final class AttemptLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptLifecycle.class);

    /**
     * An attempt id contains the term, shifted by this many bits, so that terms share no ids, as
     * long as a term assigns fewer than 2^24.
     */
    private static final int TERM_SHIFT_BITS = 24;

    private final long term;
    private final JobRegistry jobs;
    private final StartIntentLog startIntentLog;
    private final CommandDispatcher commandDispatcher;
    private final SchedulerOutput output;
    private final ActiveCandidates activeCandidates;
    private long lastAttemptNumber;

    /** Creates the lifecycle of the attempts of a term. */
    public AttemptLifecycle(
            long term,
            JobRegistry jobs,
            StartIntentLog startIntentLog,
            CommandDispatcher commandDispatcher,
            SchedulerOutput output,
            ActiveCandidates activeCandidates) {
        this.term = term;
        this.jobs = jobs;
        this.startIntentLog = startIntentLog;
        this.commandDispatcher = commandDispatcher;
        this.output = output;
        this.activeCandidates = activeCandidates;
    }

    /** Returns an id that no attempt of any term has yet; the tasks of a gang attempt share one. */
    public long nextAttemptId() {
        return (term << TERM_SHIFT_BITS) + ++lastAttemptNumber;
    }

    // ---- start ----

    /**
     * Starts a task of an active job. Charges the attempt at once; the command is sent once the
     * start is stored. Throws an {@link IllegalStateException} if the job is not active.
     */
    public void start(Job job, int taskIndex, Machine machine, long attemptId, double nowSeconds) {
        Preconditions.checkState(
                job.isActive(),
                "job %s cannot start a task: its state is %s, expected ACTIVE",
                job.spec().id(),
                job.state());
        TaskAttempt attempt =
                new TaskAttempt(
                        job, taskIndex, attemptId, machine, machine.agentEpoch(), nowSeconds);
        if (job.capacityAcquisition().limitWait().isOverdue()) {
            attempt.markStartedWhenOverdue();
        }
        machine.addAttempt(attempt);
        allocate(attempt);
        startIntentLog.add(attempt);
        if (machine.hold().job() == job) {
            // The machine is held for one task fewer from now on. The hold is not extended to the
            // job's next task, because another machine may be closer to having enough free capacity
            // for that task, or be the only one that is allowed.
            machine.hold().onTaskStarted();
        }
        activeCandidates.onMachineChanged(machine);
        LOG.debug(
                "task start decided: job={} task={} attempt={} machine={} waitSeconds={} fetchSeconds={} used={}",
                job.spec().id(),
                taskIndex,
                attemptId,
                machine.name(),
                roundToTenths(nowSeconds - job.waitingSinceSeconds()),
                roundToTenths(PlacementScorer.fetchSeconds(job, machine)),
                machine.used());
    }

    /** Charges an attempt that may be on its machine to the machine, its team and its job. */
    public void allocate(TaskAttempt attempt) {
        Job job = attempt.job();
        attempt.markAllocated();
        attempt.machine().resources().allocate(job.spec().resourcesPerTask());
        job.team().allocate(job.spec().resourcesPerTask());
        job.addAttempt(attempt);
        job.capacityAcquisition().limitWait().onTaskStarted();
    }

    /**
     * Ends the charge of an attempt that no longer occupies resources. Removes its job from the
     * registry if the job's end is stored and this was its last attempt. No effect if the attempt
     * is not charged.
     */
    public void deallocate(TaskAttempt attempt, double nowSeconds) {
        if (!attempt.allocated()) {
            return;
        }
        Job job = attempt.job();
        attempt.markDeallocated();
        attempt.machine().resources().deallocate(job.spec().resourcesPerTask());
        job.team().deallocate(job.spec().resourcesPerTask());
        job.removeAttempt(attempt, nowSeconds);
        jobs.removeIfEnded(job);
    }

    // ---- stop ----

    /**
     * Requests that an attempt be stopped. An attempt whose start was not sent yet is removed at
     * once. A further call can only shorten the grace period. No effect on presumed attempts, and
     * on those that no longer occupy resources.
     *
     * @param graceSeconds the grace period, which is the time that the task gets to save a
     *     checkpoint; 0: it saves none
     */
    public void stop(TaskAttempt attempt, double graceSeconds, double nowSeconds) {
        if (!attempt.state().occupiesResources()
                || attempt.isPresumed()
                || (attempt.isStopping() && attempt.stopGraceSeconds() <= graceSeconds)) {
            return;
        }
        if (attempt.state() == TaskAttempt.State.STARTING && !attempt.startSent()) {
            remove(attempt, nowSeconds);
            return;
        }
        attempt.requestStop(graceSeconds, nowSeconds);
        commandDispatcher.enqueue(attempt.machine());
    }

    /** Requests that all attempts of a job be stopped, see {@link #stop}. */
    public void stopAll(Job job, double graceSeconds, double nowSeconds) {
        for (TaskAttempt attempt : job.tasks().copyOfAttempts()) {
            stop(attempt, graceSeconds, nowSeconds);
        }
    }

    // ---- removal ----

    /**
     * Removes an attempt that is proven not to be on its machine, or that exited and is no longer
     * listed by its worker. Ends its charge, and publishes that the task stopped if it was charged
     * and reported running. No effect if it was removed before.
     */
    public void remove(TaskAttempt attempt, double nowSeconds) {
        if (attempt.state() == TaskAttempt.State.REMOVED) {
            return;
        }
        boolean wasRunning = attempt.isRunningAllocated();
        attempt.transitionTo(TaskAttempt.State.REMOVED, attempt.exitReason(), nowSeconds);
        attempt.machine().removeAttempt(attempt, nowSeconds);
        startIntentLog.onAttemptEnded(attempt);
        deallocate(attempt, nowSeconds);
        if (wasRunning) {
            output.publishEvent(
                    attempt.job(),
                    new TaskEvent.TaskStopped(
                            attempt.taskIndex(),
                            attempt.machine().name(),
                            attempt.isStopping()
                                    ? TaskEvent.Cause.STOPPED
                                    : TaskEvent.Cause.MACHINE_GONE));
        }
    }

    /** Removes all attempts of a machine on which no task runs any more. */
    void removeAll(Machine machine, double nowSeconds) {
        for (TaskAttempt attempt : machine.attempts().copy()) {
            remove(attempt, nowSeconds);
        }
    }

    /** Rounds to tenths, for a log line. */
    public static double roundToTenths(double value) {
        return Math.round(value * 10) / 10.0;
    }
}
