package io.kelphoist.scheduler.preemption;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.Resources;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.placement.GangPlacement;
import io.kelphoist.scheduler.placement.PlacementScorer;
import io.kelphoist.scheduler.preemption.PreemptionPlan.TaskSlot;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * One search for the cheapest way to make room for a job. Nothing is stopped or held by it.
 *
 * <p>Tasks of lower priority may be stopped, and tasks that another team runs beyond its guarantee
 * while the job's team is within its own. Replicas of services are never stopped.
 */
public final class PreemptionSearch {
    /** What stopping a task costs besides the work that is lost. */
    private static final double STOP_COST_SECONDS = 0.2;

    /** What a second of lost work counts, in seconds of waiting. */
    private static final double LOST_WORK_WEIGHT = 0.05;

    private final Job job;
    private final int tasks;
    private final boolean withinGuarantee;
    private final double costLimitSeconds;
    private final double nowSeconds;
    private final List<TaskSlot> slots = new ArrayList<>();

    private PreemptionSearch(Job job, double costLimitSeconds, double nowSeconds) {
        this.job = job;
        this.tasks = taskCount(job);
        this.withinGuarantee = job.team().isWithinGuarantee(minimumDemand(job));
        this.costLimitSeconds = costLimitSeconds;
        this.nowSeconds = nowSeconds;
    }

    private static int taskCount(Job job) {
        if (job.spec().kind() == JobKind.ARRAY) {
            return 1;
        }
        int allowed =
                job.team()
                        .countTasksWithinLimit(
                                job.spec().resourcesPerTask(), job.tasks().pendingCount());
        return Math.max(1, allowed);
    }

    /** The room that must be free before any task of the job starts: a gang starts as a whole. */
    public static Resources minimumDemand(Job job) {
        Resources perTask = job.spec().resourcesPerTask();
        return job.spec().kind() == JobKind.GANG
                ? perTask.times(job.tasks().pendingCount())
                : perTask;
    }

    /**
     * The cheapest plan for a job; empty if there is none.
     *
     * @param maxFetchGbPerSecond the highest rate at which any machine fetches images
     * @param costLimitSeconds slots of this cost or more, in seconds, are not searched: a plan with
     *     such a slot costs no less
     */
    static Optional<PreemptionPlan> findCheapestPlan(
            MachineRegistry machines,
            double maxFetchGbPerSecond,
            Job job,
            double costLimitSeconds,
            double nowSeconds) {
        // A machine without any relation to the image fetches it for this long at least.
        double minFetchSeconds = job.spec().imageSizeGb() / maxFetchGbPerSecond;
        Collection<Machine> eligibleMachines =
                costLimitSeconds <= minFetchSeconds
                        ? machines.imageLocations().machinesReferencing(job.imageIndex()).keySet()
                        : machines.all();
        PreemptionSearch search = new PreemptionSearch(job, costLimitSeconds, nowSeconds);
        for (Machine machine : eligibleMachines) {
            if (machine.acceptsWork(nowSeconds)
                    && !machine.hold().isForOtherJob(job, nowSeconds)
                    && PlacementScorer.isAllowed(job, machine)) {
                search.addSlots(machine);
            }
        }
        // The sort is stable, and a machine's later slots cost no less than its earlier ones: no
        // slot is chosen without those before it.
        search.slots.sort(Comparator.comparingDouble(TaskSlot::costSeconds));
        return search.cheapestPlan();
    }

