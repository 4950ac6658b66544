package io.kelphoist.scheduler.jobrecords;

import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests that the ends of jobs whose tasks are all done are stored. Which jobs these are is
 * derived from the states of their tasks, at an interval, so that it does not matter how the last
 * task became done: because its worker reported its exit, or because an earlier term had stored it.
 * A request that failed or has an unknown outcome is repeated until the state store has confirmed
 * an end of the job.
 */
public final class JobEndWriter {
    private static final Logger LOG = LoggerFactory.getLogger(JobEndWriter.class);

    /** Time between two checks of all jobs. */
    private static final double CHECK_INTERVAL_SECONDS = 1;

    private final JobRegistry jobs;
    private final SchedulerOutput output;
    private final Set<Job> finishingJobs = new ReferenceLinkedOpenHashSet<>();
    private double nextCheckAtSeconds;

    /** Creates a writer that has no ends to store. */
    public JobEndWriter(JobRegistry jobs, SchedulerOutput output) {
        this.jobs = jobs;
        this.output = output;
    }

    /**
     * Called when a task of the job has exited, so that the end of the job need not wait for the
     * next check of all jobs.
     */
    public void onTaskExited(Job job) {
        finishIfAllTasksDone(job);
    }

    /** Requests the write of each end that has no write in flight. */
    public void storeDueEnds(double nowSeconds) {
        if (nowSeconds >= nextCheckAtSeconds) {
            nextCheckAtSeconds = nowSeconds + CHECK_INTERVAL_SECONDS;
            checkAllJobs();
        }
        finishingJobs.removeIf(this::storeIfFinishing);
    }

    private void checkAllJobs() {
        for (Job job : jobs.all()) {
            if (finishIfAllTasksDone(job)) {
                LOG.info("job found with all tasks done, storing its end: job={}", job.spec().id());
            }
        }
    }

    /** Marks an active job as finishing if all its tasks are done; returns whether it did. */
    private boolean finishIfAllTasksDone(Job job) {
        if (!job.isActive() || !job.tasks().areAllDone()) {
            return false;
        }
        job.transitionTo(Job.State.FINISHING);
        finishingJobs.add(job);
        return true;
    }

    /** Returns true if the job is not finishing any more, because an end of it is confirmed. */
    private boolean storeIfFinishing(Job job) {
        if (job.state() != Job.State.FINISHING) {
            return true;
        }
        if (!job.recordState().isEndBeingStored()) {
            job.recordState().beginStoringEnd();
            LOG.debug(
                    "storing the end of a job: job={} recordVersion={}",
                    job.spec().id(),
                    job.recordState().version());
            output.storeDone(job.spec(), job.recordState().version());
        }
        return false;
    }
}
