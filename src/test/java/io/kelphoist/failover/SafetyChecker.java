package io.kelphoist.failover;

import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.WorkerCommand;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * The rules of a simulated run, checked as things happen: each method throws an {@link
 * AssertionError} if its rule is broken.
 */
final class SafetyChecker {
    /** Time after its acknowledgement in which a cancelled job's tasks must have stopped. */
    static final double CANCELLATION_TIMEOUT_SECONDS = 30;

    /**
     * Time for which heartbeats of a machine may be missing before no task is started there: a
     * heartbeat round with late ones, and the steps of the simulation.
     */
    private static final double MAX_HEARTBEAT_GAP_SECONDS =
            1.25 * SimulationContext.HEARTBEAT_INTERVAL_SECONDS + 2.5;

    private final SimulationContext context;
    private final SimulatedJobs jobs;
    private final SimulatedTasks tasks;
    private final AcknowledgedCancellationLog cancellations;

    SafetyChecker(
            SimulationContext context,
            SimulatedJobs jobs,
            SimulatedTasks tasks,
            AcknowledgedCancellationLog cancellations) {
        this.context = context;
        this.jobs = jobs;
        this.tasks = tasks;
        this.cancellations = cancellations;
    }

    // ---- starts ----

    /** No task runs on two machines, and none starts before the jobs that its job depends on. */
    void checkTaskStart(String task, SimulatedWorker worker, List<SimulatedWorker> workers) {
        for (SimulatedWorker other : workers) {
            if (other.attempts().containsKey(task)) {
                throw new AssertionError(
                        "task starts on two machines: task="
                                + task
                                + " runsOn="
                                + other.name()
                                + " startsOn="
                                + worker.name()
                                + " at="
                                + context.nowSeconds());
            }
        }
        JobRecord job = jobs.get(SimulatedTasks.jobOf(task));
        for (String dependency : jobs.dependenciesOf(job.id())) {
            if (!jobs.isDone(dependency)) {
                throw new AssertionError(
                        "task starts before its dependency is done: task="
                                + task
                                + " dependency="
                                + dependency
                                + " at="
                                + context.nowSeconds());
            }
        }
    }

    /** The team does not run more tasks than its limit. */
    void checkTeamLimit(List<SimulatedWorker> workers) {
        int running = runningTasks(workers);
        if (running > context.size().taskLimit()) {
            throw new AssertionError(
                    "team exceeds its limit: tasks=" + running + " at=" + context.nowSeconds());
        }
    }

    /** A leader does not start a job that it knows to be acknowledged as cancelled. */
    void checkNoCancelledStart(List<WorkerCommand> commands, int knownCancellations) {
        for (WorkerCommand command : commands) {
            if (command instanceof WorkerCommand.Start
                    && cancellations.firstContain(knownCancellations, command.jobId())) {
                throw new AssertionError(
                        "leader starts a job whose cancellation it knows: command="
                                + command
                                + " at="
                                + context.nowSeconds());
            }
        }
    }

    /**
     * No task is started by a direct order on a machine whose heartbeats have been missing for
     * long: the lease that only heartbeats renew would end it.
     */
    void checkHeartbeatsBeforeStart(CommandDelivery delivery) {
        SimulatedWorker worker = delivery.worker();
        double knownAtSeconds =
                Math.max(
                        worker.lastHeartbeatReceivedAtSeconds(),
                        delivery.leader().listedAtSeconds());
        if (worker.isOutboundBlocked()
                && delivery.sentAtSeconds() > knownAtSeconds + MAX_HEARTBEAT_GAP_SECONDS
                && delivery.startsTasks()) {
            throw new AssertionError(
                    "task is started on a machine without heartbeats: machine="
                            + worker.name()
                            + " sentAt="
                            + delivery.sentAtSeconds()
                            + " lastHeartbeatAt="
                            + worker.lastHeartbeatReceivedAtSeconds());
        }
    }

    // ---- records and responses ----

    /**
     * A final record is not replaced, and a job is recorded as done only when all its tasks are.
     *
     * @param before null: the job's first record
     */
    void checkStoredRecord(JobRecord before, JobRecord stored) {
        if (before != null && before.status().isFinal()) {
            throw new AssertionError(
                    "final job record is replaced: job="
                            + stored.id()
                            + " before="
                            + before.status()
                            + " after="
                            + stored.status());
        }
        if (stored.status() != JobStatus.DONE) {
            return;
        }
        for (int task = 0; task < before.spec().tasks(); task++) {
            if (!tasks.isFinished(SimulatedTasks.taskName(stored.id(), task))) {
                throw new AssertionError(
                        "job is recorded as done before its tasks: job="
                                + stored.id()
                                + " task="
                                + task);
            }
        }
    }

