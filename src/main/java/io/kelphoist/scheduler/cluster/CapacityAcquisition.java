package io.kelphoist.scheduler.cluster;

import java.util.ArrayList;
import java.util.List;

/**
 * What was done so far to make room for one job that does not fit: room reserved for its gang,
 * machines held for it, and searches for work to preempt. Each has a time before which it is not
 * tried again.
 */
public final class CapacityAcquisition {
    /** When the job last had room and waited for better. */
    private double declinedAtSeconds = Double.NEGATIVE_INFINITY;

    /** When the room reserved for the gang is released; 0: none is reserved. */
    private double reservedUntilSeconds;

    private double noReservationBeforeSeconds;
    private final List<Machine> heldMachines = new ArrayList<>();
    private double noMachineHoldBeforeSeconds;
    private double preemptionCheckedAtSeconds = Double.NEGATIVE_INFINITY;
    private boolean preemptionFeasible;
    private double noOwnTeamPreemptionBeforeSeconds;

    /** Whether the job had room at this time and waited for better: nothing is stopped for it. */
    public boolean wasPlacementDeclinedAt(double nowSeconds) {
        return declinedAtSeconds == nowSeconds;
    }

    /** The job has room now and waits for better. */
    public void onPlacementDeclined(double nowSeconds) {
        declinedAtSeconds = nowSeconds;
    }

    // ---- reserved room ----

    /** When the room reserved for the gang is released; 0: none is reserved. */
    public double reservedUntilSeconds() {
        return reservedUntilSeconds;
    }

    /** No room is reserved for the gang before this time. */
    public double noReservationBeforeSeconds() {
        return noReservationBeforeSeconds;
    }

    /** Room is reserved for the gang. */
    public void beginReservation(double untilSeconds) {
        reservedUntilSeconds = untilSeconds;
    }

    /** The job starts, so that it needs no reserved room. */
    public void endReservation() {
        reservedUntilSeconds = 0;
    }

    /** The reservation expired unused; none follows before {@code notBeforeSeconds}. */
    public void expireReservation(double notBeforeSeconds) {
        reservedUntilSeconds = 0;
        noReservationBeforeSeconds = notBeforeSeconds;
    }

    // ---- held machines ----

    /** Machines that are held for the job; only {@link MachineHold} adds and removes them. */
    public Iterable<Machine> heldMachines() {
        return heldMachines;
    }

    /** How many machines are held for the job. */
    public int heldMachineCount() {
        return heldMachines.size();
    }

    /** Whether a machine is held for the job. */
    public boolean hasHeldMachines() {
        return !heldMachines.isEmpty();
    }

    void addHeldMachine(Machine machine) {
        heldMachines.add(machine);
    }

    void removeHeldMachine(Machine machine) {
        heldMachines.remove(machine);
    }

    /** No machine is held for the job before this time. */
    public double noMachineHoldBeforeSeconds() {
        return noMachineHoldBeforeSeconds;
    }

    /** No machine is held for the job before {@code untilSeconds}. */
    public void postponeMachineHold(double untilSeconds) {
        noMachineHoldBeforeSeconds = untilSeconds;
    }

    // ---- preemption ----

    /** When it was last checked whether preempting other work could make room. */
    public double preemptionCheckedAtSeconds() {
        return preemptionCheckedAtSeconds;
    }

    /** The result of the last check. */
    public boolean isPreemptionFeasible() {
        return preemptionFeasible;
    }

    /** Notes the result of a check whether preemption could make room. */
    public void recordPreemptionCheck(boolean feasible, double nowSeconds) {
        preemptionCheckedAtSeconds = nowSeconds;
        preemptionFeasible = feasible;
    }

    /** No work of the job's own team is preempted for it before this time. */
    public double noOwnTeamPreemptionBeforeSeconds() {
        return noOwnTeamPreemptionBeforeSeconds;
    }

    /** No work of the job's own team is preempted for it before {@code untilSeconds}. */
    public void postponeOwnTeamPreemption(double untilSeconds) {
        noOwnTeamPreemptionBeforeSeconds = untilSeconds;
    }
}
