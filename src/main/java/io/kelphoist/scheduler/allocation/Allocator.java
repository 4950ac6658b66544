package io.kelphoist.scheduler.allocation;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.Resources;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.cluster.TeamUsage;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import io.kelphoist.scheduler.lifecycle.SchedulerContext;
import io.kelphoist.scheduler.placement.ActiveCandidates;
import io.kelphoist.scheduler.placement.PlacementCandidates;
import io.kelphoist.scheduler.placement.ResourceOffer;
import io.kelphoist.scheduler.preemption.Preemptor;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Fair sharing between teams: offers free room to the team with the lowest dominant share, weighted
 * by guarantees, and never beyond its limit. The scheduler for the job's kind decides what the team
 * starts there. Jobs that found no room are left to the {@link Preemptor}.
 */
public final class Allocator {
    /** The most starts of a run, which bounds its time; the next run goes on from there. */
    private static final int MAX_STARTS_PER_RUN = 200;

    static final Comparator<Job> URGENCY_ORDER =
            Comparator.comparing(Job::priority)
                    .reversed()
                    .thenComparing(job -> !job.isAged())
                    .thenComparingDouble(Job::latestFinishAtSeconds)
                    .thenComparingDouble(Job::readyAtSeconds);

    private final JobRegistry jobs;
    private final MachineRegistry machines;
    private final ActiveCandidates activeCandidates;
    private final Preemptor preemptor;
    private final GangReservations gangReservations;
    private final Map<JobKind, JobKindScheduler> schedulersByKind;
    private List<Job> unplacedJobs = List.of();
    private long evaluationCount;

    private Allocator(
            JobRegistry jobs,
            MachineRegistry machines,
            ActiveCandidates activeCandidates,
            Preemptor preemptor,
            GangReservations gangReservations,
            Map<JobKind, JobKindScheduler> schedulersByKind) {
        this.jobs = jobs;
        this.machines = machines;
        this.activeCandidates = activeCandidates;
        this.preemptor = preemptor;
        this.gangReservations = gangReservations;
        this.schedulersByKind = schedulersByKind;
    }

    /**
     * An allocator with its schedulers.
     *
     * @param context where their collaborators are taken from; not kept
     */
    public static Allocator create(SchedulerContext context) {
        MachineRegistry machines = context.machines();
        AttemptLifecycle attempts = context.attempts();
        SchedulingPolicy policy = context.policy();
        SchedulerOutput output = context.output();
        Preemptor preemptor = new Preemptor(machines, context.catalog(), attempts, policy, output);
        GangReservations reservations =
                new GangReservations(policy, output, context.activeCandidates()::onMachineChanged);
        Map<JobKind, JobKindScheduler> schedulersByKind = new EnumMap<>(JobKind.class);
        schedulersByKind.put(
                JobKind.ARRAY, new ArrayScheduler(attempts, policy, machines.imageLocations()));
        schedulersByKind.put(JobKind.GANG, new GangScheduler(attempts, preemptor, reservations));
        schedulersByKind.put(JobKind.SERVICE, new ServiceScheduler(attempts, preemptor));
        return new Allocator(
                context.jobs(),
                machines,
                context.activeCandidates(),
                preemptor,
                reservations,
                schedulersByKind);
    }

    /** Jobs with tasks that found no room in the last run, most urgent first. */
    public List<Job> unplacedJobs() {
        return unplacedJobs;
    }

    /** How many machines were evaluated for jobs so far: what decisions cost. */
    public long evaluationCount() {
        return evaluationCount;
    }

    /** Starts what has room, and makes room for some of the rest. */
    public void allocate(double nowSeconds) {
        gangReservations.releaseExpired(nowSeconds);
        Map<TeamUsage, List<Job>> waitingByTeam = findWaitingJobs(nowSeconds);
        unplacedJobs = waitingByTeam.isEmpty() ? List.of() : place(waitingByTeam, nowSeconds);
        preemptor.makeRoom(unplacedJobs, nowSeconds);
    }

    private Map<TeamUsage, List<Job>> findWaitingJobs(double nowSeconds) {
        Map<TeamUsage, List<Job>> waitingByTeam = new LinkedHashMap<>();
        for (Job job : jobs.all()) {
            if (job.isActive()
                    && job.tasks().hasPending()
                    && nowSeconds >= job.failures().retryAtSeconds()) {
                job.updateWaiting(nowSeconds);
                waitingByTeam.computeIfAbsent(job.team(), team -> new ArrayList<>()).add(job);
            }
        }
        waitingByTeam.values().forEach(teamJobs -> teamJobs.sort(URGENCY_ORDER));
        return waitingByTeam;
    }

