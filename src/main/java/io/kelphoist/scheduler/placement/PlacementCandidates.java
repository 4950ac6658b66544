package io.kelphoist.scheduler.placement;

import io.kelphoist.model.MachineType;
import io.kelphoist.model.Resources;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.images.ImageLocations;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The machines of one run of the allocator, ranked for the jobs that choose among them. It chooses
 * the machine that evaluating all of them would give, but evaluates equivalent machines once:
 * machines without any relation to a job's image that are of the same pool, equally full and fetch
 * equally many images have the same cost for the job, and the first of them stands for all. Between
 * two tasks of a job only the machines that changed meanwhile are evaluated again.
 */
public final class PlacementCandidates implements Machine.CandidateSet {
    /**
     * What decides about a machine for a job to whose image it has no relation.
     *
     * @param empty whether no task is or may be there
     * @param heldFor the job that it is held for; null: none
     */
    private record EquivalenceClass(
            MachineType type,
            int zone,
            boolean spot,
            Resources free,
            boolean empty,
            int concurrentFetches,
            Job heldFor) {
        /** Whether one task of the job may start on the machines of this class. */
        boolean allows(Job job) {
            return job.spec().resourcesPerTask().fitsIn(free)
                    && (heldFor == null || heldFor == job)
                    && PlacementScorer.isAllowed(job, type, zone, spot);
        }
    }

    /** The machines of one equivalence class. */
    private static final class EquivalentMachines {
        private final EquivalenceClass equivalenceClass;

        /** Indices in {@link #machines}, ascending. */
        private final IntArrayList positions = new IntArrayList();

        EquivalentMachines(EquivalenceClass equivalenceClass) {
            this.equivalenceClass = equivalenceClass;
        }

        void add(int position) {
            positions.add(-indexOf(position) - 1, position);
        }

        void remove(int position) {
            positions.removeInt(indexOf(position));
        }

        int indexOf(int position) {
            return Arrays.binarySearch(positions.elements(), 0, positions.size(), position);
        }
    }

    /**
     * A machine's rank for one job.
     *
     * @param position index in {@link #machines}
     * @param machineVersion the version of the machine that was evaluated
     * @param group the equivalent machines that it stands for; null if it was evaluated by itself
     */
    private record RankedMachine(
            double cost,
            int position,
            Machine machine,
            int machineVersion,
            EquivalentMachines group) {}

    private static final Comparator<RankedMachine> CHEAPEST_FIRST =
            Comparator.comparingDouble(RankedMachine::cost)
                    .thenComparingInt(RankedMachine::position);

    /** The machines as ranked for a job, as of the first changes of {@link #changedMachines}. */
    private static final class JobRanking {
        private final PriorityQueue<RankedMachine> queue = new PriorityQueue<>(CHEAPEST_FIRST);
        private int changesSeen;
    }

    private final List<Machine> machines;
    private final ImageLocations<Machine> imageLocations;
    private final double nowSeconds;
    private final Map<EquivalenceClass, EquivalentMachines> groupsByClass = new LinkedHashMap<>();

    /** The group of each machine, by its index in {@link #machines}. Empty until a job chooses. */
    private final List<EquivalentMachines> groupByPosition = new ArrayList<>();

    private final IdentityHashMap<Job, JobRanking> rankingByJob = new IdentityHashMap<>();

    /** Machines that changed in this run, in the order of the changes. */
    private final List<Machine> changedMachines = new ArrayList<>();

    private long evaluationCount;

    /**
     * Enters the machines: each remembers its position here.
     *
     * @param machines machines that accept work, in the order that decides between equal costs
     */
    public PlacementCandidates(
            List<Machine> machines, ImageLocations<Machine> imageLocations, double nowSeconds) {
        this.machines = machines;
        this.imageLocations = imageLocations;
        this.nowSeconds = nowSeconds;
        for (int i = 0; i < machines.size(); i++) {
            machines.get(i).enterCandidates(this, i);
        }
    }

    /** How many machines were evaluated so far; equivalent ones count as one. */
    public long evaluationCount() {
        return evaluationCount;
    }

    /** A task was placed on the machine or removed from it, or room there was reserved. */
    public void onMachineChanged(Machine machine) {
        if (!machine.isCandidateIn(this)) {
            return;
        }
        changedMachines.add(machine);
        if (!groupByPosition.isEmpty()) {
            int position = machine.candidateIndex();
            groupByPosition.get(position).remove(position);
            groupByPosition.set(position, addToGroup(machine, position));
        }
    }

    /** The job chooses no more in this run. */
    public void discardRanking(Job job) {
        rankingByJob.remove(job);
    }

    /** Groups the machines when the first job chooses, as in many runs none does. */
    private void ensureGrouped() {
        if (groupByPosition.isEmpty()) {
            for (int i = 0; i < machines.size(); i++) {
                groupByPosition.add(addToGroup(machines.get(i), i));
            }
        }
    }

    private EquivalentMachines addToGroup(Machine machine, int position) {
        EquivalenceClass equivalenceClass =
                new EquivalenceClass(
                        machine.type(),
                        machine.zone(),
                        machine.spot(),
                        machine.free(),
                        machine.resources().isUnallocated(),
                        PlacementScorer.concurrentFetchCount(machine),
                        machine.hold().jobAt(nowSeconds));
        EquivalentMachines group =
                groupsByClass.computeIfAbsent(equivalenceClass, EquivalentMachines::new);
        group.add(position);
        return group;
    }

