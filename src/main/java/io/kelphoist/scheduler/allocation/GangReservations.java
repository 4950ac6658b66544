package io.kelphoist.scheduler.allocation;

import io.kelphoist.model.Resources;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TeamUsage;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import io.kelphoist.scheduler.spi.TaskEvent;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Room that is reserved for gangs while they wait for the rest. Owns the reservations; they count
 * against the team, up to its guarantee. They end after a bounded time, and for as long again the
 * gang gets none.
 */
final class GangReservations {
    /** Room for one task of a gang. */
    private record Reservation(Job job, Machine machine) {}

    private final SchedulingPolicy policy;
    private final SchedulerOutput output;
    private final Consumer<Machine> onMachineChanged;
    private final List<Reservation> reservations = new ArrayList<>();

    /**
     * Creates it without reservations.
     *
     * @param onMachineChanged called after room on a machine was reserved or released
     */
    GangReservations(
            SchedulingPolicy policy, SchedulerOutput output, Consumer<Machine> onMachineChanged) {
        this.policy = policy;
        this.output = output;
        this.onMachineChanged = onMachineChanged;
    }

    /**
     * Reserves room for a gang.
     *
     * @param taskMachines a machine for each task, one by one
     */
    void reserve(Job job, List<Machine> taskMachines, double nowSeconds) {
        if (nowSeconds < job.capacityAcquisition().noReservationBeforeSeconds()
                || taskMachines.isEmpty()) {
            return;
        }
        if (job.capacityAcquisition().reservedUntilSeconds() == 0) {
            job.capacityAcquisition().beginReservation(nowSeconds + policy.gangHoldSeconds());
        } else if (nowSeconds >= job.capacityAcquisition().reservedUntilSeconds()) {
            job.capacityAcquisition().expireReservation(nowSeconds + policy.gangHoldSeconds());
            return;
        }
        Resources perTask = job.spec().resourcesPerTask();
        for (Machine machine : taskMachines) {
            if (job.team().isWithinGuarantee(job.team().reservedForGangs().plus(perTask))) {
                reservations.add(new Reservation(job, machine));
                machine.resources().reserve(perTask);
                onMachineChanged.accept(machine);
                job.team().reserveForGang(perTask);
            }
        }
        output.publishEvent(job, new TaskEvent.CapacityReserved(reservedMachineCount(job)));
    }

    private int reservedMachineCount(Job job) {
        Set<Machine> machines = new HashSet<>();
        for (Reservation reservation : reservations) {
            if (reservation.job == job) {
                machines.add(reservation.machine);
            }
        }
        return machines.size();
    }

    /** Releases what is reserved for a gang. */
    void release(Job job) {
        releaseIf(reservation -> reservation.job == job);
    }

    /** Releases what is reserved for too long, or for jobs that need it no more. */
    void releaseExpired(double nowSeconds) {
        releaseIf(
                reservation ->
                        !reservation.job.isActive()
                                || reservation.job.tasks().hasAttempts()
                                || nowSeconds
                                        >= reservation
                                                .job
                                                .capacityAcquisition()
                                                .reservedUntilSeconds()
                                || !reservation.machine.acceptsWork(nowSeconds));
    }

    private void releaseIf(Predicate<Reservation> condition) {
        for (Iterator<Reservation> remaining = reservations.iterator(); remaining.hasNext(); ) {
            Reservation reservation = remaining.next();
            if (condition.test(reservation)) {
                remaining.remove();
                free(reservation);
            }
        }
    }

    private void free(Reservation reservation) {
        Resources perTask = reservation.job.spec().resourcesPerTask();
        TeamUsage team = reservation.job.team();
        reservation.machine.resources().releaseReservation(perTask);
        onMachineChanged.accept(reservation.machine);
        team.releaseGangReservation(perTask);
    }
}
