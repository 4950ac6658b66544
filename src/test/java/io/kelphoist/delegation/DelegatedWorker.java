package io.kelphoist.delegation;

/** The worker: its lease, its newest fencing token, and the job's one task. */
final class DelegatedWorker {
    static final String NAME = "vm-1";
    static final String ZONE = "b";

    private double leaseExpiresAtSeconds = Double.NEGATIVE_INFINITY;
    private long fencingToken;
    private boolean taskRunning = true;

    boolean isTaskRunning() {
        return taskRunning;
    }

    boolean hasLease(double nowSeconds) {
        return nowSeconds <= leaseExpiresAtSeconds;
    }

    double leaseExpiresAtSeconds() {
        return leaseExpiresAtSeconds;
    }

    long fencingToken() {
        return fencingToken;
    }

    void renewLease(double nowSeconds) {
        leaseExpiresAtSeconds = nowSeconds + DelegationSimulation.LEASE_SECONDS;
    }

    /** The leader's response renews the lease, and starts or stops the task. */
    void onLeaderResponse(long term, boolean runTask, double nowSeconds) {
        renewLease(nowSeconds);
        fencingToken = term;
        taskRunning = runTask;
    }

    /**
     * Discards the fencing token if the lease has expired. Without a lease, the worker accepts a
     * leader of any term.
     */
    void dropTokenOfExpiredLease(double nowSeconds) {
        if (!hasLease(nowSeconds)) {
            fencingToken = 0;
        }
    }

    /**
     * Stops the task if the lease has expired, and returns whether it did. The leader may start the
     * task again.
     */
    boolean stopTaskOfExpiredLease(double nowSeconds) {
        boolean isStopped = taskRunning && !hasLease(nowSeconds);
        taskRunning &= !isStopped;
        return isStopped;
    }
}
