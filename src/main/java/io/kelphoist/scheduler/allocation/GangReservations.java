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
 * Reservations of resources for gangs that do not fit as a whole yet. Owns the reservations.
 *
 * <p>Reservations are charged to the gang's team and are made only while the team's usage,
 * including its reservations, stays within its guarantee. Each time that the gang is offered
 * resources, they are released and, if it still does not fit, made again. They expire {@link
 * SchedulingPolicy#gangReservationSeconds} after the first ones were made; when the gang is next to
 * get reservations after that, it gets none for the same duration instead.
 */
final class GangReservations {
    /** Resources on one machine, reserved for one task of a gang. */
    private record Reservation(Job job, Machine machine) {}

    private final SchedulingPolicy policy;
    private final SchedulerOutput output;
    private final Consumer<Machine> onMachineChanged;
    private final List<Reservation> reservations = new ArrayList<>();

    /**
     * Creates an empty set of reservations.
     *
     * @param onMachineChanged called after resources of a machine were reserved or released
     */
    GangReservations(
            SchedulingPolicy policy, SchedulerOutput output, Consumer<Machine> onMachineChanged) {
        this.policy = policy;
        this.output = output;
        this.onMachineChanged = onMachineChanged;
    }

    /**
     * Reserves resources for the tasks of a gang that could be placed, as far as the team's
     * guarantee allows. If the gang's reservation has expired, reserves nothing and starts a pause
     * instead, during which calls for the gang have no effect.
     *
     * @param taskMachines the machine of each task that could be placed; a machine occurs once for
     *     each task placed on it. If empty, nothing is reserved and no pause is started.
     */
    void reserve(Job job, List<Machine> taskMachines, double nowSeconds) {
        if (nowSeconds < job.capacityAcquisition().noReservationBeforeSeconds()
                || taskMachines.isEmpty()) {
            return;
        }
        if (job.capacityAcquisition().reservedUntilSeconds() == 0) {
            job.capacityAcquisition()
                    .beginReservation(nowSeconds + policy.gangReservationSeconds());
        } else if (nowSeconds >= job.capacityAcquisition().reservedUntilSeconds()) {
            job.capacityAcquisition()
                    .expireReservation(nowSeconds + policy.gangReservationSeconds());
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

    /** Releases all reservations of a gang. */
    void release(Job job) {
        releaseIf(reservation -> reservation.job == job);
    }

    /**
     * Releases the reservations that have expired, whose job is not active any more or has an
     * attempt, or whose machine accepts no work.
     */
    void releaseInvalid(double nowSeconds) {
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
                releaseResources(reservation);
            }
        }
    }

    private void releaseResources(Reservation reservation) {
        Resources perTask = reservation.job.spec().resourcesPerTask();
        TeamUsage team = reservation.job.team();
        reservation.machine.resources().releaseReservation(perTask);
        onMachineChanged.accept(reservation.machine);
        team.releaseGangReservation(perTask);
    }
}
