package io.kelphoist.scheduler.cluster;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;

/** The jobs of one term: unfinished jobs, and ended jobs that still have attempts. */
public final class JobRegistry {
    private final Object2ObjectOpenHashMap<String, Job> jobsById = new Object2ObjectOpenHashMap<>();

    /** The job with this id; null: the registry does not contain it. */
    public Job get(String jobId) {
        return jobsById.get(jobId);
    }

    /** Whether the registry contains a job with this id. */
    public boolean contains(String jobId) {
        return jobsById.containsKey(jobId);
    }

    /** All jobs, in no particular order; callers must not change the collection. */
    public Collection<Job> all() {
        return jobsById.values();
    }

    /** A read-only view of all jobs by id. */
    Map<String, Job> byId() {
        return Collections.unmodifiableMap(jobsById);
    }

    /** Adds a job, or replaces the job with the same id. */
    public void add(Job job) {
        jobsById.put(job.spec().id(), job);
    }

    /** Removes a job if its end is stored and none of its attempts may be on a machine. */
    public void removeIfEnded(Job job) {
        if (!job.tasks().hasAttempts() && job.hasEnded()) {
            jobsById.remove(job.spec().id());
        }
    }

    /** Removes all cancelled jobs without attempts that may be on a machine. */
    public void removeCancelledWithoutAttempts() {
        jobsById.values()
                .removeIf(job -> job.state() == Job.State.CANCELLED && !job.tasks().hasAttempts());
    }
}
