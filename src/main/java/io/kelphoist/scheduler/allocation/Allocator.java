package io.kelphoist.scheduler.allocation;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Resources;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.LimitReservations;
import io.kelphoist.scheduler.cluster.LimitWait;
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
 * Shares resources between teams by weighted dominant resource fairness: offers free resources to
 * the team whose dominant share, weighted by its guarantee, is lowest. No team gets more than its
 * limit. The scheduler for the job's kind decides which tasks start on the offered machines. Jobs
 * with tasks that were not started are passed to the {@link Preemptor}.
 */
public final class Allocator {
    /** Bounds the duration of one run; the next run starts further tasks. A gang is one start. */
    private static final int MAX_STARTS_PER_RUN = 200;

    /**
     * Most urgent first: production priority; then the jobs that are overdue at their team's limit
     * ({@link LimitWait}), by the length of their waits; then higher priority, then {@link
     * Job#isAged aged} jobs before others, then the earlier {@link Job#latestFinishAtSeconds}, then
     * the earlier time at which the job was ready to start.
     */
    static final Comparator<Job> URGENCY_ORDER =
            Comparator.comparing((Job job) -> job.priority() != Priority.PRODUCTION)
                    .thenComparing(job -> !limitWait(job).isOverdue())
                    .thenComparingDouble(Allocator::overdueSinceSeconds)
                    .thenComparing(Job::priority, Comparator.reverseOrder())
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
     * Creates an allocator with one scheduler per kind of job.
     *
     * @param context provides their collaborators; not kept
     */
    public static Allocator create(SchedulerContext context) {
        MachineRegistry machines = context.machines();
        AttemptLifecycle attemptLifecycle = context.attemptLifecycle();
        SchedulingPolicy policy = context.policy();
        SchedulerOutput output = context.output();
        Preemptor preemptor =
                new Preemptor(machines, context.catalog(), attemptLifecycle, policy, output);
        GangReservations reservations =
                new GangReservations(policy, output, context.activeCandidates()::onMachineChanged);
        Map<JobKind, JobKindScheduler> schedulersByKind = new EnumMap<>(JobKind.class);
        schedulersByKind.put(
                JobKind.ARRAY,
                new ArrayScheduler(attemptLifecycle, policy, machines.imageLocations()));
        schedulersByKind.put(
                JobKind.GANG, new GangScheduler(attemptLifecycle, preemptor, reservations));
        schedulersByKind.put(JobKind.SERVICE, new ServiceScheduler(attemptLifecycle, preemptor));
        return new Allocator(
                context.jobs(),
                machines,
                context.activeCandidates(),
                preemptor,
                reservations,
                schedulersByKind);
    }

    /**
     * Jobs that still had pending tasks after the last run had placed tasks, most urgent first;
     * without jobs in retry backoff.
     */
    public List<Job> unplacedJobs() {
        return unplacedJobs;
    }

    /** Number of machine evaluations for jobs so far; measures the cost of allocation. */
    public long evaluationCount() {
        return evaluationCount;
    }

    /**
     * Runs the allocator once: starts the tasks for which there are free resources, then lets the
     * {@link Preemptor} hold machines and preempt tasks for some of the remaining jobs.
     */
    public void allocate(double nowSeconds) {
        gangReservations.releaseInvalid(nowSeconds);
        Map<TeamUsage, List<Job>> waitingJobsByTeam = findWaitingJobs(nowSeconds);
        unplacedJobs =
                waitingJobsByTeam.isEmpty() ? List.of() : place(waitingJobsByTeam, nowSeconds);
        preemptor.holdMachinesAndPreempt(unplacedJobs, nowSeconds);
    }

    /**
     * Returns the active jobs that have pending tasks and are not in retry backoff, by team and
     * most urgent first, after updating which of them are aged and which still avoid machines.
     */
    private Map<TeamUsage, List<Job>> findWaitingJobs(double nowSeconds) {
        Map<TeamUsage, List<Job>> waitingJobsByTeam = new LinkedHashMap<>();
        for (Job job : jobs.all()) {
            if (job.isActive()
                    && job.tasks().hasPending()
                    && nowSeconds >= job.failures().retryAtSeconds()) {
                job.updateWaiting(nowSeconds);
                waitingJobsByTeam.computeIfAbsent(job.team(), team -> new ArrayList<>()).add(job);
            }
        }
        waitingJobsByTeam.values().forEach(teamJobs -> teamJobs.sort(URGENCY_ORDER));
        return waitingJobsByTeam;
    }

