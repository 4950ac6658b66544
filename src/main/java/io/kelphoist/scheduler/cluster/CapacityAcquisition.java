package io.kelphoist.scheduler.cluster;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of the measures that obtain capacity for one job with pending tasks: capacity reserved
 * for its gang, machines held for it, the last check whether preempting other work would free
 * enough, and the preemption of its own team's tasks. Also records when a possible placement of a
 * job array was last declined. Reservations, holds and preemption in the own team each have a time
 * before which they are not started again; the interval between two checks is in {@code Preemptor}.
 */
public final class CapacityAcquisition {
    /** See {@link #onPlacementDeclined}. */
    private double placementDeclinedAtSeconds = Double.NEGATIVE_INFINITY;

    /** See {@link #reservedUntilSeconds()}. */
    private double reservedUntilSeconds;

    private double noReservationBeforeSeconds;
    private final List<Machine> heldMachines = new ArrayList<>();
    private double noMachineHoldBeforeSeconds;
    private double preemptionCheckedAtSeconds = Double.NEGATIVE_INFINITY;
    private boolean preemptionFeasible;
    private double noOwnTeamPreemptionBeforeSeconds;
    private final LimitWait limitWait = new LimitWait();

    /**
     * Whether, in the current run of the allocator, a possible placement of a job array was
     * declined to wait for a machine that has its image cached. Then no machine is held and no
     * other work preempted for the job in this run.
     *
     * @param nowSeconds the time of the run, which is exactly the same in all calls of the run
     */
    public boolean wasPlacementDeclinedAt(double nowSeconds) {
        return placementDeclinedAtSeconds == nowSeconds;
    }

    /**
     * Called when a possible placement of a job array is declined, to wait for a machine that has
     * its image cached. Not called for a service that waits for machines held for it.
     */
    public void onPlacementDeclined(double nowSeconds) {
        placementDeclinedAtSeconds = nowSeconds;
    }

    /** How long the job has waited for its team's limit. */
    public LimitWait limitWait() {
        return limitWait;
    }

    // ---- reserved capacity ----

    /**
     * When capacity that is reserved for the gang is released at the latest. 0 before the first
     * reservation, and once the gang has started or the expiry of the reservation was recorded.
     * Another value does not prove that capacity is reserved: it may be in the past, or the
     * capacity may have been released early, for example because its machine was lost.
     */
    public double reservedUntilSeconds() {
        return reservedUntilSeconds;
    }

    /** No capacity is reserved for the gang before this time. */
    public double noReservationBeforeSeconds() {
        return noReservationBeforeSeconds;
    }

    /** Called when capacity is first reserved for the gang, until the given time. */
    public void beginReservation(double untilSeconds) {
        reservedUntilSeconds = untilSeconds;
    }

    /** Called when the gang starts, so that it needs no reservation. */
    public void endReservation() {
        reservedUntilSeconds = 0;
    }

    /**
     * Called when the gang is to get capacity after its reservation expired unused; sets the time
     * before which it gets no other reservation.
     */
    public void expireReservation(double notBeforeSeconds) {
        reservedUntilSeconds = 0;
        noReservationBeforeSeconds = notBeforeSeconds;
    }

    // ---- held machines ----

    /** Machines that are held for the job; only {@link MachineHold} adds and removes them. */
    public Iterable<Machine> heldMachines() {
        return heldMachines;
    }

    /** Number of machines that are held for the job. */
    public int heldMachineCount() {
        return heldMachines.size();
    }

    /** Whether a machine is held for the job. */
    public boolean hasHeldMachines() {
        return !heldMachines.isEmpty();
    }

    /** Called when a machine is held for the job. */
    void addHeldMachine(Machine machine) {
        heldMachines.add(machine);
    }

    /** Called when a machine is no longer held for the job. */
    void removeHeldMachine(Machine machine) {
        heldMachines.remove(machine);
    }

    /**
     * Before this time no machine is held for the job, and no tasks of its own team are preempted
     * for it.
     */
    public double noMachineHoldBeforeSeconds() {
        return noMachineHoldBeforeSeconds;
    }

    /** Sets {@link #noMachineHoldBeforeSeconds}. */
    public void postponeMachineHold(double untilSeconds) {
        noMachineHoldBeforeSeconds = untilSeconds;
    }

    // ---- preemption ----

    /**
     * When it was last checked whether preempting other work would free enough capacity; negative
     * infinity: never.
     */
    public double preemptionCheckedAtSeconds() {
        return preemptionCheckedAtSeconds;
    }

    /**
     * Whether the last check found that the job can be placed, if necessary by preempting other
     * work; false before the first check.
     */
    public boolean isPreemptionFeasible() {
        return preemptionFeasible;
    }

    /** Records the result of a check whether preempting other work would free enough capacity. */
    public void recordPreemptionCheck(boolean feasible, double nowSeconds) {
        preemptionCheckedAtSeconds = nowSeconds;
        preemptionFeasible = feasible;
    }

    /**
     * No work of the job's own team is preempted for it before this time, nor before {@link
     * #noMachineHoldBeforeSeconds}.
     */
    public double noOwnTeamPreemptionBeforeSeconds() {
        return noOwnTeamPreemptionBeforeSeconds;
    }

    /** Sets {@link #noOwnTeamPreemptionBeforeSeconds}. */
    public void postponeOwnTeamPreemption(double untilSeconds) {
        noOwnTeamPreemptionBeforeSeconds = untilSeconds;
    }
}
