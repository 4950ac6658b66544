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
 * What the scheduler requests from other systems. Outcomes come back later as input events of
 * {@code SchedulerState}; no method calls back directly. Called on the event loop.
 */
public interface SchedulerOutput {
    /** Sends commands straight to a worker; outcome: {@code SchedulerState.onCommandOutcome}. */
    void sendCommands(Machine machine, long agentEpoch, List<WorkerCommand> commands);

    /**
     * Asks a worker for a heartbeat, to know whether it receives what is sent to it and whether it
     * restarted; outcome: {@code SchedulerState.onProbeOutcome}.
     */
    void probe(Machine machine);

    /** Stores a page of done tasks; outcome: {@code SchedulerState.onProgressStored}. */
    void storeProgress(int page, List<TaskProgress> progress);

    /**
     * Stores that a job is done; outcome: {@code SchedulerState.onJobRecord}, or {@code
     * SchedulerState.onJobEndNotStored}.
     */
    void storeDone(JobSpec job, long version);

    /**
     * Stores that a job is cancelled with one of its dependencies; outcome as of {@link
     * #storeDone}.
     */
    void storeCancelled(JobRecord job);

    /**
     * Reads a job's record; outcome: {@code SchedulerState.onJobRecord} or {@code
     * SchedulerState.onJobNotFound}, or none if it could not be read.
     */
    void readJob(String jobId);

    /**
     * Stores a page of starts that may be on machines; outcome: {@code
     * SchedulerState.onStartsStored}.
     */
    void storeStarts(int page, List<TaskAttempt> attempts);

    /**
     * Stores a page of what machines should have cached, see {@code SchedulerState.cachedImages};
     * outcome: {@code SchedulerState.onImagesStored}.
     */
    void storeImages(int page, List<Machine> machines);

    /** Publishes an event of a job's tasks; the job's counts include it already. */
    default void publishEvent(Job job, TaskEvent event) {}

    /** Requests machines; outcome: {@code SchedulerState.onScaleOutResponse}. */
    void scaleOut(ScaleOutRequest request);

    /**
     * Returns machines; outcome: {@code SchedulerState.onScaleInConfirmed} or {@code
     * SchedulerState.onScaleInFailed}.
     */
    void scaleIn(List<String> machineNames);
}
