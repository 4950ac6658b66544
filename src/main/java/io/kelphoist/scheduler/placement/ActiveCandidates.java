package io.kelphoist.scheduler.placement;

import io.kelphoist.scheduler.cluster.Machine;

/**
 * Holds the placement candidates of the allocator's current run and forwards changes of machines to
 * them, so that their ranking is updated. Outside a run, changes are ignored.
 */
public final class ActiveCandidates {
    private PlacementCandidates candidates;

    /** Sets the candidates of the allocator run that begins now. */
    public void begin(PlacementCandidates runCandidates) {
        candidates = runCandidates;
    }

    /** Clears the candidates at the end of the run. */
    public void end() {
        candidates = null;
    }

    /**
     * Called after a task was placed on a machine, or resources of it were reserved or released.
     */
    public void onMachineChanged(Machine machine) {
        if (candidates != null) {
            candidates.onMachineChanged(machine);
        }
    }
}
