package io.kelphoist.scheduler.autoscaling;

import io.kelphoist.model.MachineType;
import io.kelphoist.model.Resources;

/**
 * The free resources of one machine in a scale-out plan: an existing, booting, requested or planned
 * one. Planned tasks are subtracted from them; the machine itself is not modified.
 */
final class MachineCapacity {
    private final MachineType type;
    private final int zone;
    private final boolean spot;
    private Resources free;
    private boolean empty;

    /**
     * Creates the capacity of a machine.
     *
     * @param empty whether the machine has no attempts and no planned tasks
     */
    MachineCapacity(MachineType type, int zone, boolean spot, Resources free, boolean empty) {
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.free = free;
        this.empty = empty;
    }

    /** The capacity of a machine that is not up yet; all of its resources are free. */
    static MachineCapacity ofNewMachine(MachineType type, int zone, boolean spot) {
        return new MachineCapacity(type, zone, spot, type.capacity(), /* empty= */ true);
    }

    MachineType type() {
        return type;
    }

    int zone() {
        return zone;
    }

    boolean spot() {
        return spot;
    }

    Resources free() {
        return free;
    }

    boolean isEmpty() {
        return empty;
    }

    /** Subtracts the resources of a planned task. */
    void allocate(Resources task) {
        free = free.minus(task);
        empty = false;
    }

    /** The free share of the machine, from 0 to 1, by its most used resource. */
    double freeShare() {
        return 1 - type.capacity().minus(free).dominantShare(type.capacity());
    }
}
