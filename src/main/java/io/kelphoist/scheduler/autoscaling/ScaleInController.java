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
 * Chooses the machines that go back to the cloud and asks for their termination. Owns the request
 * in flight, of which there is one at a time, and when a failed one is repeated.
 */
final class ScaleInController {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleInController.class);

    /**
     * How long a lost machine is kept. Counted from when it was declared lost: the machines of a
     * partitioned zone are silent for long and may be back any moment.
     */
    private static final double LOST_MACHINE_GRACE_SECONDS = 20;

    /**
     * A machine that receives nothing is terminated after so many leases: one has ended what ran
     * there, and the connection may have recovered during another.
     */
    private static final double MAX_UNREACHABLE_LEASES = 2.5;

    /**
     * The shortest time between two such terminations: where a whole zone receives nothing, that is
     * over before replacements of its machines would have booted.
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
     * Marks machines for termination, those that were idle longest first.
     *
     * @param surplusMachines how many on-demand machines' worth of room may go
     */
    void markMachines(double surplusMachines, double nowSeconds) {
        double remainingSurplus = surplusMachines;
        List<Machine> candidates = new ArrayList<>(machines.all());
        candidates.sort(Comparator.comparingDouble(Machine::idleSinceSeconds));
        for (Machine machine : candidates) {
            if (machine.state() == Machine.State.UP && machine.attempts().isEmpty()) {
                remainingSurplus -= markIdleMachine(machine, remainingSurplus, nowSeconds);
            } else {
                markFaultyMachine(machine, nowSeconds);
            }
        }
    }

    /** Marks an idle machine if it may go; returns the surplus that this takes, in machines. */
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

    private void markFaultyMachine(Machine machine, double nowSeconds) {
        switch (machine.state()) {
            case BOOTING -> {
                if (bootTimes.hasBootTimedOut(machine, nowSeconds)) {
                    markForTermination(machine, "never came up", nowSeconds);
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
                // Its heartbeats arrive, but it has received nothing from this term. Tasks on
                // record there ended with its lease, and termination is the only proof of that.
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

    private void markForTermination(Machine machine, String reason, double nowSeconds) {
        if (machine.transitionTo(Machine.State.TERMINATING, nowSeconds)) {
            LOG.info("machine to be terminated: machine={} reason={}", machine.name(), reason);
        }
    }

    /** Asks the cloud to terminate the marked machines, unless a request is in flight. */
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

    /** The cloud confirmed the request in flight. */
    void onConfirmed() {
        requestInFlight = false;
    }

    /** The outcome of the request in flight is unknown; it is repeated. */
    void onFailed(double nowSeconds) {
        requestInFlight = false;
        retryAtSeconds = nowSeconds + RETRY_DELAY_SECONDS;
    }
}
