package io.kelphoist.scheduler.allocation;

import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import io.kelphoist.scheduler.placement.PlacementScorer;
import io.kelphoist.scheduler.preemption.Preemptor;

/**
 * Schedules services: each replica starts as soon as it can be placed, unless preempting tasks on
 * another machine would let it start sooner than fetching its image on the offered machine.
 */
final class ServiceScheduler extends IndependentTaskScheduler {
    private final Preemptor preemptor;

    ServiceScheduler(AttemptLifecycle attemptLifecycle, Preemptor preemptor) {
        super(attemptLifecycle);
        this.preemptor = preemptor;
    }

    @Override
    boolean declines(Job job, Machine offered, double nowSeconds) {
        double fetchSeconds = PlacementScorer.fetchSeconds(job, offered);
        return preemptor.isSoonerThanFetch(fetchSeconds, job, nowSeconds)
                && offered.hold().job() != job;
    }
}
