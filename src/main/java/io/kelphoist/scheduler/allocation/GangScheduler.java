package io.kelphoist.scheduler.allocation;

import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import io.kelphoist.scheduler.placement.GangPlacement;
import io.kelphoist.scheduler.placement.PlacementScorer;
import io.kelphoist.scheduler.placement.ResourceOffer;
import io.kelphoist.scheduler.preemption.Preemptor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntFunction;

/**
 * Gang scheduling: all tasks of a job start together or none does. If only some of a gang's tasks
 * fit and no machines can be held for it, the resources for those tasks are reserved for a bounded
 * time, see {@link GangReservations}; nothing is reserved for a job that is suspected faulty.
 */
final class GangScheduler implements JobKindScheduler {
    private final AttemptLifecycle attemptLifecycle;
    private final Preemptor preemptor;
    private final GangReservations reservations;

    GangScheduler(
            AttemptLifecycle attemptLifecycle, Preemptor preemptor, GangReservations reservations) {
        this.attemptLifecycle = attemptLifecycle;
        this.preemptor = preemptor;
        this.reservations = reservations;
    }

    @Override
    public boolean tryStart(ResourceOffer offer, Job job) {
        if (job.tasks().hasAttempts()) {
            return !job.hasRun() && startReplacement(offer, job);
        }
        reservations.release(job);
        if (!job.team().isWithinLimit(job.spec().resourcesPerTask().times(job.spec().tasks()))) {
            job.capacityAcquisition().limitWait().onRefused();
            return false;
        }
        List<Machine> taskMachines =
                placeInBestZone(job, zone -> offer.candidates().placeGang(offer, job, zone));
        if (taskMachines.size() == job.spec().tasks()) {
            return startUnlessPreemptionIsSooner(offer, job, taskMachines);
        }
        if (!job.isSuspectedFaulty() && !preemptor.canHoldMachines(job, offer.nowSeconds())) {
            reservations.reserve(job, taskMachines, offer.nowSeconds());
        }
        return false;
    }

    /**
     * Starts the gang on machines with free resources, unless it would start sooner on machines
     * where tasks are preempted for it, see {@link Preemptor#isSoonerThanFetch}. In that case it
     * starts only once the machines held for it have free resources for all of its tasks.
     *
     * @param taskMachines the machine of each task, with free resources for it
     * @return whether the gang was started
     */
    private boolean startUnlessPreemptionIsSooner(
            ResourceOffer offer, Job job, List<Machine> taskMachines) {
        double fetchSeconds = longestFetchSeconds(job, taskMachines);
        if (!preemptor.isSoonerThanFetch(fetchSeconds, job, offer.nowSeconds())) {
            startGang(job, taskMachines, offer.nowSeconds());
            return true;
        }
        List<Machine> heldMachines =
                placeInBestZone(job, zone -> placeOnHeldMachines(offer, job, zone));
        if (heldMachines.size() < job.spec().tasks()) {
            return false;
        }
        startGang(job, heldMachines, offer.nowSeconds());
        return true;
    }

    private void startGang(Job job, List<Machine> taskMachines, double nowSeconds) {
        job.capacityAcquisition().endReservation();
        job.beginGangAttempt(attemptLifecycle.nextAttemptId());
        for (int task = 0; task < taskMachines.size(); task++) {
            attemptLifecycle.start(
                    job, task, taskMachines.get(task), job.gangAttemptId(), nowSeconds);
        }
    }

    /**
     * Restarts one task that ended before any task of the gang ran, with the attempt id of the
     * other tasks. Does nothing while another task is stopping, or while another task is only
     * presumed from an earlier term's record, because the gang's attempt id is not known yet.
     *
     * @return whether a task was started
     */
    private boolean startReplacement(ResourceOffer offer, Job job) {
        int task = job.tasks().firstPending();
        if (task < 0
                || job.gangAttemptId() == 0
                || !job.team().isWithinLimit(job.spec().resourcesPerTask())) {
            return false;
        }
        for (TaskAttempt attempt : job.tasks().attempts()) {
            if (attempt.isStopping() || attempt.isPresumed()) {
                return false;
            }
        }
        Machine machine = offer.candidates().findBest(offer, job);
        if (machine == null) {
            return false;
        }
        attemptLifecycle.start(job, task, machine, job.gangAttemptId(), offer.nowSeconds());
        return true;
    }

    /**
     * Places as many tasks as fit. If all tasks must share a zone, chooses the zone in which most
     * tasks fit; of zones with equally many, the one whose most expensive machine costs least.
     *
     * @param placeInZone returns the machine of each task that fits in a zone, given the zone's
     *     index or {@link GangPlacement#ANY_ZONE}
     */
    private static List<Machine> placeInBestZone(Job job, IntFunction<List<Machine>> placeInZone) {
        if (!job.spec().singleZone()) {
            return placeInZone.apply(GangPlacement.ANY_ZONE);
        }
        List<Machine> best = List.of();
        for (int zone = 0; zone < job.tasks().zoneCount(); zone++) {
            List<Machine> taskMachines = placeInZone.apply(zone);
            boolean isLarger = taskMachines.size() > best.size();
            boolean isAsLarge = taskMachines.size() == best.size() && !taskMachines.isEmpty();
            if (isLarger
                    || (isAsLarge && highestCost(job, taskMachines) < highestCost(job, best))) {
                best = taskMachines;
            }
        }
        return best;
    }

    private static double highestCost(Job job, List<Machine> taskMachines) {
        double highest = Double.NEGATIVE_INFINITY;
        for (Machine machine : taskMachines) {
            highest = Math.max(highest, PlacementScorer.cost(job, machine));
        }
        return highest;
    }

    private static double longestFetchSeconds(Job job, List<Machine> taskMachines) {
        double longest = 0;
        for (Machine machine : taskMachines) {
            longest = Math.max(longest, PlacementScorer.fetchSeconds(job, machine));
        }
        return longest;
    }

    /** Places as many tasks as fit on the machines that are held for the job, cheapest first. */
    private static List<Machine> placeOnHeldMachines(ResourceOffer offer, Job job, int onlyZone) {
        List<Machine> heldMachines = new ArrayList<>();
        for (Machine machine : job.capacityAcquisition().heldMachines()) {
            if ((onlyZone == GangPlacement.ANY_ZONE || machine.zone() == onlyZone)
                    && offer.allows(job, machine)) {
                heldMachines.add(machine);
            }
        }
        heldMachines.sort(
                Comparator.comparingDouble(machine -> PlacementScorer.cost(job, machine)));
        GangPlacement placement = new GangPlacement(job);
        heldMachines.forEach(placement::fill);
        return placement.taskMachines();
    }
}
