package io.kelphoist.scheduler.preemption;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Resources;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.LimitReservations;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineCatalog;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import io.kelphoist.scheduler.preemption.PreemptionPlan.TaskSlot;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import io.kelphoist.scheduler.spi.TaskEvent;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Provides resources for jobs that the allocator could not place: holds the machines on which their
 * tasks would start soonest, and preempts there the tasks that {@link PreemptionSearch} selects. If
 * a job does not fit in its team's limit, preempts the team's own array tasks of lower priority
 * instead.
 */
public final class Preemptor {
    private static final Logger LOG = LoggerFactory.getLogger(Preemptor.class);

    /**
     * Minimum wait before machines are held and tasks preempted for a job below high priority,
     * because resources often become free without that.
     */
    private static final double MIN_QUEUE_WAIT_SECONDS = 0.3;

    /** Maximum number of jobs for which one run starts to hold machines. */
    private static final int MAX_HOLDS_PER_RUN = 4;

    /**
     * Bounds the duration of one run, as each search visits every machine. Searches for the
     * remaining jobs follow in the next run.
     */
    private static final int MAX_SEARCHES_PER_RUN = 16;

    /** No task is preempted to avoid an image fetch shorter than this. */
    private static final double MIN_AVOIDED_FETCH_SECONDS = 1.0;

    /** Image fetches take up to a third longer than expected. */
    private static final double SLOW_FETCH_FACTOR = 1.33;

    /** Delay before the next search for the same job, after a search that found no plan. */
    private static final double SEARCH_RETRY_SECONDS = 1.0;

    /** How long the last search result of {@link #canHoldMachines} stays valid. */
    private static final double FEASIBILITY_VALIDITY_SECONDS = 0.5;

    /**
     * Minimum time between two checks for the same job whether to preempt tasks of its own team.
     */
    private static final double TEAM_PREEMPTION_INTERVAL_SECONDS = 0.2;

    private final MachineRegistry machines;
    private final MachineCatalog catalog;
    private final AttemptLifecycle attemptLifecycle;
    private final SchedulingPolicy policy;
    private final SchedulerOutput output;

    /** Creates the preemptor for one leader's term. */
    public Preemptor(
            MachineRegistry machines,
            MachineCatalog catalog,
            AttemptLifecycle attemptLifecycle,
            SchedulingPolicy policy,
            SchedulerOutput output) {
        this.machines = machines;
        this.catalog = catalog;
        this.attemptLifecycle = attemptLifecycle;
        this.policy = policy;
        this.output = output;
    }

    /**
     * Holds machines and preempts tasks for some of the jobs; the number of searches and of jobs
     * that machines are held for is bounded per run. The remaining jobs are handled in later runs.
     *
     * @param unplacedJobs jobs that still have pending tasks after the allocator has placed tasks,
     *     most urgent first
     */
    public void holdMachinesAndPreempt(List<Job> unplacedJobs, double nowSeconds) {
        int holdCount = 0;
        int searchCount = 0;
        for (Job job : unplacedJobs) {
            if (holdCount >= MAX_HOLDS_PER_RUN || searchCount >= MAX_SEARCHES_PER_RUN) {
                break;
            }
            if (mayPreempt(job, nowSeconds)) {
                if (mayHoldMachines(job)) {
                    searchCount++;
                    holdCount += holdMachines(job, nowSeconds) ? 1 : 0;
                } else {
                    preemptWithinTeamIfDue(job, nowSeconds);
                }
            }
            LimitReservations.reserveFor(job);
        }
        unplacedJobs.forEach(job -> job.team().clearUrgentReservations());
    }

    /**
     * Whether the job fits in its team's limit, less what is kept for the more urgent jobs of the
     * team, and no machine is held for it.
     */
    private static boolean mayHoldMachines(Job job) {
        return job.team().isWithinLimit(PreemptionSearch.minimumDemand(job))
                && !job.capacityAcquisition().hasHeldMachines();
    }

