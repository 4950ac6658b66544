package io.kelphoist.scheduler.placement;

import io.kelphoist.model.JobSpec;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Resources;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;

/** Checks the placement constraints of a task and computes the cost of placing it on a machine. */
public final class PlacementScorer {
    /**
     * Weight of the share of a machine that remains unused after placement; favors full machines
     * (bin packing).
     */
    private static final double PACKING_WEIGHT_SECONDS = 2.0;

    /** Cost of using an empty machine, as other tasks may need a whole machine. */
    private static final double EMPTY_MACHINE_PENALTY_SECONDS = 3.0;

    /** The penalty for an empty machine applies if more than this share would remain unused. */
    private static final double EMPTY_MACHINE_UNUSED_SHARE = 0.5;

    /** Cost of using an on-demand machine for a job below high priority that allows spot. */
    private static final double ON_DEMAND_PENALTY_SECONDS = 3.0;

    private PlacementScorer() {}

    /**
     * Whether the job's constraints allow one more task on the machine, given the attempts that the
     * job already has. Free resources, and holds for other jobs, are not checked.
     */
    public static boolean isAllowed(Job job, Machine machine) {
        // After a failure a job avoids the machines on which it failed, because an attempt on
        // another machine shows whether the job or the machine was at fault.
        return isAllowed(job, machine.type(), machine.zone(), machine.spot())
                && !hasExitedAttempt(job, machine)
                && !(job.failures().avoidsFailedMachines() && machine.hasFailed(job));
    }

    /**
     * Whether the job's constraints allow one more task on machines of this type, zone and
     * purchasing model (spot or on-demand). The job's failures and exited attempts on individual
     * machines are not checked.
     */
    public static boolean isAllowed(Job job, MachineType type, int zone, boolean spot) {
        JobSpec spec = job.spec();
        if (!spec.allowsMachineType(type.name())
                || (spot && !spec.spotAllowed())
                || !spec.resourcesPerTask().fitsIn(type.capacity())) {
            return false;
        }
        if (zone >= job.tasks().zoneCount() || !job.isZoneAllowed(zone)) {
            return false;
        }
        int commonZone = job.commonZone();
        return (commonZone < 0 || commonZone == zone)
                && job.tasks().attemptsInZone(zone) < spec.maxTasksPerZone();
    }

    /**
     * Whether the machine has an exited attempt at a task of the job that is not done. A worker
     * refuses to start a task while it still lists an exited attempt at it.
     */
    private static boolean hasExitedAttempt(Job job, Machine machine) {
        for (TaskAttempt attempt : machine.attempts()) {
            if (attempt.job() == job
                    && attempt.state() == TaskAttempt.State.EXITED
                    && !job.tasks().isDone(attempt.taskIndex())) {
                return true;
            }
        }
        return false;
    }

    /** Expected time until the job's image is on the machine, in seconds; 0 if it is cached. */
    public static double fetchSeconds(Job job, Machine machine) {
        if (machine.images().isCached(job.imageIndex())) {
            return 0;
        }
        double uncontendedFetchSeconds =
                job.spec().imageSizeGb() / machine.type().fetchGbPerSecond();
        for (TaskAttempt attempt : machine.attempts()) {
            if (attempt.job().imageIndex() == job.imageIndex()
                    && attempt.state().occupiesResources()) {
                // If another task is still fetching the image, half of that fetch is assumed to be
                // complete. If the other task is running, the image is on the machine.
                return attempt.state() == TaskAttempt.State.RUNNING
                        ? 0
                        : uncontendedFetchSeconds / 2;
            }
        }
        return uncontendedFetchSeconds * concurrentFetchCount(machine);
    }

    /** How many fetches would share the machine's fetch rate if one more started now. */
    static int concurrentFetchCount(Machine machine) {
        int fetchCount = 1;
        for (TaskAttempt attempt : machine.attempts()) {
            if (isFetching(attempt)) {
                fetchCount++;
            }
        }
        return fetchCount;
    }

    private static boolean isFetching(TaskAttempt attempt) {
        return switch (attempt.state()) {
            case FETCHING -> true;
            case STARTING -> !attempt.machine().images().isCached(attempt.job().imageIndex());
            default -> false;
        };
    }

    /**
     * The cost of placing one task on the machine, in seconds: expected fetch duration plus
     * penalties. Lower is better.
     */
    public static double cost(Job job, Machine machine) {
        Resources remaining = machine.free().minus(job.spec().resourcesPerTask());
        double unusedShare = remaining.dominantShare(machine.type().capacity());
        double cost = fetchSeconds(job, machine) + PACKING_WEIGHT_SECONDS * unusedShare;
        if (machine.resources().isUnallocated() && unusedShare > EMPTY_MACHINE_UNUSED_SHARE) {
            cost += EMPTY_MACHINE_PENALTY_SECONDS;
        }
        if (job.spec().spotAllowed()
                && !machine.spot()
                && job.priority().compareTo(Priority.HIGH) < 0) {
            cost += ON_DEMAND_PENALTY_SECONDS;
        }
        return cost;
    }
}
