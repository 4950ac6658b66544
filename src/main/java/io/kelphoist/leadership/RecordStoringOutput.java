package io.kelphoist.leadership;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import java.util.List;

/**
 * The part of a scheduler's output that stores and reads records, by means of the {@link
 * TermRecordStore} of its term. Subclasses add the output to workers and the cloud. Runs on the
 * event loop.
 */
public abstract class RecordStoringOutput implements SchedulerOutput {
    private final TermRecordStore recordStore;

    /** Creates an output that stores and reads records with {@code recordStore}. */
    protected RecordStoringOutput(TermRecordStore recordStore) {
        this.recordStore = recordStore;
    }

    @Override
    public final void storeProgress(int page, List<TaskProgress> progress) {
        recordStore.storeProgress(page, progress);
    }

    @Override
    public final void storeDone(JobSpec job, long jobVersion) {
        recordStore.storeJobDone(job, jobVersion);
    }

    @Override
    public final void storeCancelled(JobRecord job) {
        recordStore.storeJobCancelled(job);
    }

    @Override
    public final void readJob(String jobId) {
        recordStore.readJob(jobId);
    }

    @Override
    public final void storeStarts(int page, List<TaskAttempt> starts) {
        recordStore.storeStarts(page, starts);
    }

    @Override
    public final void storeImages(int page, List<Machine> machines) {
        recordStore.storeImages(page, machines);
    }
}
