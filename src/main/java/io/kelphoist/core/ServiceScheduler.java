package io.kelphoist.core;

/** Replicas, each as soon as it can be placed. */
final class ServiceScheduler implements KindScheduler {
    private final Cluster cluster;

    ServiceScheduler(Cluster cluster) {
        this.cluster = cluster;
    }

    @Override
    public boolean consider(Offer offer, Job job) {
        int task = job.pending.nextSetBit(0);
        if (task < 0 || !job.team.withinLimit(job.spec.perTask())) {
            return false;
        }
        Machine m = Placing.best(offer, job);
        if (m == null) {
            return false;
        }
        cluster.start(job, task, m, cluster.nextAttempt(), offer.now());
        return true;
    }
}
