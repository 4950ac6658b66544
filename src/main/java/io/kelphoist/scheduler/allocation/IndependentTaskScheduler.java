package io.kelphoist.scheduler.allocation;

import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import io.kelphoist.scheduler.placement.ResourceOffer;

/** Starts single tasks of jobs whose tasks are placed independently of each other. */
abstract class IndependentTaskScheduler implements JobKindScheduler {
    private final AttemptLifecycle attemptLifecycle;

    IndependentTaskScheduler(AttemptLifecycle attemptLifecycle) {
        this.attemptLifecycle = attemptLifecycle;
    }

    @Override
    public final boolean tryStart(ResourceOffer offer, Job job) {
        int task = job.tasks().firstPending();
        if (task < 0 || job.isOnTrial(offer.nowSeconds())) {
            return false;
        }
        if (!job.team().isWithinLimit(job.spec().resourcesPerTask())) {
            job.capacityAcquisition().limitWait().onRefused();
            return false;
        }
        Machine machine = offer.candidates().findBest(offer, job);
        if (machine == null || declines(job, machine, offer.nowSeconds())) {
            return false;
        }
        attemptLifecycle.start(
                job, task, machine, attemptLifecycle.nextAttemptId(), offer.nowSeconds());
        return true;
    }

    /**
     * Whether the job rejects the cheapest offered machine and waits, because it expects to start
     * sooner or with its image cached on another machine.
     */
    abstract boolean declines(Job job, Machine offered, double nowSeconds);
}
