package io.kelphoist.scheduler;

import io.kelphoist.model.CachedImages;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.RecordedStart;
import io.kelphoist.model.ReplicatedMachine;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineCatalog;
import io.kelphoist.scheduler.cluster.MachineIdentity;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.jobrecords.JobDependencies;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import io.kelphoist.scheduler.lifecycle.SchedulerContext;
import io.kelphoist.scheduler.records.SchedulerRecords;
import java.util.List;

/**
 * Restores the records that earlier terms stored (starts, done tasks, cached images) and the
 * machine states that their leaders replicated. Called after the job records have been read and
 * before the first decision; only the cached images, which are a hint, may be restored later.
 */
final class StateRecovery {
    private final MachineCatalog catalog;
    private final MachineRegistry machines;
    private final JobRegistry jobs;
    private final AttemptLifecycle attempts;
    private final JobDependencies jobDependencies;
    private final SchedulerRecords records;

    StateRecovery(
            SchedulerContext context, JobDependencies jobDependencies, SchedulerRecords records) {
        this.catalog = context.catalog();
        this.machines = context.machines();
        this.jobs = context.jobs();
        this.attempts = context.attemptLifecycle();
        this.jobDependencies = jobDependencies;
        this.records = records;
    }

    /** Restores the done tasks of a job, unless the job is not registered. */
    void onProgressLoaded(int pageNumber, TaskProgress stored) {
        Job job = jobs.get(stored.jobId());
        if (job != null) {
            jobDependencies.onTaskStartProven(job);
            job.tasks().restoreDone(stored.firstTask(), stored.doneTasks());
            records.progress().restore(pageNumber, job, stored.firstTask());
        }
    }

    /** Restores the images that a machine should have cached, now or once it is registered. */
    void onImagesLoaded(int pageNumber, CachedImages images) {
        records.images().addUnclaimed(pageNumber, images);
        Machine machine = machines.get(images.machineName());
        if (machine != null) {
            records.images().restoreMachine(machine);
        }
    }

    /**
     * Restores a start that an earlier term recorded. The task is presumed to run on the machine
     * until the machine sends a heartbeat under this term or its lease has expired. No task without
     * a record can run there, because each start is recorded before it is sent.
     *
     * <p>A start is ignored if its job is not registered or has no task of this index, or the task
     * is done. So is a further start of the same task on the same machine.
     */
    void onStartLoaded(int pageNumber, RecordedStart start, double nowSeconds) {
        Job job = jobs.get(start.task().jobId());
        int taskIndex = start.task().taskIndex();
        if (job == null || taskIndex >= job.spec().tasks()) {
            return;
        }
        jobDependencies.onTaskStartProven(job);
        if (job.tasks().isDone(taskIndex)) {
            return;
        }
        Machine machine = machines.get(start.machineName());
        if (machine == null) {
            machine = createMachine(start, machineTypeOf(start, job), nowSeconds);
            machines.add(machine);
        }
        if (machine.attempts().findPresumed(job, taskIndex) == null) {
            TaskAttempt attempt = TaskAttempt.presumed(job, taskIndex, machine, nowSeconds);
            machine.addAttempt(attempt);
            records.starts().restore(pageNumber, attempt);
            attempts.allocate(attempt);
        }
    }

    /**
     * Returns the machine's type. Of a type that the cloud no longer offers only the recorded task
     * is known to fit, so nothing larger is placed there.
     */
    private MachineType machineTypeOf(RecordedStart start, Job job) {
        MachineType offered = catalog.type(start.machineType());
        if (offered != null) {
            return offered;
        }
        return new MachineType(
                start.machineType(),
                job.spec().resourcesPerTask(),
                /* cacheGb= */ 0,
                catalog.maxFetchGbPerSecond(),
                /* price= */ 0,
                /* spotPrice= */ 0,
                /* bootSeconds= */ 0,
                List.of(start.zone()));
    }

    private Machine createMachine(RecordedStart start, MachineType machineType, double nowSeconds) {
        return new Machine(
                new MachineIdentity(
                        start.machineName(),
                        machineType,
                        catalog.zones().getOrAssign(start.zone()),
                        start.spot()),
                /* address= */ null,
                Machine.State.JOINING,
                nowSeconds);
    }

    /**
     * Restores a machine from the state that an earlier leader replicated. That state is only a
     * hint as to which machines status requests are to be sent to. A machine that is not registered
     * is added, unless it is terminated or its type is unknown. Its lease is measured from now,
     * because it is unknown when an earlier leader last acknowledged a heartbeat of it.
     */
    void onReplicatedMachine(ReplicatedMachine replicated, double nowSeconds) {
        MachineType machineType = catalog.type(replicated.machineType());
        Machine machine = machines.get(replicated.name());
        if (machine == null && machineType != null && !machines.isTerminated(replicated.name())) {
            machine = createMachine(replicated, machineType);
            machine.contact().onDiscovered(nowSeconds);
            machines.add(machine);
        }
        if (machine != null) {
            machine.applyReplicated(replicated);
        }
    }

    private Machine createMachine(ReplicatedMachine replicated, MachineType machineType) {
        return new Machine(
                new MachineIdentity(
                        replicated.name(),
                        machineType,
                        catalog.zones().getOrAssign(replicated.zone()),
                        replicated.spot()),
                replicated.address(),
                replicated.hasReported() ? Machine.State.JOINING : Machine.State.BOOTING,
                replicated.launchedAtSeconds());
    }
}