    /** The cheapest machine for one more task of the job; null if no machine is allowed. */
    public Machine findBest(ResourceOffer offer, Job job) {
        ensureGrouped();
        JobRanking ranking = rankingByJob.get(job);
        if (ranking == null) {
            ranking = new JobRanking();
            rankingByJob.put(job, ranking);
            rankAll(offer, job, GangPlacement.ANY_ZONE, ranking.queue);
        } else {
            rankChanged(offer, job, ranking);
        }
        ranking.changesSeen = changedMachines.size();
        return findCheapestAllowed(offer, job, ranking.queue);
    }

    private void rankAll(
            ResourceOffer offer, Job job, int onlyZone, PriorityQueue<RankedMachine> queue) {
        for (EquivalentMachines group : groupsByClass.values()) {
            if (isInZone(group.equivalenceClass.zone, onlyZone)) {
                rankGroup(job, group, 0, queue);
            }
        }
        for (Machine machine : imageLocations.machinesReferencing(job.imageIndex()).keySet()) {
            if (isInZone(machine.zone(), onlyZone)) {
                rankMachine(offer, job, machine, queue);
            }
        }
    }

    private static boolean isInZone(int zone, int onlyZone) {
        return onlyZone == GangPlacement.ANY_ZONE || zone == onlyZone;
    }

    /** Ranks the machines that changed since the job chose last. */
    private void rankChanged(ResourceOffer offer, Job job, JobRanking ranking) {
        for (int i = ranking.changesSeen; i < changedMachines.size(); i++) {
            Machine machine = changedMachines.get(i);
            if (imageLocations.isReferencedBy(job.imageIndex(), machine)) {
                rankMachine(offer, job, machine, ranking.queue);
            } else {
                rankGroup(job, groupByPosition.get(machine.candidateIndex()), 0, ranking.queue);
            }
        }
    }

    /** Drops ranks that are out of date until the cheapest one is valid. */
    private Machine findCheapestAllowed(
            ResourceOffer offer, Job job, PriorityQueue<RankedMachine> queue) {
        for (RankedMachine cheapest = queue.peek(); cheapest != null; cheapest = queue.peek()) {
            boolean upToDate = isUpToDate(cheapest, job);
            // The job's other tasks may exclude a machine by now; it stays excluded for this run.
            if (upToDate && offer.allows(job, cheapest.machine)) {
                return cheapest.machine;
            }
            queue.poll();
            if (cheapest.group != null && !upToDate) {
                rankGroup(job, cheapest.group, 0, queue);
            }
        }
        return null;
    }

    private boolean isUpToDate(RankedMachine ranked, Job job) {
        return ranked.group == null
                ? ranked.machineVersion == ranked.machine.placementVersion()
                : ranked.machine == findUnrelated(ranked.group, 0, job);
    }

    /**
     * Places a gang's tasks on the cheapest machines, as many as fit.
     *
     * @param onlyZone index of a zone, or {@link GangPlacement#ANY_ZONE}
     * @return the machine of each task that has one
     */
    public List<Machine> placeGang(ResourceOffer offer, Job job, int onlyZone) {
        ensureGrouped();
        PriorityQueue<RankedMachine> queue = new PriorityQueue<>(CHEAPEST_FIRST);
        rankAll(offer, job, onlyZone, queue);
        GangPlacement placement = new GangPlacement(job);
        for (RankedMachine cheapest = queue.poll();
                cheapest != null && !placement.isComplete();
                cheapest = queue.poll()) {
            placement.fill(cheapest.machine);
            EquivalentMachines group = cheapest.group;
            if (group != null && placement.hasRoomInZone(cheapest.machine.zone())) {
                rankGroup(job, group, group.indexOf(cheapest.position) + 1, queue);
            }
        }
        return placement.taskMachines();
    }

    /** Ranks a machine by itself, if a task of the job may start there. */
    private void rankMachine(
            ResourceOffer offer, Job job, Machine machine, PriorityQueue<RankedMachine> queue) {
        if (machine.isCandidateIn(this)) {
            evaluationCount++;
            if (offer.allows(job, machine)) {
                queue.add(rank(job, machine, null));
            }
        }
    }

    /**
     * Ranks the first machine of a group, if a task of the job may start there.
     *
     * @param fromIndex index in the group from which on its machines count
     */
    private void rankGroup(
            Job job, EquivalentMachines group, int fromIndex, PriorityQueue<RankedMachine> queue) {
        evaluationCount++;
        if (!group.equivalenceClass.allows(job)) {
            return;
        }
        Machine machine = findUnrelated(group, fromIndex, job);
        if (machine != null) {
            queue.add(rank(job, machine, group));
        }
    }

    private static RankedMachine rank(Job job, Machine machine, EquivalentMachines group) {
        return new RankedMachine(
                PlacementScorer.cost(job, machine),
                machine.candidateIndex(),
                machine,
                machine.placementVersion(),
                group);
    }

    /** The first machine of a group without relation to the job's image; null if there is none. */
    private Machine findUnrelated(EquivalentMachines group, int fromIndex, Job job) {
        for (int i = fromIndex; i < group.positions.size(); i++) {
            Machine machine = machines.get(group.positions.getInt(i));
            if (!imageLocations.isReferencedBy(job.imageIndex(), machine)) {
                return machine;
            }
        }
        return null;
    }
}
