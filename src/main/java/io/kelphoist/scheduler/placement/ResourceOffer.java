package io.kelphoist.scheduler.placement;

import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;

/**
 * Free room that is offered to one team: machines that accept work and are not held for other jobs.
 * Schedulers answer at once, and nothing is offered to other teams meanwhile, so an offer is never
 * rescinded.
 *
 * @param candidates the machines of the offer
 * @param nowSeconds the time of the allocator's run
 */
public record ResourceOffer(PlacementCandidates candidates, double nowSeconds) {
    /** Whether a task of the job may start on the machine, by its constraints and by its room. */
    public boolean allows(Job job, Machine machine) {
        return job.spec().resourcesPerTask().fitsIn(machine.free())
                && !machine.hold().isForOtherJob(job, nowSeconds)
                && PlacementScorer.isAllowed(job, machine);
    }
}
