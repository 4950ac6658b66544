package io.kelphoist.failover;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobSpecBuilder;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.Priority;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The newest stored record of each job, and the dependencies of the jobs. */
final class SimulatedJobs {
    /** Time that the task of a gang needs to save a checkpoint. */
    static final double CHECKPOINT_SAVE_SECONDS = 1;

    private static final double CHECKPOINT_INTERVAL_SECONDS = 30;
    private static final String IMAGE = "img";
    private static final double ESTIMATE_SECONDS = 60;

    private final Map<String, JobRecord> recordsById = new LinkedHashMap<>();
    private final Map<String, List<String>> dependenciesById = new HashMap<>();

    /** Replaces the record of a job. Returns the previous one; null if this is the job's first. */
    JobRecord replace(JobRecord stored) {
        return recordsById.put(stored.id(), stored);
    }

    JobRecord get(String jobId) {
        return recordsById.get(jobId);
    }

    int size() {
        return recordsById.size();
    }

    Set<String> ids() {
        return Collections.unmodifiableSet(recordsById.keySet());
    }

    Collection<JobRecord> all() {
        return Collections.unmodifiableCollection(recordsById.values());
    }

    List<String> dependenciesOf(String jobId) {
        return dependenciesById.getOrDefault(jobId, List.of());
    }

    boolean isDone(String jobId) {
        return get(jobId).status() == JobStatus.DONE;
    }

    boolean isCancelled(String jobId) {
        return get(jobId).status() == JobStatus.CANCELLED;
    }

    /**
     * Creates one of the jobs that are stored before a run starts: job arrays, services and gangs,
     * of two tasks each.
     */
    JobSpec createInitialJob(int number) {
        boolean isGang = number >= SimulatedTasks.FIRST_GANG;
        JobKind kind = isGang ? JobKind.GANG : number % 4 == 3 ? JobKind.SERVICE : JobKind.ARRAY;
        Priority priority = number % 2 == 0 && !isGang ? Priority.NORMAL : Priority.HIGH;
        String id = "job-" + number;
        List<String> dependencies = initialDependencies(number);
        dependenciesById.put(id, dependencies);
        JobSpecBuilder job =
                new JobSpecBuilder(id)
                        .kind(kind)
                        .priority(priority)
                        .tasks(SimulatedTasks.GANG_SIZE)
                        .image(IMAGE)
                        .estimatedSeconds(ESTIMATE_SECONDS)
                        .dependencies(dependencies);
        if (isGang) {
            job.checkpoints(CHECKPOINT_INTERVAL_SECONDS, CHECKPOINT_SAVE_SECONDS);
        }
        return job.build();
    }

    private static List<String> initialDependencies(int number) {
        if (number % 4 == 2) {
            return List.of("job-" + (number - 2));
        }
        return number == 9 ? List.of("job-6", "job-8") : List.of();
    }

    /** Creates a job of one task, as users submit it during a run. */
    static JobSpec createSubmittedJob(String id, Priority priority, double durationSeconds) {
        return new JobSpecBuilder(id)
                .priority(priority)
                .image(IMAGE)
                .estimatedSeconds(durationSeconds)
                .build();
    }
}
