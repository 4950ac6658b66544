package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.JobKind;
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.TaskStatus;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import io.kelphoist.scheduler.lifecycle.MachineLifecycle;
import io.kelphoist.scheduler.records.StartIntentLog;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the attempts that are known on a machine with the tasks that its worker lists: ends
 * those that are proven to be gone and adopts those that an earlier term started.
 */
public final class AttemptReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptReconciler.class);

    private final JobRegistry jobs;
    private final AttemptLifecycle attempts;
    private final TaskAttemptHandler attemptHandler;
    private final MachineLifecycle machineLifecycle;
    private final StartIntentLog startIntentLog;

    /** Creates the reconciler of a term's machines and jobs. */
    public AttemptReconciler(
            JobRegistry jobs,
            AttemptLifecycle attempts,
            TaskAttemptHandler attemptHandler,
            MachineLifecycle machineLifecycle,
            StartIntentLog startIntentLog) {
        this.jobs = jobs;
        this.attempts = attempts;
        this.attemptHandler = attemptHandler;
        this.machineLifecycle = machineLifecycle;
        this.startIntentLog = startIntentLog;
    }

    /** The worker began a new agent epoch: the tasks of earlier ones are gone. */
    void endAgentEpoch(Machine machine, long newAgentEpoch, double nowSeconds) {
        int previousAttemptCount = machine.attempts().size();
        for (TaskAttempt attempt : machine.attempts().copy()) {
            // What a record names is presumed until the machine has seen this term: nobody knows in
            // which agent epoch it was started.
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
     * Takes over a list of tasks, newer than what is known, of a worker that has seen this term.
     */
    void reconcile(Machine machine, Heartbeat heartbeat, double nowSeconds) {
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
                onNotListed(attempt, nowSeconds);
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

    private void onNotListed(TaskAttempt attempt, double nowSeconds) {
        if (attempt.isPresumed() || attempt.state() == TaskAttempt.State.EXITED) {
            attempts.remove(attempt, nowSeconds);
        } else if (attempt.state() == TaskAttempt.State.STARTING) {
            // A start in a response to a heartbeat is executed before the next heartbeat or never.
            // A command without a response may be executed at any time, so that such an attempt
            // stays until it is listed.
            if (attempt.isStopping() && !attempt.mayStartArrive()) {
                attempts.remove(attempt, nowSeconds);
            }
        } else if (attempt.state().occupiesResources()) {
            // Within an agent epoch a worker lists a task until it is told to forget it. So it
            // restarted, and its new numbering has passed the number of the last known message.
            machineLifecycle.onWorkerRestarted(attempt.machine(), nowSeconds);
        }
    }

    /**
     * Adopts a task that an earlier term started. Returns null if its job is not known: the task is
     * stopped, and forgotten once it has exited, see {@link HeartbeatResponder}.
     */
    private TaskAttempt adopt(
            Machine machine, TaskStatus taskStatus, long agentEpoch, double nowSeconds) {
        Job job = jobs.get(taskStatus.jobId());
        int taskIndex = taskStatus.taskIndex();
        if (job == null || taskIndex >= job.spec().tasks()) {
            return null;
        }
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
        boolean isWanted = isWanted(job, taskStatus);
        if (isWanted && job.spec().kind() == JobKind.GANG) {
            job.beginGangAttempt(taskStatus.attemptId());
        }
        attempts.allocate(attempt);
        if (!isWanted) {
            LOG.info(
                    "adopted task is not wanted: job={} task={} attempt={} machine={}",
                    taskStatus.jobId(),
                    taskIndex,
                    taskStatus.attemptId(),
                    machine.name());
            attempts.stop(attempt, 0, nowSeconds);
        }
        return attempt;
    }

    /** The task was seen, so it is not where older records presume it: a task runs only once. */
    private void endPresumedAttempts(Job job, int taskIndex, double nowSeconds) {
        for (TaskAttempt presumed = job.tasks().attemptAt(taskIndex);
                presumed != null && presumed.isPresumed();
                presumed = job.tasks().attemptAt(taskIndex)) {
            attempts.remove(presumed, nowSeconds);
        }
    }

    /**
     * Whether an adopted task goes on. Of a gang the first attempt that is seen decides: the tasks
     * that records presume elsewhere may be part of it.
     */
    private static boolean isWanted(Job job, TaskStatus taskStatus) {
        return job.isActive()
                && !job.tasks().isDone(taskStatus.taskIndex())
                && !job.tasks().hasAttemptAt(taskStatus.taskIndex())
                && (job.spec().kind() != JobKind.GANG
                        || job.gangAttemptId() == 0
                        || job.gangAttemptId() == taskStatus.attemptId());
    }
}
