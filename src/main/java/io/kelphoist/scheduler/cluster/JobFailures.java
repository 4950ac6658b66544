package io.kelphoist.scheduler.cluster;

/**
 * The failures of one job, and what follows from them: when its tasks may be placed again, and
 * whether the fault is the job's own.
 */
public final class JobFailures {
    /** A job that failed on so many machines has a mistake of its own. */
    private static final int SUSPECT_AFTER_MACHINES = 3;

    /** For so long after a failure the job keeps away from machines where it failed. */
    private static final double AVOIDANCE_SECONDS = 10;

    /** A task that runs for so long works. */
    private static final double TRIAL_SECONDS = 20;

    private static final double BASE_BACKOFF_SECONDS = 0.5;
    private static final double MAX_BACKOFF_SECONDS = 60;
    private static final int MAX_BACKOFF_DOUBLINGS = 8;

    private int errorCount;
    private int failedMachineCount;
    private boolean avoidsFailedMachines;
    private double retryAtSeconds;

    /** When a task last began to run while the job was suspect, or when it became suspect. */
    private double trialStartedAtSeconds = Double.POSITIVE_INFINITY;

    /** Failures since a task last worked. */
    public int errorCount() {
        return errorCount;
    }

    /** Machines with a failure since a task last worked. */
    public int failedMachineCount() {
        return failedMachineCount;
    }

    /** No task is placed before this time. */
    public double retryAtSeconds() {
        return retryAtSeconds;
    }

    /** No task is placed before {@code untilSeconds}; never brings a retry forward. */
    public void postponeRetry(double untilSeconds) {
        retryAtSeconds = Math.max(retryAtSeconds, untilSeconds);
    }

    /**
     * Whether the job fails on every machine, so that the fault is its own. Until a task of it
     * works only one task, or one gang, is tried at a time, and no room is made or rented for more.
     */
    boolean isSuspectedFaulty() {
        return failedMachineCount >= SUSPECT_AFTER_MACHINES;
    }

    /**
     * A task failed.
     *
     * @param isNewMachine whether no task of the job had failed on that machine
     */
    public void onTaskFailed(boolean isNewMachine, double nowSeconds) {
        boolean wasSuspect = isSuspectedFaulty();
        errorCount++;
        failedMachineCount += isNewMachine ? 1 : 0;
        avoidsFailedMachines = true;
        if (isSuspectedFaulty() && !wasSuspect) {
            // Other tasks may run well: if they go on, the fault was not the job's.
            trialStartedAtSeconds = nowSeconds;
        }
        // If only few machines failed they may be faulty, and the next attempt avoids them.
        retryAtSeconds =
                nowSeconds
                        + (isSuspectedFaulty()
                                ? backoffSeconds()
                                : failedMachineCount * failedMachineCount);
    }

    private double backoffSeconds() {
        int doublings = Math.min(errorCount, MAX_BACKOFF_DOUBLINGS);
        return Math.min(MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * Math.pow(2, doublings));
    }

    /** A task works: earlier failures were not the job's fault. */
    public void onTaskSucceeded() {
        errorCount = 0;
        failedMachineCount = 0;
        avoidsFailedMachines = false;
    }

    void onTaskRunning(double nowSeconds) {
        if (isSuspectedFaulty()) {
            trialStartedAtSeconds = nowSeconds;
        }
    }

    /** Clears the suspicion if a task has run for long enough. */
    void endTrialIfPassed(boolean isRunning, double nowSeconds) {
        if (isSuspectedFaulty()
                && isRunning
                && nowSeconds > trialStartedAtSeconds + TRIAL_SECONDS) {
            onTaskSucceeded();
        }
    }

    /** Whether the job keeps away from machines where it failed, to tell whose fault that was. */
    public boolean avoidsFailedMachines() {
        return avoidsFailedMachines && !isSuspectedFaulty();
    }

    /** The job keeps away from such machines only for a while, as there may be no others. */
    void updateAvoidance(double nowSeconds) {
        if (avoidsFailedMachines && nowSeconds > retryAtSeconds + AVOIDANCE_SECONDS) {
            avoidsFailedMachines = false;
        }
    }
}
