package io.kelphoist.scheduler.lifecycle;

import io.kelphoist.model.DelegatedRenewals;
import io.kelphoist.model.NameIndex;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineHold;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks the machines periodically: whether they are connected, whether their leases have expired,
 * whether their holds must end, and whether stops are due or overdue.
 */
public final class LeaseMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseMonitor.class);

    /** Added to a lease, as a worker's timers fire in discrete steps. */
    private static final double TIMER_MARGIN_SECONDS = 0.25;

    /** A heartbeat that is overdue by more than this is taken as missed. */
    private static final double MAX_HEARTBEAT_DELAY_SECONDS = 1.5;

    /**
     * Minimum time between two runs. Ticks are far more frequent than changes of what is checked,
     * and each run checks every machine.
     */
    private static final double RUN_INTERVAL_SECONDS = 0.1;

    private final SchedulingPolicy policy;
    private final MachineRegistry machines;
    private final NameIndex zones;
    private final AttemptLifecycle attemptLifecycle;
    private final MachineLifecycle machineLifecycle;
    private final DelegatedRenewals delegatedRenewals;
    private final StopMonitor stopMonitor;
    private double nextRunAtSeconds;

    /** Creates the monitor of the machines of a term. */
    public LeaseMonitor(SchedulerContext context, DelegatedRenewals delegatedRenewals) {
        this.policy = context.policy();
        this.machines = context.machines();
        this.zones = context.catalog().zones();
        this.attemptLifecycle = context.attemptLifecycle();
        this.machineLifecycle = context.machineLifecycle();
        this.delegatedRenewals = delegatedRenewals;
        this.stopMonitor = new StopMonitor(policy, attemptLifecycle);
    }

    /** Checks every machine, if {@link #RUN_INTERVAL_SECONDS} have passed since the last run. */
    public void run(double nowSeconds) {
        if (nowSeconds < nextRunAtSeconds) {
            return;
        }
        nextRunAtSeconds = nowSeconds + RUN_INTERVAL_SECONDS;
        for (Machine machine : machines.all()) {
            checkConnection(machine, nowSeconds);
            if (hasLeaseExpired(machine, nowSeconds)) {
                expireLease(machine, nowSeconds);
            }
            stopMonitor.requestStopsBeforeTermination(machine, nowSeconds);
            endHoldIfDue(machine, nowSeconds);
            stopMonitor.escalateOverdueStops(machine, nowSeconds);
        }
    }

    private void checkConnection(Machine machine, double nowSeconds) {
        machine.contact()
                .updateConnectivity(
                        SchedulingPolicy.MISSED_HEARTBEAT_FACTOR
                                * policy.heartbeatIntervalSeconds(),
                        MAX_HEARTBEAT_DELAY_SECONDS,
                        nowSeconds);
        if (machine.contact().isPossiblyDisconnected()) {
            withdrawUnsentStarts(machine, nowSeconds);
        }
    }

    /**
     * Withdraws the starts on a possibly disconnected machine that were not sent yet, for example
     * because they are not stored yet: their tasks would start only to end with the machine's
     * lease.
     */
    private void withdrawUnsentStarts(Machine machine, double nowSeconds) {
        for (TaskAttempt attempt : machine.attempts().copy()) {
            if (attempt.state() == TaskAttempt.State.STARTING && !attempt.startSent()) {
                attemptLifecycle.stop(attempt, /* graceSeconds= */ 0, nowSeconds);
            }
        }
    }

    /**
     * Whether the machine's lease has expired even if clocks drift as far as allowed, so that the
     * worker has stopped its tasks. A worker counts its lease from when it sent the last heartbeat
     * that got a response. That is before this leader, or a delegate that renews leases in its
     * place, sent the response. If the worker may have restarted since, a whole lease is counted
     * from then.
     */
    private boolean hasLeaseExpired(Machine machine, double nowSeconds) {
        if (!hasLease(machine)) {
            return false;
        }
        double leaseSeconds =
                policy.leaseSeconds() * (1 + 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO)
                        + TIMER_MARGIN_SECONDS;
        double lastRenewedAtSeconds =
                Math.max(
                        machine.contact().lastPossibleResponseAtSeconds(),
                        machine.reachability().possibleRestartAtSeconds());
        return nowSeconds >= lastRenewedAtSeconds + leaseSeconds
                && nowSeconds >= delegatedRenewalAtSeconds(machine, nowSeconds) + leaseSeconds;
    }

    private static boolean hasLease(Machine machine) {
        return machine.state().isReporting()
                || machine.state() == Machine.State.JOINING
                || machine.state() == Machine.State.TERMINATING;
    }

    private double delegatedRenewalAtSeconds(Machine machine, double nowSeconds) {
        return delegatedRenewals.latestRenewalAtSeconds(
                machine.name(), zones.name(machine.zone()), nowSeconds);
    }

    private void expireLease(Machine machine, double nowSeconds) {
        if (machine.state() == Machine.State.TERMINATING && machine.attempts().isEmpty()) {
            return;
        }
        LOG.info(
                "machine lease expired: machine={} attempts={} {}",
                machine.name(),
                machine.attempts().size(),
                machine.contact().summary(nowSeconds));
        machineLifecycle.onLeaseExpired(machine, nowSeconds);
    }

    /**
     * Ends the machine's hold if it must end. If the job still has pending tasks, no machine is
     * held for it during the backoff that follows.
     */
    private void endHoldIfDue(Machine machine, double nowSeconds) {
        MachineHold hold = machine.hold();
        if (hold.mustEnd(nowSeconds)) {
            Job job = hold.job();
            if (job.isActive() && job.tasks().hasPending()) {
                job.capacityAcquisition()
                        .postponeMachineHold(nowSeconds + policy.machineHoldBackoffSeconds());
            }
            hold.end();
        }
    }

    /**
     * Names of the machines of a zone whose leases only the leader may renew: machines that are
     * possibly disconnected, as this leader counts their leases from its own responses, and
     * machines on which a task of a cancelled job may be running.
     */
    public List<String> machinesExcludedFromDelegation(int zone) {
        List<String> names = new ArrayList<>();
        for (Machine machine : machines.all()) {
            boolean isInUse =
                    machine.state().isReporting() || machine.state() == Machine.State.JOINING;
            if (machine.zone() == zone
                    && isInUse
                    && (machine.contact().isPossiblyDisconnected()
                            || machine.attempts().hasAttemptOfCancelledJob())) {
                names.add(machine.name());
            }
        }
        return names;
    }
}
