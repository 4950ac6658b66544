package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.JobSpec;
import io.kelphoist.model.Priority;

/**
 * The urgency of one job: its priority and the time by which it should be done. Both account for
 * the jobs that depend on it. Owns both.
 */
final class JobUrgency {
    private final JobSpec spec;
    private final double acceptedAtSeconds;

    /** The highest of its own priority and the priorities of its dependents. */
    private Priority priority;

    /**
     * The earliest of its own deadline and, for each dependent, the dependent's latest finish minus
     * its estimated run time; infinite: no deadline.
     */
    private double latestFinishAtSeconds;

    JobUrgency(JobSpec spec, double acceptedAtSeconds) {
        this.spec = spec;
        this.acceptedAtSeconds = acceptedAtSeconds;
        reset();
    }

    /** The highest of its own priority and the priorities of its dependents. */
    Priority priority() {
        return priority;
    }

    /**
     * When the job should be done at the latest, so that it and its dependents meet their
     * deadlines; infinite: no deadline.
     */
    double latestFinishAtSeconds() {
        return latestFinishAtSeconds;
    }

    /** Raises the urgency to what a dependent requires; returns whether that changed it. */
    boolean inherit(JobUrgency dependent) {
        Priority previousPriority = priority;
        double previousLatestFinishAtSeconds = latestFinishAtSeconds;
        if (dependent.priority.compareTo(priority) > 0) {
            priority = dependent.priority;
        }
        latestFinishAtSeconds =
                Math.min(
                        latestFinishAtSeconds,
                        dependent.latestFinishAtSeconds - dependent.spec.estimatedSeconds());
        return priority != previousPriority
                || latestFinishAtSeconds != previousLatestFinishAtSeconds;
    }

    /** Sets the urgency to the priority and deadline of the job's own description. */
    void reset() {
        priority = spec.priority();
        latestFinishAtSeconds =
                spec.deadlineSeconds() == null
                        ? Double.POSITIVE_INFINITY
                        : acceptedAtSeconds + spec.deadlineSeconds();
    }
}
