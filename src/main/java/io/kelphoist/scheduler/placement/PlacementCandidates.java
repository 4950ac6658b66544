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
 * The machines of one run of the allocator, ranked for each job that is placed. Finds the same
 * machine as a search over all machines, but evaluates equivalent machines only once.
 *
 * <p>A machine is related to a job's image if it has the image cached or has an attempt that needs
 * it, see {@link ImageLocations}. Unrelated machines of the same type, zone and purchasing model
 * (spot or on-demand), with equal free resources, equally many concurrent fetches and the same
 * hold, and all or none of them unallocated, have the same cost for the job. They form an
 * equivalence class, of which only the first machine is ranked. Related machines are ranked
 * individually. Between two tasks of a job, only machines that changed since are evaluated again.
 *
 * <p>Exception: failures of the job on individual machines are not part of the equivalence class,
 * so the result may differ if the job failed on a machine that is not related to its image.
 */
public final class PlacementCandidates implements Machine.CandidateSet {
    /**
     * The attributes that determine whether a machine is allowed for a job and at what cost, if the
     * machine is not related to the job's image.
     *
     * @param unallocated whether no attempt occupies resources of the machine
     * @param heldForJob the job that the machine is held for; null if it is not held, or the hold
     *     has expired
     */
    private record EquivalenceClass(
            MachineType type,
            int zone,
            boolean spot,
            Resources free,
            boolean unallocated,
            int concurrentFetches,
            Job heldForJob) {
        /** Whether one task of the job may start on the machines of this class. */
        boolean allows(Job job) {
            return job.spec().resourcesPerTask().fitsIn(free)
                    && (heldForJob == null || heldForJob == job)
                    && PlacementScorer.isAllowed(job, type, zone, spot);
        }
    }

    /**
     * The machines of one equivalence class. Those that are related to a job's image are included,
     * and are skipped for that job.
     */
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

