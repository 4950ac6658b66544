package io.kelphoist.failover;

import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.WorkerCommand;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Checks the rules of a simulated run at the time of each event. Each method throws an {@link
 * AssertionError} if its rule is broken.
 */
final class SafetyChecker {
    /**
     * Time after the acknowledgement of a cancellation within which the job's tasks must have
     * stopped.
     */
    static final double CANCELLATION_TIMEOUT_SECONDS = 30;

    /**
     * Time for which the heartbeats of a machine may be missing while tasks may still be started on
     * it: a heartbeat round that allows for late heartbeats, plus the granularity of the
     * simulation's steps.
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

    /**
     * A task must not run on two machines, and must not start before the jobs that its job depends
     * on are done.
     */
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

    /** The team must not run more tasks than its limit. */
    void checkTeamLimit(List<SimulatedWorker> workers) {
        int running = runningTasks(workers);
        if (running > context.size().taskLimit()) {
            throw new AssertionError(
                    "team exceeds its limit: tasks=" + running + " at=" + context.nowSeconds());
        }
    }

    /** A leader must not start a job whose acknowledged cancellation it has received. */
    void checkNoCancelledStart(List<WorkerCommand> commands, int receivedCancellations) {
        for (WorkerCommand command : commands) {
            if (command instanceof WorkerCommand.Start
                    && cancellations.firstContain(receivedCancellations, command.jobId())) {
                throw new AssertionError(
                        "leader starts a job whose cancellation it has received: command="
                                + command
                                + " at="
                                + context.nowSeconds());
            }
        }
    }

    /**
     * A leader must not start a task by a direct command on a machine whose heartbeats have been
     * missing for longer than {@link #MAX_HEARTBEAT_GAP_SECONDS}, unless the leader received the
     * instance list within that time. Only heartbeats renew the worker lease, so the task would be
     * stopped when the lease expires.
     */
    void checkHeartbeatsBeforeStart(CommandDelivery delivery) {
        SimulatedWorker worker = delivery.worker();
        double lastReportedAtSeconds =
                Math.max(
                        worker.lastHeartbeatReceivedAtSeconds(),
                        delivery.leader().listedAtSeconds());
        if (worker.isOutboundBlocked()
                && delivery.sentAtSeconds() > lastReportedAtSeconds + MAX_HEARTBEAT_GAP_SECONDS
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
     * A record with a final status must not be replaced, and a job must be recorded as done only
     * after all its tasks are done.
     *
     * @param before the previous record; null if this is the job's first
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
            if (!tasks.isDone(SimulatedTasks.taskName(stored.id(), task))) {
                throw new AssertionError(
                        "job is recorded as done before its tasks: job="
                                + stored.id()
                                + " task="
                                + task);
            }
        }
    }

    /**
     * A response about an accepted job must find the job. It must not contradict a final phase that
     * the user had received before the request, and must report the job as cancelled only after the
     * cancellation was added to the log of acknowledged cancellations.
     *
     * @param before the newest phase in a response that a user had received when the request was
     *     sent; null if there was none
     * @return the phase in the response
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
            throw new AssertionError(
                    "cancellation is acknowledged to a user before it is added to the log: job="
                            + jobId);
        }
        return phase;
    }

    /**
     * The tasks of a cancelled job must have stopped {@link #CANCELLATION_TIMEOUT_SECONDS} after
     * the acknowledgement.
     */
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

    /** As many tasks must run as the team's limit and the remaining work allow. */
    void checkCapacityIsUsed(List<SimulatedWorker> workers, SimulatedLeader leader) {
        int running = runningTasks(workers);
        int unfinished = 0;
        for (JobRecord job : jobs.all()) {
            if (job.status() == JobStatus.ACTIVE) {
                checkNoCancelledDependency(job);
                unfinished += isReady(job) ? countUnfinishedTasks(job, running) : 0;
            }
        }
        // The remaining work may be a gang of two while there is capacity for only one task.
        if (running < Math.min(unfinished, context.size().taskLimit() - 1)) {
            throw new AssertionError(
                    "capacity is not used after all faults ended: running="
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
     * Returns how many tasks of the job have not finished. If the heartbeat with a task's result
     * was lost, the leader receives the result by starting the task again. That requires capacity,
     * of which the capacity for one task may be reserved for a gang of two that waits for a second
     * place.
     */
    private int countUnfinishedTasks(JobRecord job, int running) {
        int unfinished = 0;
        for (int task = 0; task < job.spec().tasks(); task++) {
            unfinished += tasks.isDone(SimulatedTasks.taskName(job.id(), task)) ? 0 : 1;
        }
        if (unfinished == 0 && running < context.size().taskLimit() - 1) {
            throw new AssertionError(
                    "finished job is not recorded as done after all faults ended: job=" + job.id());
        }
        return unfinished;
    }

    /** The leader must track every machine that is paid for. */
    void checkAllMachinesTracked(List<SimulatedWorker> workers, SimulatedLeader leader) {
        for (SimulatedWorker worker : workers) {
            if (!leader.hasMachine(worker.name())) {
                throw new AssertionError(
                        "leader does not track the machine after all faults ended: machine="
                                + worker.name());
            }
        }
    }

    /**
     * Every front end must respond to the query of every job, and must not ask the user to retry
     * later.
     */
    void checkResponsesAtEnd(Map<String, AdmissionResult> responses, int expectedCount) {
        responses.forEach(
                (request, response) -> {
                    if (response instanceof AdmissionResult.RetryLater) {
                        throw new AssertionError(
                                "request must be retried later after all faults ended: request="
                                        + request
                                        + " response="
                                        + response);
                    }
                });
        if (responses.size() != expectedCount) {
            throw new AssertionError(
                    "requests without a response after all faults ended: responses="
                            + responses.size()
                            + " expected="
                            + expectedCount);
        }
    }

    /** Every job must have ended. */
    void checkAllJobsEnded(Collection<JobRecord> records, QueueWaitRecorder queueWaits) {
        for (JobRecord job : records) {
            if (job.status() == JobStatus.ACTIVE) {
                throw new AssertionError(
                        "job has not ended: job="
                                + job.id()
                                + " "
                                + queueWaits.describe(job.id())
                                + " nowSeconds="
                                + context.nowSeconds());
            }
        }
    }

    private static int runningTasks(List<SimulatedWorker> workers) {
        return workers.stream().mapToInt(worker -> worker.attempts().size()).sum();
    }
}
