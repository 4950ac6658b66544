package io.kelphoist.scheduler.autoscaling;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.Resources;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Consolidates tasks on fewer machines: while more resources are free than the headroom requires,
 * drains the least used machine. Once only service replicas are left on a draining machine, they
 * are stopped and restart on machines that have their images cached, which keeps the interruption
 * short. If tasks cannot be placed, the draining machines accept work again.
 */
final class MachineConsolidator {
    private static final Logger LOG = LoggerFactory.getLogger(MachineConsolidator.class);

    /** How long a surplus must have existed before a machine is drained. */
    private static final double MIN_SURPLUS_DURATION_SECONDS = 15;

    private static final double DRAIN_INTERVAL_SECONDS = 3;

    /** Surplus that must remain, in machines, so that draining one does not cause a scale-out. */
    private static final double SURPLUS_MARGIN_MACHINES = 0.5;

    private final MachineRegistry machines;
    private final AttemptLifecycle attemptLifecycle;

    /** When the current surplus began; NaN if there is none. */
    private double surplusSinceSeconds = Double.NaN;

    private double nextDrainAtSeconds;

    MachineConsolidator(MachineRegistry machines, AttemptLifecycle attemptLifecycle) {
        this.machines = machines;
        this.attemptLifecycle = attemptLifecycle;
    }

    /**
     * Drains a machine if that is due, and moves replicas away from draining machines.
     *
     * @param hasUnplacedTasks whether tasks could not be placed; if so, draining is cancelled
     * @param headroomMachines free resources to keep, in machines
     */
    void consolidate(boolean hasUnplacedTasks, double headroomMachines, double nowSeconds) {
        if (hasUnplacedTasks) {
            surplusSinceSeconds = Double.NaN;
            cancelDrains(nowSeconds);
            return;
        }
        for (Machine machine : machines.all()) {
            if (machine.drainingForScaleIn()) {
                moveReplicas(machine, nowSeconds);
            }
        }
        Machine leastUsed = findLeastUsed(nowSeconds);
        double freeMachinesAfterDrain = freeMachines(nowSeconds) - 1;
        if (leastUsed == null
                || freeMachinesAfterDrain <= headroomMachines + SURPLUS_MARGIN_MACHINES) {
            surplusSinceSeconds = Double.NaN;
        } else if (Double.isNaN(surplusSinceSeconds)) {
            surplusSinceSeconds = nowSeconds;
        } else if (nowSeconds - surplusSinceSeconds >= MIN_SURPLUS_DURATION_SECONDS
                && nowSeconds >= nextDrainAtSeconds) {
            nextDrainAtSeconds = nowSeconds + DRAIN_INTERVAL_SECONDS;
            leastUsed.drainForScaleIn(nowSeconds);
            LOG.info(
                    "machine drained for scale-in: machine={} freeMachinesAfterDrain={}",
                    leastUsed.name(),
                    AttemptLifecycle.roundToTenths(freeMachinesAfterDrain));
        }
    }

    /** Lets machines that are drained for scale-in accept work again. */
    private void cancelDrains(double nowSeconds) {
        for (Machine machine : machines.all()) {
            if (machine.drainingForScaleIn() && machine.state() == Machine.State.DRAINING) {
                machine.cancelScaleIn(nowSeconds);
            }
        }
    }

    /**
     * The free resources of the on-demand machines that accept work, in machines. Reserved
     * resources and those of held machines count as free.
     */
    private double freeMachines(double nowSeconds) {
        double freeMachines = 0;
        for (Machine machine : machines.all()) {
            if (machine.acceptsWork(nowSeconds) && !machine.spot()) {
                freeMachines += 1 - usedShare(machine);
            }
        }
        return freeMachines;
    }

    private static double usedShare(Machine machine) {
        return machine.used().dominantShare(machine.type().capacity());
    }

    /**
     * The least used on-demand machine that has attempts and is neither held nor has resources
     * reserved; null if there is none.
     */
    private Machine findLeastUsed(double nowSeconds) {
        Machine leastUsed = null;
        double lowestUsedShare = Double.POSITIVE_INFINITY;
        for (Machine machine : machines.all()) {
            boolean eligible =
                    machine.acceptsWork(nowSeconds)
                            && !machine.spot()
                            && machine.hold().job() == null
                            && machine.resources().reserved().equals(Resources.NONE)
                            && !machine.attempts().isEmpty();
            if (eligible && usedShare(machine) < lowestUsedShare) {
                leastUsed = machine;
                lowestUsedShare = usedShare(machine);
            }
        }
        return leastUsed;
    }

    /**
     * Stops a machine's service replicas, so that they restart on other machines. Does nothing
     * unless all of the machine's attempts that occupy resources are movable replicas and each of
     * them fits on a machine that has its image cached.
     */
    private void moveReplicas(Machine source, double nowSeconds) {
        List<TaskAttempt> replicas = new ArrayList<>();
        for (TaskAttempt attempt : source.attempts()) {
            if (!attempt.state().occupiesResources()) {
                continue;
            }
            if (!isMovable(attempt)) {
                return;
            }
            replicas.add(attempt);
        }
        Map<Machine, Resources> freeByMachine = new HashMap<>();
        for (TaskAttempt attempt : replicas) {
            if (!reserveTarget(attempt, freeByMachine, nowSeconds)) {
                return;
            }
        }
        replicas.forEach(
                attempt -> attemptLifecycle.stop(attempt, /* graceSeconds= */ 0, nowSeconds));
    }

    /** Whether the attempt is a running replica of a service without pending replicas. */
    private static boolean isMovable(TaskAttempt attempt) {
        return attempt.job().spec().kind() == JobKind.SERVICE
                && attempt.state() == TaskAttempt.State.RUNNING
                && !attempt.isStopping()
                && !attempt.job().tasks().hasPending();
    }

    /**
     * Finds a machine for a replica and subtracts the replica from its free resources.
     *
     * @param freeByMachine free resources of machines, after replicas that move at the same time
     * @return whether a machine was found
     */
    private boolean reserveTarget(
            TaskAttempt attempt, Map<Machine, Resources> freeByMachine, double nowSeconds) {
        Resources perTask = attempt.job().spec().resourcesPerTask();
        for (Machine target : machines.all()) {
            Resources remaining = freeByMachine.getOrDefault(target, target.free());
            if (perTask.fitsIn(remaining) && canMoveTo(attempt, target, nowSeconds)) {
                freeByMachine.put(target, remaining.minus(perTask));
                return true;
            }
        }
        return false;
    }

    private static boolean canMoveTo(TaskAttempt attempt, Machine target, double nowSeconds) {
        Job job = attempt.job();
        return target != attempt.machine()
                && target.acceptsWork(nowSeconds)
                && !target.spot()
                && !target.attempts().isEmpty()
                && target.hold().job() == null
                && target.images().isCached(job.imageIndex())
                && job.spec().allowsMachineType(target.type().name())
                && job.isZoneAllowed(target.zone())
                && satisfiesZoneConstraint(attempt, target);
    }

    /** Whether the job's zone constraints allow the attempt to move to the machine's zone. */
    private static boolean satisfiesZoneConstraint(TaskAttempt attempt, Machine target) {
        if (target.zone() == attempt.machine().zone()) {
            return true;
        }
        return !attempt.job().spec().singleZone()
                && attempt.job().tasks().attemptsInZone(target.zone())
                        < attempt.job().spec().maxTasksPerZone();
    }
}