    /**
     * A response about an accepted job finds it, does not contradict a final one that the user had
     * before the request, and says cancelled only if that was noted before.
     *
     * @param before the newest phase that a user had been answered when the request was sent; null:
     *     none
     */
    AdmissionResult.Phase checkResponse(
            String jobId, AdmissionResult.Phase before, AdmissionResult response) {
        if (!(response instanceof AdmissionResult.Found found)) {
            throw new AssertionError(
                    "accepted job is not found: job=" + jobId + " response=" + response);
        }
        AdmissionResult.Phase phase = found.job().phase();
        if (before != null && before.isFinal() && before != phase) {
            throw new AssertionError(
                    "response contradicts an earlier one: job="
                            + jobId
                            + " before="
                            + before
                            + " after="
                            + phase);
        }
        if (phase == AdmissionResult.Phase.CANCELLED && !cancellations.contains(jobId)) {
            throw new AssertionError("cancellation is answered before it is noted: job=" + jobId);
        }
        return phase;
    }

    /** Tasks of a cancelled job have stopped some time after the user was answered. */
    void checkCancelledTasksStopped(List<SimulatedWorker> workers) {
        double now = context.nowSeconds();
        for (SimulatedWorker worker : workers) {
            for (String task : worker.attempts().keySet()) {
                double acknowledgedAt =
                        cancellations.acknowledgedAtSeconds(SimulatedTasks.jobOf(task), now);
                if (now > acknowledgedAt + CANCELLATION_TIMEOUT_SECONDS) {
                    throw new AssertionError(
                            "task of a cancelled job still runs: task="
                                    + task
                                    + " machine="
                                    + worker.name()
                                    + " at="
                                    + now
                                    + " acknowledgedAt="
                                    + acknowledgedAt);
                }
            }
        }
    }

    // ---- at the end of a run ----

    /** As many tasks run as the limit and the work that is left allow. */
    void checkCapacityIsUsed(List<SimulatedWorker> workers, SimulatedLeader leader) {
        int running = runningTasks(workers);
        int unfinished = 0;
        for (JobRecord job : jobs.all()) {
            if (job.status() == JobStatus.ACTIVE) {
                checkNoCancelledDependency(job);
                unfinished += isReady(job) ? countUnfinishedTasks(job, running) : 0;
            }
        }
        // What is left may be a gang of two, and one free place.
        if (running < Math.min(unfinished, context.size().taskLimit() - 1)) {
            throw new AssertionError(
                    "capacity is not used at the end: running="
                            + running
                            + " unfinished="
                            + unfinished
                            + " workers="
                            + workers
                            + " leader="
                            + leader);
        }
    }

    private void checkNoCancelledDependency(JobRecord job) {
        if (jobs.dependenciesOf(job.id()).stream().anyMatch(jobs::isCancelled)) {
            throw new AssertionError(
                    "job is not cancelled with the job it depends on: job=" + job.id());
        }
    }

    private boolean isReady(JobRecord job) {
        return jobs.dependenciesOf(job.id()).stream().allMatch(jobs::isDone);
    }

    /**
     * A result whose heartbeat was lost is found by starting the task again, for which there must
     * be capacity: one place may be kept free for a gang of two that waits for another.
     */
    private int countUnfinishedTasks(JobRecord job, int running) {
        int unfinished = 0;
        for (int task = 0; task < job.spec().tasks(); task++) {
            unfinished += tasks.isFinished(SimulatedTasks.taskName(job.id(), task)) ? 0 : 1;
        }
        if (unfinished == 0 && running < context.size().taskLimit() - 1) {
            throw new AssertionError(
                    "finished job is not recorded as done at the end: job=" + job.id());
        }
        return unfinished;
    }

    /** The leader knows every machine that is paid for. */
    void checkAllMachinesTracked(List<SimulatedWorker> workers, SimulatedLeader leader) {
        for (SimulatedWorker worker : workers) {
            if (!leader.hasMachine(worker.name())) {
                throw new AssertionError(
                        "machine is unknown to the leader at the end: machine=" + worker.name());
            }
        }
    }

    /** Every front end answers about every job. */
    void checkResponsesAtEnd(Map<String, AdmissionResult> responses, int expectedCount) {
        responses.forEach(
                (request, response) -> {
                    if (response instanceof AdmissionResult.RetryLater) {
                        throw new AssertionError(
                                "request is put off at the end: request="
                                        + request
                                        + " response="
                                        + response);
                    }
                });
        if (responses.size() != expectedCount) {
            throw new AssertionError(
                    "requests are not answered at the end: responses="
                            + responses.size()
                            + " expected="
                            + expectedCount);
        }
    }

    /** Every job has ended. */
    void checkAllJobsEnded(Collection<JobRecord> records, QueueWaitRecorder queueWaits) {
        for (JobRecord job : records) {
            if (job.status() == JobStatus.ACTIVE) {
                throw new AssertionError(
                        "job has not ended: job="
                                + job.id()
                                + ", "
                                + queueWaits.describe(job.id())
                                + ", now "
                                + context.nowSeconds());
            }
        }
    }

    private static int runningTasks(List<SimulatedWorker> workers) {
        return workers.stream().mapToInt(worker -> worker.attempts().size()).sum();
    }
}