    /**
     * Whether machines may be held and tasks preempted for the job now. Excluded are job arrays
     * beyond their team's guarantee, jobs that have not waited long enough, jobs whose last search
     * found no plan or whose last hold ended unused a short time ago, jobs of which a task has run
     * (of a gang: in its current attempt), jobs that declined free resources in this run, and jobs
     * that are suspected faulty.
     */
    private static boolean mayPreempt(Job job, double nowSeconds) {
        double minWaitSeconds =
                job.priority().compareTo(Priority.HIGH) >= 0 ? 0 : MIN_QUEUE_WAIT_SECONDS;
        return (job.spec().kind() != JobKind.ARRAY
                        || job.team().isWithinGuarantee(PreemptionSearch.minimumDemand(job)))
                && nowSeconds - job.waitingSinceSeconds() >= minWaitSeconds
                && nowSeconds >= job.capacityAcquisition().noMachineHoldBeforeSeconds()
                && !job.hasRun()
                && !job.capacityAcquisition().wasPlacementDeclinedAt(nowSeconds)
                && !job.isSuspectedFaulty();
    }

    private void preemptWithinTeamIfDue(Job job, double nowSeconds) {
        boolean exceedsLimit =
                !job.team()
                        .isWithinLimitWithoutUrgentReservations(
                                PreemptionSearch.minimumDemand(job));
        if (exceedsLimit
                && nowSeconds >= job.capacityAcquisition().noOwnTeamPreemptionBeforeSeconds()) {
            job.capacityAcquisition()
                    .postponeOwnTeamPreemption(nowSeconds + TEAM_PREEMPTION_INTERVAL_SECONDS);
            preemptWithinTeam(job, nowSeconds);
        }
    }

    /**
     * Stops array tasks of lower priority of the job's own team, as many as needed for the job to
     * fit in the team's limit, and those that lose the least work first. Stops none if stopping all
     * of them would not be enough.
     */
    private void preemptWithinTeam(Job job, double nowSeconds) {
        List<TaskAttempt> preemptible = new ArrayList<>();
        Resources freed = Resources.NONE;
        for (Machine machine : machines.all()) {
            for (TaskAttempt attempt : machine.attempts()) {
                if (!attempt.state().occupiesResources() || attempt.job().team() != job.team()) {
                    continue;
                }
                if (attempt.isStopping()) {
                    freed = freed.plus(attempt.job().spec().resourcesPerTask());
                } else if (attempt.job().spec().kind() == JobKind.ARRAY
                        && attempt.job().priority().compareTo(job.priority()) < 0
                        && (!attempt.startedWhenOverdue()
                                || job.priority() == Priority.PRODUCTION)) {
                    preemptible.add(attempt);
                }
            }
        }
        preemptible.sort(
                Comparator.comparingDouble(attempt -> attempt.workAtRiskSeconds(nowSeconds)));
        for (TaskAttempt victim : chooseVictims(job, preemptible, freed)) {
            attemptLifecycle.stop(victim, victim.job().spec().checkpointGraceSeconds(), nowSeconds);
        }
    }

    /**
     * Returns the shortest prefix of the attempts that must be stopped for the job to fit in its
     * team's limit; empty if it would not fit even with all of them stopped.
     *
     * @param freed resources of the team's tasks that are already being stopped
     */
    private static List<TaskAttempt> chooseVictims(
            Job job, List<TaskAttempt> preemptible, Resources freed) {
        Resources demand = PreemptionSearch.minimumDemand(job);
        Resources freedWithVictims = freed;
        List<TaskAttempt> victims = new ArrayList<>();
        for (TaskAttempt attempt : preemptible) {
            if (job.team().isWithinLimitWithoutUrgentReservations(demand.minus(freedWithVictims))) {
                return victims;
            }
            victims.add(attempt);
            freedWithVictims = freedWithVictims.plus(attempt.job().spec().resourcesPerTask());
        }
        return job.team().isWithinLimitWithoutUrgentReservations(demand.minus(freedWithVictims))
                ? victims
                : List.of();
    }

    /**
     * Holds the machines of the cheapest plan for a job and preempts the plan's victims.
     *
     * @return false if there is no plan
     */
    private boolean holdMachines(Job job, double nowSeconds) {
        Optional<PreemptionPlan> plan = findCheapestPlan(job, nowSeconds);
        if (plan.isEmpty()) {
            job.capacityAcquisition().postponeMachineHold(nowSeconds + SEARCH_RETRY_SECONDS);
            return false;
        }
        List<TaskSlot> slots = plan.get().slots();
        double holdUntilSeconds = nowSeconds + policy.machineHoldSeconds();
        for (TaskSlot slot : slots) {
            slot.machine().hold().addTask(job, holdUntilSeconds);
            LOG.debug(
                    "machine held: machine={} job={} preemptedTasks={}",
                    slot.machine().name(),
                    job.spec().id(),
                    slot.victims().size());
            slot.victims().forEach(victim -> preempt(victim, nowSeconds));
        }
        output.publishEvent(job, new TaskEvent.CapacityReserved(slots.size()));
        return true;
    }

