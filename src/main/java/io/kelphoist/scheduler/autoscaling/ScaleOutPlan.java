package io.kelphoist.scheduler.autoscaling;

import io.kelphoist.model.MachineType;
import io.kelphoist.model.Resources;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineCatalog;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Plans which machines to request in one run of the autoscaler. Packs the tasks that could not be
 * placed onto the machines that exist or are requested already, and adds new machines for tasks
 * that do not fit and for the headroom.
 */
final class ScaleOutPlan {
    /** Maximum number of tasks of one job that one plan covers. */
    private static final int MAX_TASKS_PER_JOB = 200;

    /**
     * Cost per machine that a pool already has, in the unit of the hourly price, so that the pool
     * with the fewest machines is chosen among pools of equal price.
     */
    private static final double MACHINE_COUNT_WEIGHT = 0.01;

    private final MachineCatalog catalog;
    private final ScaleOutRequests requests;
    private final double nowSeconds;

    /** The machines that tasks may be planned on, including planned new machines. */
    private final List<MachineCapacity> capacities = new ArrayList<>();

    /**
     * Machines that exist or are requested already, by pool. Counted once per run, because all
     * pools are compared for each task that does not fit.
     */
    private final Map<MachinePool, Integer> machineCounts = new HashMap<>();

    private final Map<MachinePool, Integer> newMachinesByPool = new LinkedHashMap<>();

    private ScaleOutPlan(MachineCatalog catalog, ScaleOutRequests requests, double nowSeconds) {
        this.catalog = catalog;
        this.requests = requests;
        this.nowSeconds = nowSeconds;
    }

    /** Creates a plan with the current machines and pending requests, and without demand. */
    static ScaleOutPlan create(
            MachineRegistry machines,
            MachineCatalog catalog,
            ScaleOutRequests requests,
            BootTimeEstimator bootTimes,
            double nowSeconds) {
        ScaleOutPlan plan = new ScaleOutPlan(catalog, requests, nowSeconds);
        for (Machine machine : machines.all()) {
            plan.addMachine(machine, bootTimes);
        }
        for (ScaleOutRequest request : requests.pending()) {
            plan.addRequest(request);
        }
        return plan;
    }

    private void addMachine(Machine machine, BootTimeEstimator bootTimes) {
        machineCounts.merge(
                new MachinePool(machine.type().name(), machine.zone(), machine.spot()),
                1,
                Integer::sum);
        if (isExpectedSoon(machine, bootTimes)) {
            capacities.add(
                    MachineCapacity.ofNewMachine(machine.type(), machine.zone(), machine.spot()));
        } else if (machine.acceptsWork(nowSeconds)) {
            boolean held = machine.hold().job() != null;
            capacities.add(
                    new MachineCapacity(
                            machine.type(),
                            machine.zone(),
                            machine.spot(),
                            held ? Resources.NONE : machine.free(),
                            machine.attempts().isEmpty() && !held));
        }
    }

    /** Whether the machine does not accept work yet but is expected to do so soon. */
    private boolean isExpectedSoon(Machine machine, BootTimeEstimator bootTimes) {
        return switch (machine.state()) {
            case BOOTING -> bootTimes.isBootExpected(machine, nowSeconds);
            case JOINING -> !machine.contact().isPossiblyDisconnected();
            default -> false;
        };
    }

    private void addRequest(ScaleOutRequest request) {
        int zone = catalog.zones().getOrAssign(request.zone());
        machineCounts.merge(
                new MachinePool(request.machineType(), zone, request.spot()),
                request.machineCount(),
                Integer::sum);
        MachineType type = catalog.type(request.machineType());
        for (int i = 0; i < request.machineCount(); i++) {
            capacities.add(MachineCapacity.ofNewMachine(type, zone, request.spot()));
        }
    }

    /** The number of machines to request, by pool, in the order in which they were planned. */
    Map<MachinePool, Integer> newMachinesByPool() {
        return newMachinesByPool;
    }

