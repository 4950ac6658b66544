package io.kelphoist.failover;

import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.WorkerCommand;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Checks a simulated run: invariants at the time of each event, and, at the end of the run, whether
 * the system has converged. Each method throws an {@link AssertionError} if its rule is broken.
 */
final class SimulationChecker {
    /**
     * Time after the acknowledgement of a cancellation within which the job's tasks must have
     * stopped.
     */
    static final double CANCELLATION_TIMEOUT_SECONDS = 30;

    private final SimulationContext context;
    private final SimulatedJobs jobs;
    private final SimulatedTasks tasks;
    private final AcknowledgedCancellationLog cancellations;

    SimulationChecker(
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
     * A task must not run on two machines, must not start before the jobs that its job depends on
     * are done, and must not start when its job was cancelled {@link #CANCELLATION_TIMEOUT_SECONDS}
     * ago.
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
                                + " nowSeconds="
                                + context.nowSeconds());
            }
        }
        JobRecord job = jobs.get(SimulatedTasks.jobOf(task));
        checkNotLongCancelled(task, worker);
        for (String dependency : jobs.dependenciesOf(job.id())) {
            if (!jobs.isDone(dependency)) {
                throw new AssertionError(
                        "task starts before its dependency is done: task="
                                + task
                                + " dependency="
                                + dependency
                                + " nowSeconds="
                                + context.nowSeconds());
            }
        }
    }

    /** The team must not run more tasks than its limit. */
    void checkTeamLimit(List<SimulatedWorker> workers) {
        int running = runningTasks(workers);
        if (running > context.size().taskLimit()) {
            throw new AssertionError(
                    "team exceeds its limit: tasks="
                            + running
                            + " taskLimit="
                            + context.size().taskLimit()
                            + " nowSeconds="
                            + context.nowSeconds());
        }
    }

    /**
     * A leader must not start a task of a job whose acknowledged cancellation it has received.
     *
     * @param receivedCancellations how many entries of the log of acknowledged cancellations the
     *     leader has received, from the first on
     */
    void checkNoCancelledStart(List<WorkerCommand> commands, int receivedCancellations) {
        for (WorkerCommand command : commands) {
            if (command instanceof WorkerCommand.Start
                    && cancellations.firstContain(receivedCancellations, command.jobId())) {
                throw new AssertionError(
                        "leader starts a job whose cancellation it has received: command="
                                + command
                                + " nowSeconds="
                                + context.nowSeconds());
            }
        }
    }

    /**
     * A leader must not start a task by a direct command, which is one that is not sent in the
     * response to a heartbeat: a worker may execute it late, or once more.
     */
    void checkStartsNoTask(CommandDelivery delivery) {
        if (delivery.startsTasks()) {
            throw new AssertionError(
                    "direct command starts a task: machine="
                            + delivery.worker().name()
                            + " nowSeconds="
                            + context.nowSeconds());
        }
    }

    // ---- records and responses ----

    /**
     * A record with a final status must not be replaced, and a job must be recorded as done only
     * after all its tasks have finished.
     *
     * @param before the previous record; null if this is the job's first, which must not be of a
     *     done job. The number of tasks is taken from it, because the record of a done job has no
     *     job spec
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
        for (int taskIndex = 0; taskIndex < before.spec().tasks(); taskIndex++) {
            if (!tasks.isDone(SimulatedTasks.taskName(stored.id(), taskIndex))) {
                throw new AssertionError(
                        "job is recorded as done before all its tasks have finished: job="
                                + stored.id()
                                + " unfinishedTaskIndex="
                                + taskIndex);
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
        for (SimulatedWorker worker : workers) {
            worker.attempts().keySet().forEach(task -> checkNotLongCancelled(task, worker));
        }
    }

    private void checkNotLongCancelled(String task, SimulatedWorker worker) {
        double now = context.nowSeconds();
        double acknowledgedAt =
                cancellations.acknowledgedAtSeconds(SimulatedTasks.jobOf(task), now);
        if (now > acknowledgedAt + CANCELLATION_TIMEOUT_SECONDS) {
            throw new AssertionError(
                    "task of a cancelled job still runs: task="
                            + task
                            + " machine="
                            + worker.name()
                            + " nowSeconds="
                            + now
                            + " acknowledgedAtSeconds="
                            + acknowledgedAt);
        }
    }

    // ---- at the end of a run ----

    /**
     * As many tasks must run as the team's limit and the remaining work allow; one task less than
     * the limit is accepted. No active job may depend on a cancelled job.
     */
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
                            + " taskLimit="
                            + context.size().taskLimit()
                            + " workers="
                            + workers
                            + " leader="
                            + leader);
        }
    }

    private void checkNoCancelledDependency(JobRecord job) {
        if (jobs.dependenciesOf(job.id()).stream().anyMatch(jobs::isCancelled)) {
            throw new AssertionError(
                    "job is active although a job it depends on is cancelled: job="
                            + job.id()
                            + " dependencies="
                            + jobs.dependenciesOf(job.id()));
        }
    }

    private boolean isReady(JobRecord job) {
        return jobs.dependenciesOf(job.id()).stream().allMatch(jobs::isDone);
    }

    /**
     * Returns how many tasks of an active job have not finished. If all have finished, the job must
     * have been recorded as done, unless there was no capacity: if the heartbeat with a task's
     * result was lost, the leader receives the result only by starting the task again. Capacity for
     * one more task is not enough for that, because it may be reserved for a gang of two, which
     * waits until there is capacity for both of its tasks.
     *
     * @param running number of tasks that run
     */
    private int countUnfinishedTasks(JobRecord job, int running) {
        int unfinished = 0;
        for (int taskIndex = 0; taskIndex < job.spec().tasks(); taskIndex++) {
            unfinished += tasks.isDone(SimulatedTasks.taskName(job.id(), taskIndex)) ? 0 : 1;
        }
        if (unfinished == 0 && running < context.size().taskLimit() - 1) {
            throw new AssertionError(
                    "job with only finished tasks is not recorded as done after all faults ended:"
                            + " job="
                            + job.id()
                            + " running="
                            + running
                            + " taskLimit="
                            + context.size().taskLimit());
        }
        return unfinished;
    }

    /** The leader must track every machine that exists in the cloud. */
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
     * The admission of every controller must have responded to the query of every job, and must not
     * have asked the user to retry later.
     *
     * @param responses the last response to each request; the key names the job and the controller
     * @param expectedCount number of requests
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
                            + expectedCount
                            + " requestsWithResponse="
                            + responses.keySet());
        }
    }

    /** Every job must have ended: no record may have the status ACTIVE. */
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
