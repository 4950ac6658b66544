package io.kelphoist.model;

import java.util.List;
import java.util.Set;

/**
 * The spec of a job, as a user submitted it.
 *
 * @param jobClass name of the class by which similar jobs are grouped
 * @param tasks number of tasks
 * @param machineTypes allowed machine types; null if all are allowed
 * @param zone the only allowed zone; null if all are allowed
 * @param singleZone whether all tasks must run in the same zone
 * @param spreadAcrossZones whether at most half of the tasks may run in the same zone
 * @param spotAllowed whether tasks may run on spot instances
 * @param estimatedSeconds expected run time
 * @param checkpointIntervalSeconds time between two checkpoints; 0 if the job saves none
 * @param checkpointSaveSeconds time to save a checkpoint
 * @param deadlineSeconds time from submission within which the job should be done; null if there is
 *     no deadline
 * @param dependencies ids of the jobs that must be done before any task starts, without duplicates
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        JobKind kind,
        Priority priority,
        int tasks,
        Resources resourcesPerTask,
        Set<String> machineTypes,
        String zone,
        boolean singleZone,
        boolean spreadAcrossZones,
        boolean spotAllowed,
        String image,
        double imageSizeGb,
        double estimatedSeconds,
        double checkpointIntervalSeconds,
        double checkpointSaveSeconds,
        Double deadlineSeconds,
        List<String> dependencies) {
    /** Maximum length of the image name in {@link #abridged}; longer names are truncated. */
    private static final int ABRIDGED_IMAGE_LENGTH = 64;

    /** Returns the owner, which determines who may read the job. */
    public JobOwner owner() {
        return new JobOwner(team, jobClass);
    }

    /** Returns whether tasks may run on machines of a type. */
    public boolean allowsMachineType(String type) {
        return machineTypes == null || machineTypes.contains(type);
    }

    /** Returns the maximum number of tasks that may run in the same zone. */
    public int maxTasksPerZone() {
        return spreadAcrossZones ? (tasks + 1) / 2 : tasks;
    }

    /** Returns whether tasks save checkpoints. */
    public boolean isCheckpointed() {
        return checkpointIntervalSeconds > 0;
    }

    /**
     * Returns the time, in seconds, that a task which is being stopped gets to save a checkpoint; 0
     * if the job saves none.
     */
    public double checkpointGraceSeconds() {
        return isCheckpointed() ? checkpointSaveSeconds : 0;
    }

    /**
     * Returns the spec without the parts that are not needed once the job is cancelled, so that the
     * record of the cancelled job stays within the value size limit of the state store.
     */
    public JobSpec abridged() {
        String shortImage =
                image.length() > ABRIDGED_IMAGE_LENGTH
                        ? image.substring(0, ABRIDGED_IMAGE_LENGTH)
                        : image;
        return new JobSpec(
                id,
                jobClass,
                team,
                kind,
                priority,
                tasks,
                resourcesPerTask,
                null,
                zone,
                singleZone,
                spreadAcrossZones,
                spotAllowed,
                shortImage,
                imageSizeGb,
                estimatedSeconds,
                checkpointIntervalSeconds,
                checkpointSaveSeconds,
                deadlineSeconds,
                List.of());
    }
}
