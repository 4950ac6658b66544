package io.kelphoist.scheduler.preemption;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Resources;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.cluster.Job;
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
 * Makes room for jobs that found none: holds the machines where their tasks would start soonest and
 * preempts what {@link PreemptionSearch} allows there. Where the team's limit is in the way, it
 * preempts the team's own tasks of lower priority.
 */
public final class Preemptor {
    private static final Logger LOG = LoggerFactory.getLogger(Preemptor.class);

    /** How long a job below high priority waits first: room often becomes free by itself. */
    private static final double MIN_QUEUE_WAIT_SECONDS = 0.3;

    private static final int MAX_HOLDS_PER_RUN = 4;

    /** Each search looks at every machine: what is left over is searched for in the next run. */
    private static final int MAX_SEARCHES_PER_RUN = 16;

    /** Nothing is stopped to save a shorter fetch than this. */
    private static final double MIN_AVOIDED_FETCH_SECONDS = 1.0;

    /** Fetches take up to a third longer than expected. */
    private static final double SLOW_FETCH_FACTOR = 1.33;

    /** How long after a search without result the next one follows, for the same job. */
    private static final double SEARCH_RETRY_SECONDS = 1.0;

    /** How long the answer counts whether room can be made for a gang. */
    private static final double FEASIBILITY_VALIDITY_SECONDS = 0.5;

    private static final double TEAM_PREEMPTION_INTERVAL_SECONDS = 0.2;

    private final MachineRegistry machines;
    private final MachineCatalog catalog;
    private final AttemptLifecycle attempts;
    private final SchedulingPolicy policy;
    private final SchedulerOutput output;

    /** Creates the preemptor of a term. */
    public Preemptor(
            MachineRegistry machines,
            MachineCatalog catalog,
            AttemptLifecycle attempts,
            SchedulingPolicy policy,
            SchedulerOutput output) {
        this.machines = machines;
        this.catalog = catalog;
        this.attempts = attempts;
        this.policy = policy;
        this.output = output;
    }

    /**
     * Makes room for a few of the jobs.
     *
     * @param unplacedJobs jobs for whose tasks the allocator found no room, most urgent first
     */
    public void makeRoom(List<Job> unplacedJobs, double nowSeconds) {
        int holds = 0;
        int searches = 0;
        for (Job job : unplacedJobs) {
            if (holds >= MAX_HOLDS_PER_RUN || searches >= MAX_SEARCHES_PER_RUN) {
                return;
            }
            if (!mayPreempt(job, nowSeconds)) {
                continue;
            }
            if (!job.team().isWithinLimit(PreemptionSearch.minimumDemand(job))) {
                preemptWithinTeamIfDue(job, nowSeconds);
            } else if (!job.capacityAcquisition().hasHeldMachines()) {
                searches++;
                holds += holdMachines(job, nowSeconds) ? 1 : 0;
            }
        }
    }

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
        if (nowSeconds >= job.capacityAcquisition().noOwnTeamPreemptionBeforeSeconds()) {
            job.capacityAcquisition()
                    .postponeOwnTeamPreemption(nowSeconds + TEAM_PREEMPTION_INTERVAL_SECONDS);
            preemptWithinTeam(job, nowSeconds);
        }
    }

    /**
     * Stops array tasks of the job's team, of lower priority, until the job fits in the team's
     * limit; none if that is not enough.
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
                        && attempt.job().priority().compareTo(job.priority()) < 0) {
                    preemptible.add(attempt);
                }
            }
        }
        preemptible.sort(
                Comparator.comparingDouble(attempt -> attempt.workAtRiskSeconds(nowSeconds)));
        for (TaskAttempt victim : chooseVictims(job, preemptible, freed)) {
            attempts.stop(victim, victim.job().spec().checkpointGraceSeconds(), nowSeconds);
        }
    }

    /**
     * The first attempts without which the job fits in its team's limit; empty if it would not fit
     * without all of them.
     *
     * @param freed what the team's stopping tasks free anyway
     */
    private static List<TaskAttempt> chooseVictims(
            Job job, List<TaskAttempt> preemptible, Resources freed) {
        Resources demand = PreemptionSearch.minimumDemand(job);
        Resources freedWithVictims = freed;
        List<TaskAttempt> victims = new ArrayList<>();
        for (TaskAttempt attempt : preemptible) {
            if (job.team().isWithinLimit(demand.minus(freedWithVictims))) {
                return victims;
            }
            victims.add(attempt);
            freedWithVictims = freedWithVictims.plus(attempt.job().spec().resourcesPerTask());
        }
        return job.team().isWithinLimit(demand.minus(freedWithVictims)) ? victims : List.of();
    }

    /** Holds machines for a job and stops what is in its way there; false if that is impossible. */
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

    private void preempt(TaskAttempt victim, double nowSeconds) {
        double graceSeconds = victim.job().spec().checkpointGraceSeconds();
        if (victim.job().spec().kind() == JobKind.GANG) {
            attempts.stopAll(victim.job(), graceSeconds, nowSeconds);
        } else {
            attempts.stop(victim, graceSeconds, nowSeconds);
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

    /** Whether machines are held for the job, or can be held. */
    public boolean canMakeRoom(Job job, double nowSeconds) {
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
     * Whether a job starts sooner by preempting other tasks than by fetching its image for the
     * given time. Tasks with a deadline are not preempted for a start that meets the objective of
     * its job class anyway.
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

    private boolean meetsStartObjective(Job job, double fetchSeconds, double nowSeconds) {
        double objectiveSeconds =
                policy.startObjectiveSeconds().getOrDefault(job.spec().jobClass(), 0.0);
        return nowSeconds - job.readyAtSeconds() + fetchSeconds * SLOW_FETCH_FACTOR
                < objectiveSeconds;
    }
}
