package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.JobKind;
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.TaskStatus;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.jobrecords.JobDependencies;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import io.kelphoist.scheduler.lifecycle.MachineLifecycle;
import io.kelphoist.scheduler.records.StartIntentLog;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the attempts that the leader assumes on a machine with the tasks that its worker
 * lists: ends attempts that are proven not to be on the machine, and adopts tasks that an earlier
 * term started.
 */
public final class AttemptReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptReconciler.class);

    private final JobRegistry jobs;
    private final JobDependencies jobDependencies;
    private final AttemptLifecycle attempts;
    private final TaskAttemptHandler attemptHandler;
    private final MachineLifecycle machineLifecycle;
    private final StartIntentLog startIntentLog;

    /** Creates the reconciler of the task attempts of a term. */
    public AttemptReconciler(
            JobRegistry jobs,
            JobDependencies jobDependencies,
            AttemptLifecycle attempts,
            TaskAttemptHandler attemptHandler,
            MachineLifecycle machineLifecycle,
            StartIntentLog startIntentLog) {
        this.jobs = jobs;
        this.jobDependencies = jobDependencies;
        this.attempts = attempts;
        this.attemptHandler = attemptHandler;
        this.machineLifecycle = machineLifecycle;
        this.startIntentLog = startIntentLog;
    }

    /**
     * Ends the attempts of earlier agent epochs, except presumed ones. The worker has started a new
     * epoch, so no task of an earlier one is on the machine any more.
     */
    void endAgentEpoch(Machine machine, long newAgentEpoch, double nowSeconds) {
        int previousAttemptCount = machine.attempts().size();
        for (TaskAttempt attempt : machine.attempts().copy()) {
            // An attempt that is known only from a record is presumed to run until the worker has
            // seen this term: the record does not state the agent epoch of its start.
            if (attempt.agentEpoch() < newAgentEpoch && !attempt.isPresumed()) {
                attempts.remove(attempt, nowSeconds);
            }
        }
        if (machine.agentEpoch() > 0) {
            LOG.info(
                    "agent epoch ended: machine={} newAgentEpoch={} endedAttempts={} {}",
                    machine.name(),
                    newAgentEpoch,
                    previousAttemptCount - machine.attempts().size(),
                    machine.contact().summary(nowSeconds));
        }
    }

    /**
     * Applies the task list of a worker that has seen this term. The list must be newer than the
     * last one applied.
     */
    void reconcile(Machine machine, Heartbeat heartbeat, MessageKind kind, double nowSeconds) {
        for (TaskStatus taskStatus : heartbeat.tasks()) {
            TaskAttempt attempt = machine.attempts().find(taskStatus);
            if (attempt == null) {
                attempt = adopt(machine, taskStatus, heartbeat.agentEpoch(), nowSeconds);
            }
            if (attempt != null) {
                attemptHandler.onTaskStatus(attempt, taskStatus, nowSeconds);
            }
        }
        for (TaskAttempt attempt : machine.attempts().copy()) {
            if (!isListed(attempt, heartbeat.tasks())) {
                onNotListed(attempt, kind, nowSeconds);
            }
        }
    }

    private static boolean isListed(TaskAttempt attempt, List<TaskStatus> tasks) {
        for (TaskStatus taskStatus : tasks) {
            if (attempt.matches(taskStatus)) {
                return true;
            }
        }
        return false;
    }

    private void onNotListed(TaskAttempt attempt, MessageKind kind, double nowSeconds) {
        if (attempt.isPresumed() || attempt.state() == TaskAttempt.State.EXITED) {
            attempts.remove(attempt, nowSeconds);
        } else if (attempt.state() == TaskAttempt.State.STARTING) {
            if (kind == MessageKind.HEARTBEAT && attempt.startSent()) {
                onStartNotReceived(attempt, nowSeconds);
            }
        } else if (attempt.state().occupiesResources()) {
            // Within an agent epoch a worker lists a task until it gets a forget command for it.
            // So the worker has restarted, and its new sequence numbers have passed that of the
            // last message received before the restart.
            machineLifecycle.onWorkerRestarted(attempt.machine(), nowSeconds);
        }
    }

    /**
     * Handles a start that did not reach the worker: the start is executed before the worker's next
     * heartbeat or never. Unless the attempt is being stopped, its start is repeated.
     */
    private void onStartNotReceived(TaskAttempt attempt, double nowSeconds) {
        attempt.machine().reachability().onDeliveryFailed(nowSeconds);
        if (attempt.isStopping()) {
            attempts.remove(attempt, nowSeconds);
        }
    }

    /**
     * Adopts a task that an earlier term started: adds an attempt to the machine and, unless the
     * task has exited, charges it to the machine and the team. An attempt that is not needed is
     * stopped.
     *
     * @return the attempt; null if its job is not registered, in which case {@link
     *     HeartbeatResponder} stops the task and, after it has exited, lets the worker forget it.
     *     Also null if the job has no task of this index
     */
    private TaskAttempt adopt(
            Machine machine, TaskStatus taskStatus, long agentEpoch, double nowSeconds) {
        Job job = jobs.get(taskStatus.jobId());
        int taskIndex = taskStatus.taskIndex();
        if (job == null || taskIndex >= job.spec().tasks()) {
            return null;
        }
        jobDependencies.onTaskStartProven(job);
        TaskAttempt attempt =
                new TaskAttempt(
                        job, taskIndex, taskStatus.attemptId(), machine, agentEpoch, nowSeconds);
        machine.addAttempt(attempt);
        if (taskStatus.phase() == TaskPhase.EXITED) {
            return attempt;
        }
        attempt.onAdopted();
        startIntentLog.adopt(attempt, machine.attempts().findPresumed(job, taskIndex));
        endPresumedAttempts(job, taskIndex, nowSeconds);
        boolean isStillNeeded = isStillNeeded(job, taskStatus);
        if (isStillNeeded && job.spec().kind() == JobKind.GANG) {
            job.beginGangAttempt(taskStatus.attemptId());
        }
        attempts.allocate(attempt);
        if (!isStillNeeded) {
            LOG.info(
                    "adopted task not needed, stopping it: job={} task={} attempt={} machine={}",
                    taskStatus.jobId(),
                    taskIndex,
                    taskStatus.attemptId(),
                    machine.name());
            attempts.stop(attempt, /* graceSeconds= */ 0, nowSeconds);
        }
        return attempt;
    }

    /**
     * Ends the presumed attempts at a task that a worker has listed, on all machines. The task is
     * not on the machines of these attempts, because it is not on two machines at a time.
     */
    private void endPresumedAttempts(Job job, int taskIndex, double nowSeconds) {
        for (TaskAttempt presumed = job.tasks().attemptAt(taskIndex);
                presumed != null && presumed.isPresumed();
                presumed = job.tasks().attemptAt(taskIndex)) {
            attempts.remove(presumed, nowSeconds);
        }
    }

    /**
     * Whether an adopted task continues to run: its job is active, and the task is neither done nor
     * has another attempt. For a gang, the gang attempt that is listed first is kept: tasks that
     * are presumed on other machines because of records may belong to it.
     */
    private static boolean isStillNeeded(Job job, TaskStatus taskStatus) {
        return job.isActive()
                && !job.tasks().isDone(taskStatus.taskIndex())
                && !job.tasks().hasAttemptAt(taskStatus.taskIndex())
                && (job.spec().kind() != JobKind.GANG
                        || job.gangAttemptId() == 0
                        || job.gangAttemptId() == taskStatus.attemptId());
    }
}
