package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.Resources;

/** How much of one machine's capacity is used by attempts, reserved for gangs, and free. */
public final class MachineResources {
    /** Up to this many CPUs and GPUs in use are taken as zero, because of rounding errors. */
    private static final double UNALLOCATED_TOLERANCE = 1e-6;

    private final Resources capacity;
    private Resources used = Resources.NONE;
    private Resources reserved = Resources.NONE;

    /** Capacity minus used and reserved; stored, as it is read far more often than it changes. */
    private Resources free;

    /** Increases with each change. */
    private int version;

    /** Creates the resources of a machine with nothing used or reserved. */
    MachineResources(Resources capacity) {
        this.capacity = capacity;
        this.free = capacity;
    }

    /** Resources that attempts occupy. */
    Resources used() {
        return used;
    }

    /** Resources that are reserved for tasks of gangs. */
    public Resources reserved() {
        return reserved;
    }

    /** Free resources: neither used nor reserved. */
    Resources free() {
        return free;
    }

    /** Increases with each change. */
    int version() {
        return version;
    }

    /** Whether no attempt occupies CPUs or GPUs; memory is not considered. */
    public boolean isUnallocated() {
        return used.gpus() + used.cpus() <= UNALLOCATED_TOLERANCE;
    }

    /** Adds the resources of an attempt to what is used. */
    public void allocate(Resources resources) {
        update(used.plus(resources), reserved);
    }

    /** Subtracts the resources of an attempt from what is used. */
    public void deallocate(Resources resources) {
        update(used.minus(resources), reserved);
    }

    /** Reserves resources for one task of a gang. */
    public void reserve(Resources perTask) {
        update(used, reserved.plus(perTask));
    }

    /** Releases resources that {@link #reserve} reserved. */
    public void releaseReservation(Resources perTask) {
        update(used, reserved.minus(perTask));
    }

    private void update(Resources newUsed, Resources newReserved) {
        version++;
        used = newUsed;
        reserved = newReserved;
        free = capacity.minus(used).minus(reserved);
    }
}
