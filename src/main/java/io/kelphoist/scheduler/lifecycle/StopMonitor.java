package io.kelphoist.scheduler.lifecycle;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;

/**
 * Requests the stops that become due with time: of tasks on machines that the cloud is about to
 * terminate, and, without a grace period, of tasks that did not end within the grace period of an
 * earlier stop. The grace period is the time that a task gets to save a checkpoint.
 */
final class StopMonitor {
    /**
     * A stop that takes this much longer than its grace period plus the gang peer timeout is
     * overdue. The timeout is added for tasks of every kind, also for those without a gang.
     */
    private static final double OVERDUE_MARGIN_SECONDS = 5;

    /**
     * Number of heartbeat intervals that are allowed for the delivery of a stop to the worker,
     * which then begins to save the checkpoint.
     */
    private static final int STOP_DELIVERY_HEARTBEAT_INTERVALS = 2;

    private final SchedulingPolicy policy;
    private final AttemptLifecycle attemptLifecycle;

    /** Creates the monitor of the stops of a term. */
    StopMonitor(SchedulingPolicy policy, AttemptLifecycle attemptLifecycle) {
        this.policy = policy;
        this.attemptLifecycle = attemptLifecycle;
    }

    /**
     * Requests the stops that are due on a machine with a termination notice, see {@link
     * #isStopDue} and {@link #stopBeforeTermination}. Tasks for which a stop was requested before
     * are skipped.
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
     * machines, and others once there is time left only for the delivery of the stop and for the
     * save duration in the job's spec. That duration also counts for jobs that save no checkpoints.
     */
    private boolean isStopDue(JobSpec spec, Machine machine, double nowSeconds) {
        double stopAfterSeconds =
                machine.terminationAtSeconds()
                        - spec.checkpointSaveSeconds()
                        - STOP_DELIVERY_HEARTBEAT_INTERVALS * policy.heartbeatIntervalSeconds();
        return nowSeconds > stopAfterSeconds || spec.kind() == JobKind.SERVICE;
    }

    /**
     * Stops a task or, if it belongs to a gang, all tasks of the gang. They get a grace period if
     * the job saves checkpoints and there is time left to save one before the machine's
     * termination. If the time is too short for that, a task that saves checkpoints and belongs to
     * no gang is not stopped, also if it is a replica of a service.
     */
    private void stopBeforeTermination(TaskAttempt attempt, Machine machine, double nowSeconds) {
        JobSpec spec = attempt.job().spec();
        boolean canSave =
                spec.isCheckpointed()
                        && spec.checkpointSaveSeconds()
                                < machine.terminationAtSeconds() - nowSeconds;
        double graceSeconds = canSave ? spec.checkpointSaveSeconds() : 0;
        if (spec.kind() == JobKind.GANG) {
            attemptLifecycle.stopAll(attempt.job(), graceSeconds, nowSeconds);
        } else if (canSave || !spec.isCheckpointed()) {
            attemptLifecycle.stop(attempt, graceSeconds, nowSeconds);
        }
    }

    /** Requests a stop without a grace period for tasks whose stop with one is overdue. */
    void escalateOverdueStops(Machine machine, double nowSeconds) {
        for (TaskAttempt attempt : machine.attempts()) {
            if (attempt.isStopping()
                    && attempt.stopGraceSeconds() > 0
                    && attempt.state().occupiesResources()
                    && nowSeconds > overdueAtSeconds(attempt)) {
                // stop() removes an attempt, which would change the list that this loop iterates
                // over, only if its start was not sent. For these attempts a stop was requested
                // before, which is done only if the start was sent.
                attemptLifecycle.stop(attempt, /* graceSeconds= */ 0, nowSeconds);
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