    /**
     * Plans capacity for a job's pending tasks, as far as its team's limit allows. Jobs of which a
     * task has run (of a gang: in its current attempt) and jobs that are suspected faulty and have
     * an attempt are skipped.
     */
    void addDemand(Job job) {
        if (job.hasRun() || job.isOnTrial(nowSeconds)) {
            return;
        }
        Resources perTask = job.spec().resourcesPerTask();
        int tasks = Math.min(MAX_TASKS_PER_JOB, job.startableTaskCount() - heldTaskCount(job));
        int allowed = job.team().countTasksWithinLimit(perTask, tasks);
        int[] tasksPerZone = job.tasks().copyOfAttemptsPerZone();
        int commonZone = job.commonZone();
        // If one task of the job cannot be planned on a capacity, neither can the next one: while
        // tasks are added, capacities only shrink and zone constraints only get stricter.
        int firstCandidate = 0;
        for (int i = 0; i < allowed; i++) {
            firstCandidate = findCapacity(job, tasksPerZone, commonZone, firstCandidate);
            if (firstCandidate == capacities.size()
                    && !addNewMachine(job, tasksPerZone, commonZone, i > 0)) {
                return;
            }
            MachineCapacity capacity = capacities.get(firstCandidate);
            capacity.allocate(perTask);
            tasksPerZone[capacity.zone()]++;
            if (job.spec().singleZone()) {
                commonZone = capacity.zone();
            }
        }
    }

    /** The number of the job's tasks for which machines are held; they need no other machines. */
    private static int heldTaskCount(Job job) {
        int heldTasks = 0;
        for (Machine machine : job.capacityAcquisition().heldMachines()) {
            heldTasks += machine.hold().taskCount();
        }
        return heldTasks;
    }

    /**
     * The index of the first capacity, from {@code fromIndex} on, that one task of the job may be
     * planned on; the size of the list if there is none.
     */
    private int findCapacity(Job job, int[] tasksPerZone, int commonZone, int fromIndex) {
        for (int i = fromIndex; i < capacities.size(); i++) {
            MachineCapacity candidate = capacities.get(i);
            if (job.spec().resourcesPerTask().fitsIn(candidate.free())
                    && canHost(
                            job,
                            candidate.type(),
                            candidate.zone(),
                            candidate.spot(),
                            tasksPerZone,
                            commonZone)) {
                return i;
            }
        }
        return capacities.size();
    }

    /** Plans one new machine for a job; returns false if no pool is available for it. */
    private boolean addNewMachine(
            Job job, int[] tasksPerZone, int commonZone, boolean hasPlannedTasks) {
        MachinePool pool = choosePool(job, tasksPerZone, commonZone, hasPlannedTasks);
        if (pool == null) {
            return false;
        }
        newMachinesByPool.merge(pool, 1, Integer::sum);
        MachineType type = catalog.type(pool.type());
        capacities.add(MachineCapacity.ofNewMachine(type, pool.zone(), pool.spot()));
        return true;
    }

    /** Whether the job's constraints allow another task on an empty machine of this kind. */
    private static boolean canHost(
            Job job, MachineType type, int zone, boolean spot, int[] tasksPerZone, int commonZone) {
        return job.spec().allowsMachineType(type.name())
                && (!spot || job.spec().spotAllowed())
                && job.isZoneAllowed(zone)
                && (commonZone < 0 || commonZone == zone)
                && tasksPerZone[zone] < job.spec().maxTasksPerZone()
                && job.spec().resourcesPerTask().fitsIn(type.capacity());
    }

