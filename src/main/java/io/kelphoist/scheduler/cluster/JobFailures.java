package io.kelphoist.scheduler.cluster;

/**
 * The failures of one job. Decides when its tasks may be placed again, which machines to avoid, and
 * whether the job itself is suspected faulty rather than the machines.
 */
public final class JobFailures {
    /** A job whose tasks failed on this many machines is suspected faulty itself. */
    private static final int SUSPECTED_FAULTY_AFTER_MACHINES = 3;

    /** The job avoids machines where it failed until this long after its retry time. */
    private static final double AVOIDANCE_SECONDS = 10;

    /** A suspected job passes its trial if a task is running this long after the trial began. */
    private static final double TRIAL_SECONDS = 20;

    private static final double BASE_BACKOFF_SECONDS = 0.5;
    private static final double MAX_BACKOFF_SECONDS = 60;
    private static final int MAX_BACKOFF_DOUBLINGS = 8;

    private int errorCount;
    private int failedMachineCount;
    private boolean avoidsFailedMachines;
    private double retryAtSeconds;

    /** When a task of the suspected job last began to run, or when the job became suspected. */
    private double trialStartedAtSeconds = Double.POSITIVE_INFINITY;

    /** Number of task failures since a task last succeeded or passed a trial. */
    public int errorCount() {
        return errorCount;
    }

    /**
     * Number of machines on which the job failed since a task last succeeded or passed a trial. A
     * machine on which the job had failed before that is not counted again.
     */
    public int failedMachineCount() {
        return failedMachineCount;
    }

    /** No task is placed before this time. */
    public double retryAtSeconds() {
        return retryAtSeconds;
    }

    /** Postpones the retry time to {@code untilSeconds}; never makes it earlier. */
    public void postponeRetry(double untilSeconds) {
        retryAtSeconds = Math.max(retryAtSeconds, untilSeconds);
    }

    /**
     * Whether the job has failed on so many machines that the fault is assumed to be its own. Until
     * a task succeeds or passes a trial, only one task, or one gang, is tried at a time, no other
     * work is preempted for the job, and no machines are requested for more of its tasks.
     */
    boolean isSuspectedFaulty() {
        return failedMachineCount >= SUSPECTED_FAULTY_AFTER_MACHINES;
    }

    /**
     * Records that a task failed, and sets the time of the next attempt.
     *
     * @param isFirstFailureOnMachine whether no task of the job had failed on that machine before
     */
    public void onTaskFailed(boolean isFirstFailureOnMachine, double nowSeconds) {
        boolean wasSuspectedFaulty = isSuspectedFaulty();
        errorCount++;
        failedMachineCount += isFirstFailureOnMachine ? 1 : 0;
        avoidsFailedMachines = true;
        if (isSuspectedFaulty() && !wasSuspectedFaulty) {
            // Other tasks of the job may be running. If one of them is still running after the
            // duration of a trial, the suspicion is withdrawn.
            trialStartedAtSeconds = nowSeconds;
        }
        // While the job has failed on only a few machines, these may be the faulty ones. The next
        // attempt avoids them, so it need not be delayed for long: the delay in seconds is the
        // square of the number of these machines.
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

    /**
     * Called when a task succeeded or passed a trial: earlier failures were not the job's fault,
     * and are no longer counted.
     */
    public void onTaskSucceeded() {
        errorCount = 0;
        failedMachineCount = 0;
        avoidsFailedMachines = false;
    }

    /** Called when a task began to run; restarts the trial if the job is suspected faulty. */
    void onTaskRunning(double nowSeconds) {
        if (isSuspectedFaulty()) {
            trialStartedAtSeconds = nowSeconds;
        }
    }

    /** Withdraws the suspicion if a task is running and the trial has lasted long enough. */
    void endTrialIfPassed(boolean isRunning, double nowSeconds) {
        if (isSuspectedFaulty()
                && isRunning
                && nowSeconds > trialStartedAtSeconds + TRIAL_SECONDS) {
            onTaskSucceeded();
        }
    }

    /**
     * Whether the job avoids machines where it failed: its next attempt on another machine shows
     * whether the job or the machine is faulty.
     */
    public boolean avoidsFailedMachines() {
        return avoidsFailedMachines && !isSuspectedFaulty();
    }

    /**
     * Ends the avoidance of machines where the job failed once it has lasted long enough, as no
     * other machine may be available.
     */
    void updateAvoidance(double nowSeconds) {
        if (avoidsFailedMachines && nowSeconds > retryAtSeconds + AVOIDANCE_SECONDS) {
            avoidsFailedMachines = false;
        }
    }
}
