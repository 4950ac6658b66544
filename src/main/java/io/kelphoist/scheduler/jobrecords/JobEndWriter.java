package io.kelphoist.scheduler.jobrecords;

import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests that the ends of jobs whose tasks are all done are stored. A request that failed or has
 * an unknown outcome is repeated until the state store has confirmed an end of the job.
 */
public final class JobEndWriter {
    private static final Logger LOG = LoggerFactory.getLogger(JobEndWriter.class);

    private final SchedulerOutput output;
    private final Set<Job> finishingJobs = new ReferenceLinkedOpenHashSet<>();

    /** Creates a writer that has no ends to store. */
    public JobEndWriter(SchedulerOutput output) {
        this.output = output;
    }

    /** Marks a job as finishing, because all its tasks are done and its end is to be stored. */
    public void onAllTasksDone(Job job) {
        job.transitionTo(Job.State.FINISHING);
        finishingJobs.add(job);
    }

    /** Requests the write of each end that has no write in flight. */
    public void storeDueEnds() {
        finishingJobs.removeIf(this::storeIfFinishing);
    }

    /** Returns true if the job is not finishing any more, because an end of it is confirmed. */
    private boolean storeIfFinishing(Job job) {
        if (job.state() != Job.State.FINISHING) {
            return true;
        }
        if (!job.endBeingStored()) {
            job.beginStoringEnd();
            LOG.debug(
                    "storing the end of a job: job={} recordVersion={}",
                    job.spec().id(),
                    job.recordVersion());
            output.storeDone(job.spec(), job.recordVersion());
        }
        return false;
    }
}