    /** Adds slots for one task after the other, stopping the cheapest tasks as far as needed. */
    private void addSlots(Machine machine) {
        double fetchSeconds = PlacementScorer.fetchSeconds(job, machine);
        if (fetchSeconds >= costLimitSeconds) {
            return;
        }
        Resources perTask = job.spec().resourcesPerTask();
        Resources free = machine.freeAfterStops();
        List<TaskAttempt> preemptible =
                perTask.times(tasks).fitsIn(free) ? List.of() : findPreemptible(machine);
        double graceSeconds = 0;
        double lostWorkSeconds = 0;
        int nextVictim = 0;
        for (int slotNumber = 0; slotNumber < tasks; slotNumber++) {
            List<TaskAttempt> victims = new ArrayList<>();
            while (!perTask.fitsIn(free) && nextVictim < preemptible.size()) {
                TaskAttempt victim = preemptible.get(nextVictim++);
                victims.add(victim);
                free = free.plus(victim.job().spec().resourcesPerTask());
                graceSeconds = Math.max(graceSeconds, victim.job().spec().checkpointGraceSeconds());
                lostWorkSeconds +=
                        STOP_COST_SECONDS + LOST_WORK_WEIGHT * victim.workAtRiskSeconds(nowSeconds);
            }
            if (!perTask.fitsIn(free)) {
                return;
            }
            slots.add(new TaskSlot(machine, victims, fetchSeconds + graceSeconds, lostWorkSeconds));
            free = free.minus(perTask);
        }
    }

    /** The attempts on a machine that may be stopped for the job, cheapest first. */
    private List<TaskAttempt> findPreemptible(Machine machine) {
        List<TaskAttempt> preemptible = new ArrayList<>();
        for (TaskAttempt attempt : machine.attempts()) {
            if (attempt.state().occupiesResources()
                    && !attempt.isStopping()
                    && isPreemptible(attempt)) {
                preemptible.add(attempt);
            }
        }
        preemptible.sort(
                Comparator.comparing((TaskAttempt attempt) -> attempt.job().priority())
                        .thenComparingDouble(attempt -> attempt.workAtRiskSeconds(nowSeconds)));
        return preemptible;
    }

    private boolean isPreemptible(TaskAttempt attempt) {
        Job other = attempt.job();
        if (other.spec().kind() == JobKind.SERVICE) {
            return false;
        }
        if (other.priority().compareTo(job.priority()) < 0) {
            return true;
        }
        return withinGuarantee
                && other.team() != job.team()
                && !other.team().isWithinGuarantee(Resources.NONE);
    }

    private Optional<PreemptionPlan> cheapestPlan() {
        if (!job.spec().singleZone() || tasks == 1) {
            return planInZone(GangPlacement.ANY_ZONE);
        }
        Optional<PreemptionPlan> cheapest = Optional.empty();
        for (int zone = 0; zone < job.tasks().zoneCount(); zone++) {
            Optional<PreemptionPlan> plan = planInZone(zone);
            if (plan.isPresent()
                    && (cheapest.isEmpty()
                            || plan.get().costSeconds() < cheapest.get().costSeconds())) {
                cheapest = plan;
            }
        }
        return cheapest;
    }

    /** Chooses the cheapest slots in a zone, or in any. */
    private Optional<PreemptionPlan> planInZone(int onlyZone) {
        List<TaskSlot> chosen = new ArrayList<>();
        int[] tasksPerZone = job.tasks().copyOfAttemptsPerZone();
        for (TaskSlot slot : slots) {
            int zone = slot.machine().zone();
            if (chosen.size() < tasks
                    && (onlyZone == GangPlacement.ANY_ZONE || zone == onlyZone)
                    && tasksPerZone[zone] < job.spec().maxTasksPerZone()) {
                chosen.add(slot);
                tasksPerZone[zone]++;
            }
        }
        boolean gang = job.spec().kind() == JobKind.GANG;
        if (chosen.isEmpty() || (gang && chosen.size() < tasks)) {
            return Optional.empty();
        }
        // A gang waits for its last slot, other tasks wait for none but their own.
        double costSeconds = gang ? gangCostSeconds(chosen) : chosen.get(0).costSeconds();
        return Optional.of(new PreemptionPlan(chosen, costSeconds));
    }

    private static double gangCostSeconds(List<TaskSlot> slots) {
        double startDelaySeconds = 0;
        double lostWorkSeconds = 0;
        for (TaskSlot slot : slots) {
            startDelaySeconds = Math.max(startDelaySeconds, slot.startDelaySeconds());
            lostWorkSeconds = Math.max(lostWorkSeconds, slot.lostWorkSeconds());
        }
        return startDelaySeconds + lostWorkSeconds;
    }
}
