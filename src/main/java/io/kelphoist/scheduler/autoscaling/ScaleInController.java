package io.kelphoist.scheduler.autoscaling;

import io.kelphoist.model.Resources;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.reachability.MachineReachability;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Chooses the machines to terminate and requests their termination from the cloud. Owns the request
 * in flight, of which there is at most one, and the time of its retry.
 */
final class ScaleInController {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleInController.class);

    /**
     * How long a lost machine is kept. Measured from when the machine was declared lost, not from
     * its last heartbeat: machines of a partitioned zone send no heartbeats for a long time and may
     * reconnect at any moment.
     */
    private static final double LOST_MACHINE_GRACE_SECONDS = 20;

    /**
     * An unreachable machine is terminated once its worker has been suspected not to receive
     * messages for more than this many lease durations. Within the first one, the worker's lease
     * expires, which ends the machine's tasks; the rest gives the connection time to recover.
     */
    private static final double MAX_UNREACHABLE_LEASES = 2.5;

    /**
     * Minimum time between two terminations of unreachable machines. If all machines of a zone are
     * unreachable, that fault is expected to end before replacements for them could boot.
     */
    private static final double UNREACHABLE_SCALE_IN_INTERVAL_SECONDS = 5;

    private static final int MAX_MACHINES_PER_REQUEST = 100;
    private static final double RETRY_DELAY_SECONDS = 1.5;

    private final MachineRegistry machines;
    private final SchedulingPolicy policy;
    private final SchedulerOutput output;
    private final BootTimeEstimator bootTimes;
    private boolean requestInFlight;
    private double retryAtSeconds;
    private double nextUnreachableScaleInAtSeconds;

    ScaleInController(
            MachineRegistry machines,
            SchedulingPolicy policy,
            SchedulerOutput output,
            BootTimeEstimator bootTimes) {
        this.machines = machines;
        this.policy = policy;
        this.output = output;
        this.bootTimes = bootTimes;
    }

    /**
     * Marks machines for termination, those that have been idle longest first.
     *
     * @param surplusMachines free resources beyond the headroom, in machines: the number of idle
     *     on-demand machines that may be terminated
     */
    void markMachines(double surplusMachines, double nowSeconds) {
        double remainingSurplus = surplusMachines;
        List<Machine> candidates = new ArrayList<>(machines.all());
        candidates.sort(Comparator.comparingDouble(Machine::idleSinceSeconds));
        for (Machine machine : candidates) {
            if (machine.state() == Machine.State.UP && machine.attempts().isEmpty()) {
                remainingSurplus -= markIdleMachine(machine, remainingSurplus, nowSeconds);
            } else {
                markUnusableMachine(machine, nowSeconds);
            }
        }
    }

    /**
     * Marks an idle machine if it is to be terminated; returns by how many machines this reduces
     * the surplus, which covers on-demand machines only.
     */
    private int markIdleMachine(Machine machine, double remainingSurplus, double nowSeconds) {
        if (isUnreachableTooLong(machine, nowSeconds)) {
            markUnreachableMachine(machine, nowSeconds);
            return 0;
        }
        boolean idleTooLong =
                machine.resources().reserved().equals(Resources.NONE)
                        && machine.hold().job() == null
                        && nowSeconds - machine.idleSinceSeconds()
                                > policy.idleBeforeScaleInSeconds();
        if (!idleTooLong || (!machine.spot() && remainingSurplus < 1)) {
            return 0;
        }
        markForTermination(machine, "idle", nowSeconds);
        return machine.spot() ? 0 : 1;
    }

    /**
     * Marks a machine that did not boot in time, was lost for too long, is draining and has no
     * attempts left, or is joining and was unreachable for too long.
     */
    private void markUnusableMachine(Machine machine, double nowSeconds) {
        switch (machine.state()) {
            case BOOTING -> {
                if (bootTimes.hasBootTimedOut(machine, nowSeconds)) {
                    markForTermination(machine, "boot timed out", nowSeconds);
                }
            }
            case LOST -> {
                if (nowSeconds - machine.lostAtSeconds() > LOST_MACHINE_GRACE_SECONDS) {
                    markForTermination(machine, "lost", nowSeconds);
                }
            }
            case DRAINING -> {
                if (machine.attempts().isEmpty()) {
                    markForTermination(machine, "drained", nowSeconds);
                }
            }
            case JOINING -> {
                // Its heartbeats arrive, but nothing sent in this term has been delivered to it.
                // The tasks recorded there ended when its lease expired, but only its termination
                // proves that.
                if (isUnreachableTooLong(machine, nowSeconds)) {
                    markUnreachableMachine(machine, nowSeconds);
                }
            }
            default -> {}
        }
    }

    private boolean isUnreachableTooLong(Machine machine, double nowSeconds) {
        return nowSeconds >= nextUnreachableScaleInAtSeconds
                && machine.reachability().state() == MachineReachability.State.UNREACHABLE
                && machine.reachability().suspectedForSeconds(nowSeconds)
                        > MAX_UNREACHABLE_LEASES * policy.leaseSeconds();
    }

    private void markUnreachableMachine(Machine machine, double nowSeconds) {
        nextUnreachableScaleInAtSeconds = nowSeconds + UNREACHABLE_SCALE_IN_INTERVAL_SECONDS;
        markForTermination(machine, "unreachable", nowSeconds);
    }

    /** Marks a machine for termination, unless it is marked already. */
    private void markForTermination(Machine machine, String reason, double nowSeconds) {
        if (machine.transitionTo(Machine.State.TERMINATING, nowSeconds)) {
            LOG.info(
                    "machine marked for termination: machine={} reason={}", machine.name(), reason);
        }
    }

    /** Requests the termination of the marked machines, unless a request is in flight. */
    void requestTermination(double nowSeconds) {
        if (requestInFlight || nowSeconds < retryAtSeconds) {
            return;
        }
        List<String> machineNames = new ArrayList<>();
        for (Machine machine : machines.all()) {
            if (machine.state() == Machine.State.TERMINATING
                    && machineNames.size() < MAX_MACHINES_PER_REQUEST) {
                machineNames.add(machine.name());
            }
        }
        if (!machineNames.isEmpty()) {
            requestInFlight = true;
            output.scaleIn(machineNames);
        }
    }

    /** Called when the cloud has confirmed the request in flight. */
    void onConfirmed() {
        requestInFlight = false;
    }

    /**
     * Called when the outcome of the request in flight is unknown; a new request for the machines
     * that are still marked follows after {@link #RETRY_DELAY_SECONDS}.
     */
    void onFailed(double nowSeconds) {
        requestInFlight = false;
        retryAtSeconds = nowSeconds + RETRY_DELAY_SECONDS;
    }
}