    /**
     * Stops an attempt, or all attempts of its gang, with the grace period that the job's tasks get
     * to save a checkpoint.
     */
    private void preempt(TaskAttempt victim, double nowSeconds) {
        double graceSeconds = victim.job().spec().checkpointGraceSeconds();
        if (victim.job().spec().kind() == JobKind.GANG) {
            attemptLifecycle.stopAll(victim.job(), graceSeconds, nowSeconds);
        } else {
            attemptLifecycle.stop(victim, graceSeconds, nowSeconds);
        }
    }

    private Optional<PreemptionPlan> findCheapestPlan(Job job, double nowSeconds) {
        return findCheapestPlan(job, Double.POSITIVE_INFINITY, nowSeconds);
    }

    private Optional<PreemptionPlan> findCheapestPlan(
            Job job, double costLimitSeconds, double nowSeconds) {
        return PreemptionSearch.findCheapestPlan(
                machines, catalog.maxFetchGbPerSecond(), job, costLimitSeconds, nowSeconds);
    }

    /**
     * Whether machines are held for the job, or could be held now. If none are held, false for a
     * job that does not fit in its team's limit, and in the backoff after a search that found no
     * plan or a hold that ended unused. The result of the underlying search is cached for {@link
     * #FEASIBILITY_VALIDITY_SECONDS}.
     */
    public boolean canHoldMachines(Job job, double nowSeconds) {
        if (job.capacityAcquisition().hasHeldMachines()) {
            return true;
        }
        if (nowSeconds < job.capacityAcquisition().noMachineHoldBeforeSeconds()
                || !job.team().isWithinLimit(PreemptionSearch.minimumDemand(job))) {
            return false;
        }
        if (nowSeconds
                >= job.capacityAcquisition().preemptionCheckedAtSeconds()
                        + FEASIBILITY_VALIDITY_SECONDS) {
            job.capacityAcquisition()
                    .recordPreemptionCheck(
                            findCheapestPlan(job, nowSeconds).isPresent(), nowSeconds);
        }
        return job.capacityAcquisition().isPreemptionFeasible();
    }

    /**
     * Whether a job starts sooner by preempting other tasks than by starting on free resources and
     * fetching its image there; the cost of the lost work counts as delay. False for a fetch
     * shorter than {@link #MIN_AVOIDED_FETCH_SECONDS} and for a job that is suspected faulty;
     * otherwise true while machines are held for the job. Tasks with a deadline are not preempted
     * if the job meets the start objective of its class without that.
     *
     * @param fetchSeconds expected duration of the image fetch without preemption
     */
    public boolean isSoonerThanFetch(double fetchSeconds, Job job, double nowSeconds) {
        if (fetchSeconds < MIN_AVOIDED_FETCH_SECONDS || job.isSuspectedFaulty()) {
            return false;
        }
        if (job.capacityAcquisition().hasHeldMachines()) {
            return true;
        }
        Optional<PreemptionPlan> plan = findCheapestPlan(job, fetchSeconds, nowSeconds);
        if (plan.isEmpty()
                || plan.get().costSeconds() >= fetchSeconds
                || !plan.get().hasVictims()) {
            return false;
        }
        return !meetsStartObjective(job, fetchSeconds, nowSeconds)
                || !plan.get().stopsDeadlineWork();
    }

    /**
     * Whether the job meets its class's start objective even if the fetch is slow; false if the
     * class has no objective.
     */
    private boolean meetsStartObjective(Job job, double fetchSeconds, double nowSeconds) {
        double objectiveSeconds =
                policy.startObjectiveSeconds().getOrDefault(job.spec().jobClass(), 0.0);
        return nowSeconds - job.readyAtSeconds() + fetchSeconds * SLOW_FETCH_FACTOR
                < objectiveSeconds;
    }
}
