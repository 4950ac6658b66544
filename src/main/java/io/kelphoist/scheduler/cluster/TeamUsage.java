package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.Resources;
import io.kelphoist.model.Team;

/**
 * A team's quota and what is charged to it: resources allocated to its task attempts, resources
 * reserved for its gangs, and resources reserved for its urgent jobs. Owns these three amounts.
 */
public final class TeamUsage {
    /** Keeps the weight of a guest team, which has no guarantee, above zero. */
    private static final double MIN_WEIGHT = 1e-3;

    private final Team team;

    /** Resources of all attempts that may be on machines. */
    private Resources used = Resources.NONE;

    /** Reserved for tasks of gangs; charged to the limit, and reserved only up to the guarantee. */
    private Resources reservedForGangs = Resources.NONE;

    /**
     * Reserved under the limit, during one run of the allocator, for urgent jobs that could not be
     * placed.
     */
    private Resources reservedForUrgentJobs = Resources.NONE;

    /** Creates the usage of a team, with nothing charged to it. */
    public TeamUsage(Team team) {
        this.team = team;
    }

    /** The team with its quota. */
    public Team team() {
        return team;
    }

    /** Resources of all attempts that may be on machines. */
    public Resources used() {
        return used;
    }

    /** Adds the resources of an attempt. */
    public void allocate(Resources resources) {
        used = used.plus(resources);
    }

    /** Subtracts the resources of an attempt. */
    public void deallocate(Resources resources) {
        used = used.minus(resources);
    }

    /** Resources that are reserved for the team's gangs. */
    public Resources reservedForGangs() {
        return reservedForGangs;
    }

    /** Adds the resources that are reserved for a task of a gang. */
    public void reserveForGang(Resources resources) {
        reservedForGangs = reservedForGangs.plus(resources);
    }

    /** Releases resources that {@link #reserveForGang} reserved. */
    public void releaseGangReservation(Resources resources) {
        reservedForGangs = reservedForGangs.minus(resources);
    }

    /**
     * Reserves resources under the limit for an urgent job until {@link #clearUrgentReservations}
     * is called.
     */
    public void reserveForUrgentJob(Resources resources) {
        reservedForUrgentJobs = reservedForUrgentJobs.plus(resources);
    }

    /** Releases everything that {@link #reserveForUrgentJob} reserved. */
    public void clearUrgentReservations() {
        reservedForUrgentJobs = Resources.NONE;
    }

    /** Whether the limit allows these resources in addition to all that is used and reserved. */
    public boolean isWithinLimit(Resources additional) {
        return isWithinLimitWithoutUrgentReservations(reservedForUrgentJobs.plus(additional));
    }

    /**
     * Whether the limit allows these resources in addition to what is used and reserved for gangs,
     * whatever is reserved for urgent jobs.
     */
    public boolean isWithinLimitWithoutUrgentReservations(Resources additional) {
        return used.plus(reservedForGangs).plus(additional).fitsIn(team.limit());
    }

    /** Number of tasks of this size that the limit allows in addition, at most {@code maxTasks}. */
    public int countTasksWithinLimit(Resources perTask, int maxTasks) {
        int tasks = 0;
        while (tasks < maxTasks && isWithinLimit(perTask.times(tasks + 1))) {
            tasks++;
        }
        return tasks;
    }

    /**
     * Whether the guarantee covers these resources in addition to what is used. Reservations are
     * not included.
     */
    public boolean isWithinGuarantee(Resources additional) {
        return used.plus(additional).fitsIn(team.guarantee());
    }

    /**
     * The team's dominant share of {@code total}, including gang reservations, divided by the
     * dominant share of its guarantee. The team with the lowest value is offered resources first.
     */
    public double weightedShare(Resources total) {
        double weight = Math.max(team.guarantee().dominantShare(total), MIN_WEIGHT);
        return used.plus(reservedForGangs).dominantShare(total) / weight;
    }
}
