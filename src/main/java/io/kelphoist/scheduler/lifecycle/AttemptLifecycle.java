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
 * Starts, stops and ends task attempts, and accounts for them: from its start until it is proven
 * not to be on its machine, an attempt counts against the machine's room, the team's quota and the
 * job's zones.
 */
public final class AttemptLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptLifecycle.class);

    /** Attempt ids hold the term above this bit, so that no two terms use the same id. */
    private static final int TERM_SHIFT = 24;

    private final long term;
    private final JobRegistry jobs;
    private final StartIntentLog startIntentLog;
    private final CommandDispatcher commandDispatcher;
    private final SchedulerOutput output;
    private final ActiveCandidates activeCandidates;
    private long lastAttemptNumber;

    /** Creates the lifecycle of all attempts of a term. */
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

    /** An id that no other attempt of any term has. */
    public long nextAttemptId() {
        return (term << TERM_SHIFT) + ++lastAttemptNumber;
    }

    // ---- start ----

    /**
     * Starts a task of an active job. The attempt counts from here on; the command goes out once
     * the start is recorded.
     */
    public void start(Job job, int taskIndex, Machine machine, long attemptId, double nowSeconds) {
        Preconditions.checkState(
                job.isActive(),
                "%s may not start anything, it is %s",
                job.spec().id(),
                job.state());
        TaskAttempt attempt =
                new TaskAttempt(
                        job, taskIndex, attemptId, machine, machine.agentEpoch(), nowSeconds);
        machine.addAttempt(attempt);
        allocate(attempt);
        startIntentLog.add(attempt);
        if (machine.hold().job() == job) {
            // For the next task another machine may be nearer to fitting, or the only one allowed.
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

    /** Counts an attempt that is, or may be, on its machine. */
    public void allocate(TaskAttempt attempt) {
        Job job = attempt.job();
        attempt.markAllocated();
        attempt.machine().resources().allocate(job.spec().resourcesPerTask());
        job.team().allocate(job.spec().resourcesPerTask());
        job.addAttempt(attempt);
    }

    /** The attempt occupies nothing any more. Does nothing if it was not counted. */
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
     * Stops an attempt. One whose start was not sent yet ends at once. A later call can only
     * shorten the grace.
     *
     * @param graceSeconds the time that the task gets to save a checkpoint; 0: none
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

    /** Stops all attempts of a job, see {@link #stop}. */
    public void stopAll(Job job, double graceSeconds, double nowSeconds) {
        for (TaskAttempt attempt : job.tasks().copyOfAttempts()) {
            stop(attempt, graceSeconds, nowSeconds);
        }
    }

    // ---- end ----

    /** The attempt is proven not to be on its machine. */
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

    /** Nothing runs on the machine any more. */
    void removeAll(Machine machine, double nowSeconds) {
        for (TaskAttempt attempt : machine.attempts().copy()) {
            remove(attempt, nowSeconds);
        }
    }

    /** Rounds a duration for a log line. */
    public static double roundToTenths(double seconds) {
        return Math.round(seconds * 10) / 10.0;
    }
}
