package io.kelphoist.scheduler.placement;

import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;

/**
 * Free resources that the allocator offers to one team at a time, on machines that accept work; a
 * job cannot use machines that are held for another job. Schedulers accept or reject the offer
 * synchronously, before it is made to another team, so an offer is never rescinded.
 *
 * @param candidates the offered machines
 * @param nowSeconds the time of the allocator's run
 */
public record ResourceOffer(PlacementCandidates candidates, double nowSeconds) {
    /**
     * Whether a task of the job may start on the machine: it fits in the free resources, the
     * machine is not held for another job, and the job's placement constraints allow the machine.
     */
    public boolean allows(Job job, Machine machine) {
        return job.spec().resourcesPerTask().fitsIn(machine.free())
                && !machine.hold().isForOtherJob(job, nowSeconds)
                && PlacementScorer.isAllowed(job, machine);
    }
}