    /**
     * Starts tasks of the waiting jobs; returns the jobs that still have pending tasks, most urgent
     * first.
     */
    private List<Job> place(Map<TeamUsage, List<Job>> waitingJobsByTeam, double nowSeconds) {
        Resources smallestTask = smallestTask(waitingJobsByTeam);
        CapacitySum totalCapacity = new CapacitySum();
        List<Machine> candidateMachines = new ArrayList<>();
        for (Machine machine : machines.all()) {
            if (machine.acceptsWork(nowSeconds)) {
                totalCapacity.add(machine.type());
                if (mayFitTask(machine, smallestTask)) {
                    candidateMachines.add(machine);
                }
            }
        }
        PlacementCandidates candidates =
                new PlacementCandidates(candidateMachines, machines.imageLocations(), nowSeconds);
        activeCandidates.begin(candidates);
        List<Job> unplaced = new ArrayList<>();
        offerToTeams(
                new ResourceOffer(candidates, nowSeconds),
                waitingJobsByTeam,
                totalCapacity.total(),
                unplaced);
        activeCandidates.end();
        evaluationCount += candidates.evaluationCount();
        unplaced.sort(URGENCY_ORDER);
        return unplaced;
    }

    /** The smallest amount of each resource that a task of any waiting job requires. */
    private static Resources smallestTask(Map<TeamUsage, List<Job>> waitingJobsByTeam) {
        return waitingJobsByTeam.values().stream()
                .flatMap(List::stream)
                .map(job -> job.spec().resourcesPerTask())
                .reduce(Resources::min)
                .orElseThrow();
    }

    /**
     * Whether a task could fit on the machine. Full machines are not offered: under high load most
     * machines are full, and each job evaluates every offered machine. Resources reserved for gangs
     * are treated as free, because a gang releases its reservations before it is placed again.
     */
    private static boolean mayFitTask(Machine machine, Resources smallestTask) {
        return smallestTask.fitsIn(machine.free())
                || smallestTask.fitsIn(machine.free().plus(machine.resources().reserved()));
    }

    /**
     * Repeatedly offers free resources to the team with the lowest weighted share, until no team
     * starts another task or {@link #MAX_STARTS_PER_RUN} is reached.
     *
     * @param unplaced receives the jobs that still have pending tasks
     */
    private void offerToTeams(
            ResourceOffer offer,
            Map<TeamUsage, List<Job>> waitingJobsByTeam,
            Resources totalCapacity,
            List<Job> unplaced) {
        Set<TeamUsage> eligibleTeams = new LinkedHashSet<>(waitingJobsByTeam.keySet());
        int startCount = 0;
        while (!eligibleTeams.isEmpty() && startCount < MAX_STARTS_PER_RUN) {
            TeamUsage team = lowestShare(eligibleTeams, totalCapacity);
            if (offerToJobs(offer, waitingJobsByTeam.get(team), unplaced)) {
                startCount++;
            } else {
                eligibleTeams.remove(team);
            }
        }
        waitingJobsByTeam.forEach(
                (team, teamJobs) -> {
                    unplaced.addAll(teamJobs);
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
     * Offers free resources to a team's jobs, most urgent first, until one of them starts a task or
     * a gang. A job that rejects the offer gets no further one in this run, because within a run
     * free resources only shrink, except when a gang releases its reservations.
     *
     * @param unplaced receives the jobs that rejected the offer
     * @return whether a job started a task or a gang
     */
    private boolean offerToJobs(ResourceOffer offer, List<Job> teamJobs, List<Job> unplaced) {
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
            unplaced.add(job);
            LimitReservations.reserveFor(job);
        }
        return false;
    }

    private static LimitWait limitWait(Job job) {
        return job.capacityAcquisition().limitWait();
    }

    private static double overdueSinceSeconds(Job job) {
        return limitWait(job).isOverdue() ? job.readyAtSeconds() : 0;
    }

    /**
     * Sums machine capacities. Consecutive machines of the same type are counted, and their
     * capacity is added in one step.
     */
    private static final class CapacitySum {
        private Resources total = Resources.NONE;
        private MachineType type;
        private int countOfType;

        /**
         * Adds a machine's capacity. Types are compared by identity, which is fast: machines of a
         * type share one object.
         */
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
