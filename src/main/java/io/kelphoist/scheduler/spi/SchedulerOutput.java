package io.kelphoist.scheduler.spi;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import java.util.List;

/**
 * Receives the scheduler's requests to other systems. Their outcomes are passed later to {@code
 * SchedulerState} as input events; no method calls back into the scheduler. Called on the event
 * loop.
 */
public interface SchedulerOutput {
    /** Sends commands directly to a worker; outcome: {@code SchedulerState.onCommandOutcome}. */
    void sendCommands(Machine machine, long agentEpoch, List<WorkerCommand> commands);

    /**
     * Sends a reachability probe: requests a heartbeat from a worker, to find out whether it
     * receives messages and whether it restarted; outcome: {@code SchedulerState.onProbeOutcome}.
     */
    void probe(Machine machine);

    /** Stores a page of done tasks; outcome: {@code SchedulerState.onProgressStored}. */
    void storeProgress(int page, List<TaskProgress> progress);

    /**
     * Stores that a job is done, unless its record has changed since; outcome: {@code
     * SchedulerState.onJobRecord}, or {@code SchedulerState.onJobEndNotStored}.
     *
     * @param version the version of the newest record of the job that was received
     */
    void storeDone(JobSpec job, long version);

    /**
     * Stores that a job is cancelled because one of its dependencies is; outcome as for {@link
     * #storeDone}.
     */
    void storeCancelled(JobRecord job);

    /**
     * Reads a job's record from the state store; outcome: {@code SchedulerState.onJobRecord} or
     * {@code SchedulerState.onJobNotFound}, or none if it could not be read.
     */
    void readJob(String jobId);

    /**
     * Stores a page of starts of attempts that may be on machines; outcome: {@code
     * SchedulerState.onStartsStored}.
     */
    void storeStarts(int page, List<TaskAttempt> attempts);

    /**
     * Stores a page of the images that should be cached on machines, see {@code
     * SchedulerState.cachedImages}; outcome: {@code SchedulerState.onImagesStored}.
     */
    void storeImages(int page, List<Machine> machines);

    /** Publishes an event of a job's tasks; the job's task counts already include it. */
    default void publishEvent(Job job, TaskEvent event) {}

    /** Requests machines from the cloud; outcome: {@code SchedulerState.onScaleOutResponse}. */
    void scaleOut(ScaleOutRequest request);

    /**
     * Requests the termination of machines; outcome: {@code SchedulerState.onScaleInConfirmed} or
     * {@code SchedulerState.onScaleInFailed}.
     */
    void scaleIn(List<String> machineNames);
}
