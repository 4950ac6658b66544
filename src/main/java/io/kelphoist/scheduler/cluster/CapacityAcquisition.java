package io.kelphoist.scheduler.cluster;

import java.util.ArrayList;
import java.util.List;

/**
 * The measures taken to obtain capacity for one job that cannot be placed: capacity reserved for
 * its gang, machines held for it, and checks whether preempting other work would free enough. Each
 * has a time before which it is not taken again.
 */
public final class CapacityAcquisition {
    /** When the job last declined a possible placement to wait for a better one. */
    private double placementDeclinedAtSeconds = Double.NEGATIVE_INFINITY;

    /** When the capacity reserved for the gang is released; 0: none is reserved. */
    private double reservedUntilSeconds;

    private double noReservationBeforeSeconds;
    private final List<Machine> heldMachines = new ArrayList<>();
    private double noMachineHoldBeforeSeconds;
    private double preemptionCheckedAtSeconds = Double.NEGATIVE_INFINITY;
    private boolean preemptionFeasible;
    private double noOwnTeamPreemptionBeforeSeconds;

    /**
     * Whether the job declined a possible placement at this time to wait for a better one. Then no
     * other work is preempted for it.
     */
    public boolean wasPlacementDeclinedAt(double nowSeconds) {
        return placementDeclinedAtSeconds == nowSeconds;
    }

    /** Called when the job declines a possible placement, to wait for a better one. */
    public void onPlacementDeclined(double nowSeconds) {
        placementDeclinedAtSeconds = nowSeconds;
    }

    // ---- reserved capacity ----

    /** When the capacity reserved for the gang is released; 0: none is reserved. */
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

    /** Called when the reservation expired unused; sets the time before which there is no other. */
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

    /** No machine is held for the job before this time. */
    public double noMachineHoldBeforeSeconds() {
        return noMachineHoldBeforeSeconds;
    }

    /** Sets the time before which no machine is held for the job. */
    public void postponeMachineHold(double untilSeconds) {
        noMachineHoldBeforeSeconds = untilSeconds;
    }

    // ---- preemption ----

    /** When it was last checked whether preempting other work would free enough capacity. */
    public double preemptionCheckedAtSeconds() {
        return preemptionCheckedAtSeconds;
    }

    /** Whether the last check found that preempting other work would free enough capacity. */
    public boolean isPreemptionFeasible() {
        return preemptionFeasible;
    }

    /** Records the result of a check whether preempting other work would free enough capacity. */
    public void recordPreemptionCheck(boolean feasible, double nowSeconds) {
        preemptionCheckedAtSeconds = nowSeconds;
        preemptionFeasible = feasible;
    }

    /** No work of the job's own team is preempted for it before this time. */
    public double noOwnTeamPreemptionBeforeSeconds() {
        return noOwnTeamPreemptionBeforeSeconds;
    }

    /** Sets the time before which no work of the job's own team is preempted for it. */
    public void postponeOwnTeamPreemption(double untilSeconds) {
        noOwnTeamPreemptionBeforeSeconds = untilSeconds;
    }
}