    /**
     * The pool with the lowest {@link #cost} among those that allow the job's tasks and are not in
     * backoff; null if there is none.
     *
     * <p>A guest team (no guarantee) gets unused resources, and only spot instances are requested
     * for it: on-demand machines would be taken from the teams that are guaranteed them, at twice
     * the price. On-demand machines may still be requested for a job that does not allow spot
     * instances, and for the first task of a job, so that the job can start.
     *
     * @param hasPlannedTasks whether this plan already contains a task of the job
     */
    private MachinePool choosePool(
            Job job, int[] tasksPerZone, int commonZone, boolean hasPlannedTasks) {
        boolean hasBegun = hasPlannedTasks || job.tasks().hasAttempts() || job.doneTaskCount() > 0;
        boolean spotOnly = job.team().team().isGuest() && job.spec().spotAllowed() && hasBegun;
        MachinePool cheapest = null;
        double lowestCost = Double.POSITIVE_INFINITY;
        for (MachineType type : catalog.typesByName().values()) {
            for (String zoneName : type.zones()) {
                int zone = catalog.zones().getOrAssign(zoneName);
                for (int spot = spotOnly ? 1 : 0; spot < 2; spot++) {
                    MachinePool pool = new MachinePool(type.name(), zone, spot == 1);
                    if (!canHost(job, type, zone, pool.spot(), tasksPerZone, commonZone)
                            || requests.isInBackoff(pool, nowSeconds)) {
                        continue;
                    }
                    double cost = cost(job, type, pool);
                    if (cost < lowestCost) {
                        lowestCost = cost;
                        cheapest = pool;
                    }
                }
            }
        }
        return cheapest;
    }

    /**
     * The hourly price of the share of a machine that a task uses, plus {@link
     * #MACHINE_COUNT_WEIGHT} for each machine that the pool already has.
     */
    private double cost(Job job, MachineType type, MachinePool pool) {
        double taskShare = job.spec().resourcesPerTask().dominantShare(type.capacity());
        return type.price(pool.spot()) * taskShare + MACHINE_COUNT_WEIGHT * machineCount(pool);
    }

    private int machineCount(MachinePool pool) {
        return machineCounts.getOrDefault(pool, 0);
    }

    /**
     * The free resources to provide, in machines; at least one.
     *
     * @param headroomShare number of machines to keep free per machine in use
     */
    double headroomMachines(double headroomShare) {
        long busyMachines = capacities.stream().filter(capacity -> !capacity.isEmpty()).count();
        return Math.max(1, headroomShare * busyMachines);
    }

    /**
     * Plans on-demand machines for the part of the headroom that on-demand machines do not provide
     * yet. Free shares of partly used machines count towards the headroom.
     *
     * @return free resources beyond the headroom, in machines; negative if the headroom is not
     *     reached without the machines that this call plans
     */
    double addHeadroom(double headroomMachines) {
        double freeMachines = 0;
        for (MachineCapacity capacity : capacities) {
            if (!capacity.spot()) {
                freeMachines += capacity.freeShare();
            }
        }
        for (double planned = freeMachines; planned < headroomMachines; planned++) {
            MachinePool pool = chooseHeadroomPool();
            if (pool != null) {
                newMachinesByPool.merge(pool, 1, Integer::sum);
            }
        }
        return freeMachines - headroomMachines;
    }

    /**
     * The on-demand pool with the lowest sum of its machine count, including planned machines, and
     * its price; null if all pools are in backoff.
     */
    private MachinePool chooseHeadroomPool() {
        MachinePool best = null;
        for (MachineType type : catalog.typesByName().values()) {
            for (String zone : type.zones()) {
                MachinePool pool =
                        new MachinePool(
                                type.name(), catalog.zones().getOrAssign(zone), /* spot= */ false);
                if (!requests.isInBackoff(pool, nowSeconds)
                        && (best == null || headroomRank(pool) < headroomRank(best))) {
                    best = pool;
                }
            }
        }
        return best;
    }

    private double headroomRank(MachinePool pool) {
        return machineCount(pool)
                + newMachinesByPool.getOrDefault(pool, 0)
                + catalog.type(pool.type()).price();
    }
}
