package io.kelphoist.scheduler.cluster;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;

/** The jobs that this term works on: unfinished ones, and ended ones that still have attempts. */
public final class JobRegistry {
    private final Object2ObjectOpenHashMap<String, Job> jobsById = new Object2ObjectOpenHashMap<>();

    /** The job of an id; null if it is not known. */
    public Job get(String jobId) {
        return jobsById.get(jobId);
    }

    /** Whether the job is known. */
    public boolean contains(String jobId) {
        return jobsById.containsKey(jobId);
    }

    /** All jobs, in no particular order; not to be changed. */
    public Collection<Job> all() {
        return jobsById.values();
    }

    /** A read-only view by job id. */
    Map<String, Job> byId() {
        return Collections.unmodifiableMap(jobsById);
    }

    /** Adds a job, or replaces that of the same id. */
    public void add(Job job) {
        jobsById.put(job.spec().id(), job);
    }

    /** Forgets a job whose end is stored once none of its attempts is, or may be, on a machine. */
    public void removeIfEnded(Job job) {
        if (!job.tasks().hasAttempts()
                && (job.state() == Job.State.DONE || job.state() == Job.State.CANCELLED)) {
            jobsById.remove(job.spec().id());
        }
    }

    /** Forgets all cancelled jobs of which nothing is, or may be, on a machine. */
    public void removeCancelledWithoutAttempts() {
        jobsById.values()
                .removeIf(job -> job.state() == Job.State.CANCELLED && !job.tasks().hasAttempts());
    }
}
