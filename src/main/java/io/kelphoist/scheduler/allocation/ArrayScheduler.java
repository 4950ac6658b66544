package io.kelphoist.scheduler.allocation;

import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.images.ImageLocations;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import io.kelphoist.scheduler.placement.PlacementScorer;

/**
 * Schedules job arrays, whose tasks are independent. Uses delay scheduling: if some machine has the
 * image cached, a task waits for a short time for that machine to have free resources, because
 * fetching the image elsewhere takes longer than a short wait.
 */
final class ArrayScheduler extends IndependentTaskScheduler {
    private static final double MIN_LOCALITY_WAIT_SECONDS = 1.0;

    /**
     * A task waits at most for this share of the expected fetch duration, and at most for {@link
     * SchedulingPolicy#localityWaitSeconds}. If either is shorter than {@link
     * #MIN_LOCALITY_WAIT_SECONDS}, it waits at most for the latter.
     */
    private static final double LOCALITY_WAIT_FETCH_SHARE = 0.25;

    private final SchedulingPolicy policy;
    private final ImageLocations<Machine> imageLocations;

    ArrayScheduler(
            AttemptLifecycle attemptLifecycle,
            SchedulingPolicy policy,
            ImageLocations<Machine> imageLocations) {
        super(attemptLifecycle);
        this.policy = policy;
        this.imageLocations = imageLocations;
    }

    @Override
    boolean declines(Job job, Machine offered, double nowSeconds) {
        if (offered.images().isCached(job.imageIndex())
                || !shouldWaitForCachedImage(job, offered, nowSeconds)) {
            return false;
        }
        job.capacityAcquisition().onPlacementDeclined(nowSeconds);
        return true;
    }

    /**
     * Whether the job has waited for less time than it may wait for a cached image, and a machine
     * other than the offered one accepts work, is allowed for the job and has the image cached.
     */
    private boolean shouldWaitForCachedImage(Job job, Machine offered, double nowSeconds) {
        double fetchSeconds = PlacementScorer.fetchSeconds(job, offered);
        double waitSeconds =
                Math.max(
                        MIN_LOCALITY_WAIT_SECONDS,
                        Math.min(
                                policy.localityWaitSeconds(),
                                fetchSeconds * LOCALITY_WAIT_FETCH_SHARE));
        if (nowSeconds - job.waitingSinceSeconds() >= waitSeconds) {
            return false;
        }
        for (Machine machine : imageLocations.machinesReferencing(job.imageIndex()).keySet()) {
            if (machine != offered
                    && machine.acceptsWork(nowSeconds)
                    && machine.images().isCached(job.imageIndex())
                    && PlacementScorer.isAllowed(job, machine)) {
                return true;
            }
        }
        return false;
    }
}
