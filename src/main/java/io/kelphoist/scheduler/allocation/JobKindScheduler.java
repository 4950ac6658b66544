package io.kelphoist.scheduler.allocation;

import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.placement.ResourceOffer;

/** Scheduler for one kind of job: starts tasks on the resources offered to the job's team. */
interface JobKindScheduler {
    /**
     * Starts one task of the job, or a whole gang, if the offered resources allow it.
     *
     * @return true if a task or a gang was started; false if the job rejects the offer, after which
     *     it gets no further offer in this run of the allocator
     */
    boolean tryStart(ResourceOffer offer, Job job);
}
