package io.kelphoist.scheduler.lifecycle;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;

/**
 * Stops tasks on machines that the cloud is about to terminate, and tasks that did not end within
 * their grace.
 */
final class StopMonitor {
    /** A stop that takes this much longer than its grace plus the gang peer timeout is overdue. */
    private static final double OVERDUE_MARGIN_SECONDS = 5;

    /** Heartbeat intervals that are allowed for the delivery of a stop before the save begins. */
    private static final int STOP_DELIVERY_HEARTBEAT_INTERVALS = 2;

    private final SchedulingPolicy policy;
    private final AttemptLifecycle attempts;

    /** Creates the enforcer of the stops of a term. */
    StopMonitor(SchedulingPolicy policy, AttemptLifecycle attempts) {
        this.policy = policy;
        this.attempts = attempts;
    }

    /**
     * Stops tasks on a machine with a termination notice: those of services at once, others as late
     * as a checkpoint can still be saved before the cloud terminates the machine. A checkpointed
     * task that is not of a gang and has too little time left to save is not stopped.
     */
    void requestStopsBeforeTermination(Machine machine, double nowSeconds) {
        if (!machine.hasTerminationNotice()) {
            return;
        }
        for (TaskAttempt attempt : machine.attempts().copy()) {
            if (attempt.state().occupiesResources()
                    && !attempt.isStopping()
                    && isStopDue(attempt.job().spec(), machine, nowSeconds)) {
                stopBeforeTermination(attempt, machine, nowSeconds);
            }
        }
    }

    /**
     * Whether to stop a task now: tasks of services at once, as their replicas should move to other
     * machines, and others at the last moment at which they can save.
     */
    private boolean isStopDue(JobSpec spec, Machine machine, double nowSeconds) {
        double latestStopAtSeconds =
                machine.terminationAtSeconds()
                        - spec.checkpointSaveSeconds()
                        - STOP_DELIVERY_HEARTBEAT_INTERVALS * policy.heartbeatIntervalSeconds();
        return nowSeconds > latestStopAtSeconds || spec.kind() == JobKind.SERVICE;
    }

    /** Stops a task, or the whole gang that it is of, with a grace if it can still save. */
    private void stopBeforeTermination(TaskAttempt attempt, Machine machine, double nowSeconds) {
        JobSpec spec = attempt.job().spec();
        boolean canSave =
                spec.isCheckpointed()
                        && spec.checkpointSaveSeconds()
                                < machine.terminationAtSeconds() - nowSeconds;
        double graceSeconds = canSave ? spec.checkpointSaveSeconds() : 0;
        if (spec.kind() == JobKind.GANG) {
            attempts.stopAll(attempt.job(), graceSeconds, nowSeconds);
        } else if (canSave || !spec.isCheckpointed()) {
            attempts.stop(attempt, graceSeconds, nowSeconds);
        }
    }

    /** Requests a stop without grace for tasks whose stop with a grace is overdue. */
    void escalateOverdueStops(Machine machine, double nowSeconds) {
        for (TaskAttempt attempt : machine.attempts()) {
            if (attempt.isStopping()
                    && attempt.stopGraceSeconds() > 0
                    && attempt.state().occupiesResources()
                    && nowSeconds > overdueAtSeconds(attempt)) {
                // A stop was requested, so the start was sent: stop() does not remove the attempt
                // from the list that this loop iterates over.
                attempts.stop(attempt, 0, nowSeconds);
            }
        }
    }

    private double overdueAtSeconds(TaskAttempt attempt) {
        return attempt.stopRequestedAtSeconds()
                + attempt.stopGraceSeconds()
                + policy.gangPeerTimeoutSeconds()
                + OVERDUE_MARGIN_SECONDS;
    }
}