        /**
         * Index in {@link #positions}; if absent, negative as {@link Arrays#binarySearch} returns.
         */
        int indexOf(int position) {
            return Arrays.binarySearch(positions.elements(), 0, positions.size(), position);
        }
    }

    /**
     * The cost of a machine for one job, as of its last evaluation.
     *
     * @param position index in {@link #machines}; of machines with equal cost, the lowest is chosen
     * @param machineVersion {@link Machine#placementVersion} at the evaluation
     * @param group the group of equivalent machines that the machine represents; null if it was
     *     ranked individually
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

    /** The ranking of machines for one job. */
    private static final class JobRanking {
        private final PriorityQueue<RankedMachine> queue = new PriorityQueue<>(CHEAPEST_FIRST);

        /** How many entries of {@link #changedMachines} the ranking includes. */
        private int appliedChangeCount;
    }

    private final List<Machine> machines;
    private final ImageLocations<Machine> imageLocations;
    private final double nowSeconds;
    private final Map<EquivalenceClass, EquivalentMachines> groupsByClass = new LinkedHashMap<>();

    /**
     * The group of each machine, by its index in {@link #machines}. Empty until the first job is
     * placed.
     */
    private final List<EquivalentMachines> groupByPosition = new ArrayList<>();

    private final IdentityHashMap<Job, JobRanking> rankingByJob = new IdentityHashMap<>();

    /** Machines that changed in this run, in the order of the changes; one entry per change. */
    private final List<Machine> changedMachines = new ArrayList<>();

    private long evaluationCount;

    /**
     * Creates the candidates of one run. Each machine stores its index among them.
     *
     * @param machines machines that accept work; of machines with equal cost, the first is chosen
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

    /** Number of evaluations so far; equivalent machines are evaluated as one. */
    public long evaluationCount() {
        return evaluationCount;
    }

    /**
     * Must be called after a task was placed on the machine or removed from it, or after resources
     * of the machine were reserved or released. Ignores machines that are not candidates.
     */
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

    /** Discards the ranking of a job that gets no further offer in this run. */
    public void discardRanking(Job job) {
        rankingByJob.remove(job);
    }

    /** Groups the machines when the first job is placed, because in many runs none is. */
    private void ensureGrouped() {
        if (groupByPosition.isEmpty()) {
            for (int i = 0; i < machines.size(); i++) {
                groupByPosition.add(addToGroup(machines.get(i), i));
            }
        }
    }

    /** Adds a machine to the group of its equivalence class; returns the group. */
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

    /**
     * The cheapest machine for one more task of the job; null if no machine is allowed. The first
     * call for a job ranks all machines, later calls only those that changed since.
     */
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
        ranking.appliedChangeCount = changedMachines.size();
        return findCheapestAllowed(offer, job, ranking.queue);
    }

    /** Ranks one machine of each group, and all machines that are related to the job's image. */
    private void rankAll(
            ResourceOffer offer, Job job, int onlyZone, PriorityQueue<RankedMachine> queue) {
        for (EquivalentMachines group : groupsByClass.values()) {
            if (isInZone(group.equivalenceClass.zone, onlyZone)) {
                rankGroup(job, group, /* fromIndex= */ 0, queue);
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

    /** Ranks the machines that changed since the last call for the job. */
    private void rankChanged(ResourceOffer offer, Job job, JobRanking ranking) {
        for (int i = ranking.appliedChangeCount; i < changedMachines.size(); i++) {
            Machine machine = changedMachines.get(i);
            if (imageLocations.isReferencedBy(job.imageIndex(), machine)) {
                rankMachine(offer, job, machine, ranking.queue);
            } else {
                rankGroup(
                        job,
                        groupByPosition.get(machine.candidateIndex()),
                        /* fromIndex= */ 0,
                        ranking.queue);
            }
        }
    }

    /**
     * Removes outdated entries and machines that are not allowed from the head of the queue, until
     * its head is valid; ranks the group of an outdated entry again.
     */
    private Machine findCheapestAllowed(
            ResourceOffer offer, Job job, PriorityQueue<RankedMachine> queue) {
        for (RankedMachine cheapest = queue.peek(); cheapest != null; cheapest = queue.peek()) {
            boolean upToDate = isUpToDate(cheapest, job);
            // Tasks of the job that were placed since may exclude the machine, by the job's zone
            // constraints. It then stays excluded for the rest of the run, and so does the group
            // that it represents, as all machines of a group are in one zone.
            if (upToDate && offer.allows(job, cheapest.machine)) {
                return cheapest.machine;
            }
            queue.poll();
            if (cheapest.group != null && !upToDate) {
                rankGroup(job, cheapest.group, /* fromIndex= */ 0, queue);
            }
        }
        return null;
    }

    /**
     * Whether an individually ranked machine is unchanged, or a group's representative is still the
     * group's first unrelated machine.
     */
    private boolean isUpToDate(RankedMachine ranked, Job job) {
        return ranked.group == null
                ? ranked.machineVersion == ranked.machine.placementVersion()
                : ranked.machine == findUnrelated(ranked.group, /* fromIndex= */ 0, job);
    }

    /**
     * Assigns as many of a gang's tasks as fit to the cheapest machines. Starts no task.
     *
     * @param onlyZone index of the zone to use, or {@link GangPlacement#ANY_ZONE}
     * @return the machine of each assigned task, by task index
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
            if (group != null && placement.allowsMoreTasksInZone(cheapest.machine.zone())) {
                rankGroup(job, group, group.indexOf(cheapest.position) + 1, queue);
            }
        }
        return placement.taskMachines();
    }

    /** Ranks a machine individually, if a task of the job may start on it. */
    private void rankMachine(
            ResourceOffer offer, Job job, Machine machine, PriorityQueue<RankedMachine> queue) {
        if (machine.isCandidateIn(this)) {
            evaluationCount++;
            if (offer.allows(job, machine)) {
                queue.add(rank(job, machine, /* group= */ null));
            }
        }
    }

    /**
     * Ranks the first of those machines of a group that are not related to the job's image, if a
     * task of the job may start on the machines of the group.
     *
     * @param fromIndex index in the group at which the search starts
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

    /** Computes the cost of a machine; {@code group} as in {@link RankedMachine}. */
    private static RankedMachine rank(Job job, Machine machine, EquivalentMachines group) {
        return new RankedMachine(
                PlacementScorer.cost(job, machine),
                machine.candidateIndex(),
                machine,
                machine.placementVersion(),
                group);
    }

    /**
     * The first of those machines of a group, from an index on, that are not related to the job's
     * image; null if there is none.
     */
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
