package io.kelphoist.model;

import java.util.List;

/**
 * Builds job specs for tests. The default is a job array of one task; tests depend only on values
 * that they set.
 */
public final class JobSpecBuilder {
    private final String id;
    private JobKind kind = JobKind.ARRAY;
    private Priority priority = Priority.NORMAL;
    private int tasks = 1;
    private Resources resourcesPerTask = new Resources(1, 1, 1);
    private String image = "i";
    private double estimatedSeconds = 1;
    private double checkpointIntervalSeconds;
    private double checkpointSaveSeconds;
    private List<String> dependencies = List.of();

    public JobSpecBuilder(String id) {
        this.id = id;
    }

    public JobSpecBuilder kind(JobKind kind) {
        this.kind = kind;
        return this;
    }

    public JobSpecBuilder priority(Priority priority) {
        this.priority = priority;
        return this;
    }

    public JobSpecBuilder tasks(int tasks) {
        this.tasks = tasks;
        return this;
    }

    public JobSpecBuilder resourcesPerTask(Resources resources) {
        this.resourcesPerTask = resources;
        return this;
    }

    public JobSpecBuilder image(String image) {
        this.image = image;
        return this;
    }

    public JobSpecBuilder estimatedSeconds(double seconds) {
        this.estimatedSeconds = seconds;
        return this;
    }

    public JobSpecBuilder checkpoints(double intervalSeconds, double saveSeconds) {
        this.checkpointIntervalSeconds = intervalSeconds;
        this.checkpointSaveSeconds = saveSeconds;
        return this;
    }

    public JobSpecBuilder dependencies(List<String> jobIds) {
        this.dependencies = jobIds;
        return this;
    }

    public JobSpec build() {
        return new JobSpec(
                id,
                /* jobClass= */ "c",
                /* team= */ "t",
                kind,
                priority,
                tasks,
                resourcesPerTask,
                /* machineTypes= */ null,
                /* zone= */ null,
                /* singleZone= */ false,
                /* spreadAcrossZones= */ false,
                /* spotAllowed= */ false,
                image,
                /* imageSizeGb= */ 1,
                estimatedSeconds,
                checkpointIntervalSeconds,
                checkpointSaveSeconds,
                /* deadlineSeconds= */ null,
                dependencies);
    }
}
