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
 * Which machines to request in one run of the autoscaler. It packs the tasks that found no room
 * onto the machines that exist or were requested, and adds machines for what does not fit and for
 * the headroom.
 */
final class ScaleOutPlan {
    /** Tasks of one job for which machines are requested at a time. */
    private static final int MAX_TASKS_PER_JOB = 200;

    /** Weight of a machine that its pool already has: among equal prices the fewest win. */
    private static final double MACHINE_COUNT_WEIGHT = 0.01;

    private final MachineCatalog catalog;
    private final ScaleOutRequests requests;
    private final double nowSeconds;
    private final List<MachineCapacity> capacities = new ArrayList<>();

    /**
     * Machines that exist or were requested. Counted once a run, as each task that finds no room
     * compares all pools.
     */
    private final Map<MachinePool, Integer> machineCounts = new HashMap<>();

    private final Map<MachinePool, Integer> wantedByPool = new LinkedHashMap<>();

    private ScaleOutPlan(MachineCatalog catalog, ScaleOutRequests requests, double nowSeconds) {
        this.catalog = catalog;
        this.requests = requests;
        this.nowSeconds = nowSeconds;
    }

    /** A plan without demand yet, with the machines as they are now. */
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

    /** Whether the machine does not accept work yet, and probably will in a short time. */
    private boolean isExpectedSoon(Machine machine, BootTimeEstimator bootTimes) {
        return switch (machine.state()) {
            case BOOTING -> bootTimes.isExpected(machine, nowSeconds);
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

    /** The machines to request, by pool, in the order in which they were found to be needed. */
    Map<MachinePool, Integer> wantedByPool() {
        return wantedByPool;
    }

    /** Plans room for a job's tasks that found none. */
    void addDemand(Job job) {
        if (job.gangHasRun() || job.isOnTrial(nowSeconds)) {
            return;
        }
        Resources perTask = job.spec().resourcesPerTask();
        int tasks = Math.min(MAX_TASKS_PER_JOB, job.startableTaskCount() - heldTaskCount(job));
        int allowed = job.team().countTasksWithinLimit(perTask, tasks);
        int[] tasksPerZone = job.tasks().copyOfAttemptsPerZone();
        int commonZone = job.commonZone();
        // A capacity in which one task of a job does not fit has no room for the next one either:
        // capacities only shrink here.
        int firstCandidate = 0;
        for (int i = 0; i < allowed; i++) {
            firstCandidate = findCapacity(job, tasksPerZone, commonZone, firstCandidate);
            if (firstCandidate == capacities.size()
                    && !addWantedMachine(job, tasksPerZone, commonZone, i > 0)) {
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

    /** Tasks for which machines are held: they need no others. */
    private static int heldTaskCount(Job job) {
        int heldTasks = 0;
        for (Machine machine : job.roomSearch().heldMachines()) {
            heldTasks += machine.hold().taskCount();
        }
        return heldTasks;
    }

    /** The index of the first capacity that has room for a task; their number if none has. */
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

    /** Plans one more machine for a job; false if no pool can have one. */
    private boolean addWantedMachine(
            Job job, int[] tasksPerZone, int commonZone, boolean hasPlannedTasks) {
        MachinePool pool = choosePool(job, tasksPerZone, commonZone, hasPlannedTasks);
        if (pool == null) {
            return false;
        }
        wantedByPool.merge(pool, 1, Integer::sum);
        MachineType type = catalog.type(pool.type());
        capacities.add(MachineCapacity.ofNewMachine(type, pool.zone(), pool.spot()));
        return true;
    }

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
     * The cheapest pool that may have machines; among equal prices the one with the fewest
     * machines; null if there is none.
     *
     * <p>A guest team (one without a guarantee) gets unused machines and spot machines only:
     * on-demand machines would be taken from the teams that are guaranteed them, at twice their
     * worth. For a job of a guest that has no task yet an on-demand machine may be requested all
     * the same, so that the job begins.
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
                            || requests.isRefused(pool, nowSeconds)) {
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

    private double cost(Job job, MachineType type, MachinePool pool) {
        double taskShare = job.spec().resourcesPerTask().dominantShare(type.capacity());
        return type.price(pool.spot()) * taskShare + MACHINE_COUNT_WEIGHT * machineCount(pool);
    }

    private int machineCount(MachinePool pool) {
        return machineCounts.getOrDefault(pool, 0);
    }

    /**
     * How much room should be free, in machines: at least one.
     *
     * @param headroomShare machines to be free for each machine that is in use
     */
    double headroomMachines(double headroomShare) {
        long busyMachines = capacities.stream().filter(capacity -> !capacity.isEmpty()).count();
        return Math.max(1, headroomShare * busyMachines);
    }

    /**
     * Keeps room free on on-demand machines, on whole machines or in pieces.
     *
     * @return how much free room there is beyond the headroom, in machines; negative if there is
     *     less
     */
    double addHeadroom(double headroomMachines) {
        double readyMachines = 0;
        for (MachineCapacity capacity : capacities) {
            if (!capacity.spot()) {
                readyMachines += capacity.freeShare();
            }
        }
        for (double planned = readyMachines; planned < headroomMachines; planned++) {
            MachinePool pool = chooseHeadroomPool();
            if (pool != null) {
                wantedByPool.merge(pool, 1, Integer::sum);
            }
        }
        return readyMachines - headroomMachines;
    }

    /** The on-demand pool with the fewest machines and the lowest price; null if none has any. */
    private MachinePool chooseHeadroomPool() {
        MachinePool best = null;
        for (MachineType type : catalog.typesByName().values()) {
            for (String zone : type.zones()) {
                MachinePool pool =
                        new MachinePool(type.name(), catalog.zones().getOrAssign(zone), false);
                if (!requests.isRefused(pool, nowSeconds)
                        && (best == null || headroomRank(pool) < headroomRank(best))) {
                    best = pool;
                }
            }
        }
        return best;
    }

    private double headroomRank(MachinePool pool) {
        return machineCount(pool)
                + wantedByPool.getOrDefault(pool, 0)
                + catalog.type(pool.type()).price();
    }
}