    /** Starts tasks of the waiting jobs; returns the jobs with tasks that found no room. */
    private List<Job> place(Map<TeamUsage, List<Job>> waitingByTeam, double nowSeconds) {
        Resources smallestTask = smallestTask(waitingByTeam);
        CapacitySum totalCapacity = new CapacitySum();
        List<Machine> machinesWithRoom = new ArrayList<>();
        for (Machine machine : machines.all()) {
            if (machine.acceptsWork(nowSeconds)) {
                totalCapacity.add(machine.type());
                if (mayHaveRoom(machine, smallestTask)) {
                    machinesWithRoom.add(machine);
                }
            }
        }
        PlacementCandidates candidates =
                new PlacementCandidates(machinesWithRoom, machines.imageLocations(), nowSeconds);
        activeCandidates.begin(candidates);
        List<Job> jobsWithoutRoom = new ArrayList<>();
        offerToTeams(
                new ResourceOffer(candidates, nowSeconds),
                waitingByTeam,
                totalCapacity.total(),
                jobsWithoutRoom);
        activeCandidates.end();
        evaluationCount += candidates.evaluationCount();
        jobsWithoutRoom.sort(URGENCY_ORDER);
        return jobsWithoutRoom;
    }

    private static Resources smallestTask(Map<TeamUsage, List<Job>> waitingByTeam) {
        return waitingByTeam.values().stream()
                .flatMap(List::stream)
                .map(job -> job.spec().resourcesPerTask())
                .reduce(Resources::min)
                .orElseThrow();
    }

    /**
     * Leaves out full machines: on a busy day most are full, and each job evaluates all that are
     * offered. Reserved room counts as free, as a gang releases it before it chooses anew.
     */
    private static boolean mayHaveRoom(Machine machine, Resources smallestTask) {
        return smallestTask.fitsIn(machine.free())
                || smallestTask.fitsIn(machine.free().plus(machine.resources().reserved()));
    }

    /**
     * Offers room to one team after the other, that with the lowest share first, until none starts
     * anything more.
     */
    private void offerToTeams(
            ResourceOffer offer,
            Map<TeamUsage, List<Job>> waitingByTeam,
            Resources totalCapacity,
            List<Job> jobsWithoutRoom) {
        Set<TeamUsage> openTeams = new LinkedHashSet<>(waitingByTeam.keySet());
        int starts = 0;
        while (!openTeams.isEmpty() && starts < MAX_STARTS_PER_RUN) {
            TeamUsage team = lowestShare(openTeams, totalCapacity);
            if (offerToJobs(offer, waitingByTeam.get(team), jobsWithoutRoom)) {
                starts++;
            } else {
                openTeams.remove(team);
            }
        }
        waitingByTeam.forEach(
                (team, teamJobs) -> {
                    jobsWithoutRoom.addAll(teamJobs);
                    team.clearUrgentReservations();
                });
    }

    private static TeamUsage lowestShare(Set<TeamUsage> teams, Resources totalCapacity) {
        TeamUsage lowest = null;
        double lowestShare = Double.POSITIVE_INFINITY;
        for (TeamUsage team : teams) {
            double share = team.weightedShare(totalCapacity);
            if (lowest == null || share < lowestShare) {
                lowest = team;
                lowestShare = share;
            }
        }
        return lowest;
    }

    /**
     * Offers room to a team's jobs, most urgent first, until one starts something. A job that
     * starts nothing gets no more offers in this run, as room only shrinks within a run.
     *
     * @return whether a job started something
     */
    private boolean offerToJobs(
            ResourceOffer offer, List<Job> teamJobs, List<Job> jobsWithoutRoom) {
        for (Iterator<Job> remainingJobs = teamJobs.iterator(); remainingJobs.hasNext(); ) {
            Job job = remainingJobs.next();
            boolean started = schedulersByKind.get(job.spec().kind()).tryStart(offer, job);
            if (started && job.tasks().hasPending()) {
                return true;
            }
            offer.candidates().discardRanking(job);
            remainingJobs.remove();
            if (started) {
                return true;
            }
            jobsWithoutRoom.add(job);
            reserveForUrgentJob(job);
        }
        return false;
    }

    /**
     * Keeps what the team's limit leaves for a gang or service that found no room: tasks of lower
     * priority would only be preempted for it again.
     */
    private static void reserveForUrgentJob(Job job) {
        if (job.spec().kind() != JobKind.ARRAY && !job.hasRun()) {
            Resources demand = job.spec().resourcesPerTask().times(job.tasks().pendingCount());
            job.team().reserveForUrgentJob(demand);
        }
    }

    /** Sums up capacities; machines of the same type in a row are counted and multiplied. */
    private static final class CapacitySum {
        private Resources total = Resources.NONE;
        private MachineType type;
        private int countOfType;

        /** By identity, which is cheap: the machines of a type share one object. */
        @SuppressWarnings("ReferenceEquality")
        void add(MachineType machineType) {
            if (machineType != type) {
                addCounted();
                type = machineType;
                countOfType = 0;
            }
            countOfType++;
        }

        private void addCounted() {
            if (type != null) {
                total = total.plus(type.capacity().times(countOfType));
            }
        }

        Resources total() {
            addCounted();
            countOfType = 0;
            return total;
        }
    }
}
