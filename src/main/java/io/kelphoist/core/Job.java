package io.kelphoist.core;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A job that the leader works on. */
public final class Job {
    /** Named states; {@link #to} is the one place where they change. */
    public enum State {
        ACTIVE,
        /** All its tasks are done; the state service has not confirmed that yet. */
        FINISHING, DONE, CANCELLED
    }

    public final JobSpec spec;
    final TeamState team;
    final int image;
    final double acceptedAt;
    long version;
    private State state = State.ACTIVE;
    final BitSet done = new BitSet();
    final BitSet pending = new BitSet();
    /** Done tasks that are on record. */
    final BitSet storedDone = new BitSet();
    /** Its end is being stored. */
    boolean storing;
    /** Where each task is or may be; only attempts that occupy room. */
    final Int2ObjectOpenHashMap<Placement> at = new Int2ObjectOpenHashMap<>();
    /** Further attempts at tasks that {@link #at} names another one of. */
    int elsewhere;
    final int[] perZone;
    final boolean[] zoneAllowed;
    /** Attempt of a gang that is being started or runs; 0: none. */
    long gangAttempt;
    boolean gangRan;
    double retryAt;
    int errors;
    int errorMachines;
    /** When its oldest unplaced work began to wait. */
    double waitingSince;
    /** When the pieces held for it are released; 0: none are. */
    double holdUntil;
    /** Until then it gets no pieces held. */
    double holdFilterUntil;
    /** Machines that are held for it, see {@link Machine#heldFor}. */
    final List<Machine> heldOn = new ArrayList<>();
    /** Until then no machine is held for it. */
    double machineFilterUntil;
    int running;

    Job(JobSpec spec, TeamState team, int image, Index zones, double acceptedAt, long version, double now) {
        this.spec = spec;
        this.team = team;
        this.image = image;
        this.perZone = new int[zones.size()];
        this.zoneAllowed = new boolean[zones.size()];
        for (int z = 0; z < zoneAllowed.length; z++) {
            zoneAllowed[z] = spec.zone() == null || spec.zone().equals(zones.name(z));
        }
        this.acceptedAt = acceptedAt;
        this.version = version;
        this.waitingSince = now;
        pending.set(0, spec.tasks());
    }

    public State state() {
        return state;
    }

    /** The one function for every change of state. DONE and CANCELLED are final. */
    boolean to(State next) {
        if (state == next || state == State.DONE || state == State.CANCELLED) {
            return false;
        }
        state = next;
        if (next != State.ACTIVE) {
            pending.clear();
        }
        return true;
    }

    boolean active() {
        return state == State.ACTIVE;
    }

    public int doneCount() {
        return done.cardinality();
    }

    public int runningCount() {
        return running;
    }

    /** A job with the same mistake on every machine: not the machines' fault. */
    boolean suspect() {
        return errorMachines >= 3;
    }

    /** Time by which it should be complete, on the core's clock. */
    double deadline() {
        return spec.deadlineS() == null ? Double.POSITIVE_INFINITY : acceptedAt + spec.deadlineS();
    }

    /** The zone its tasks are in, if all must share one; -1: still free to choose. */
    int commonZone() {
        if (spec.oneZone()) {
            for (int z = 0; z < perZone.length; z++) {
                if (perZone[z] > 0) {
                    return z;
                }
            }
        }
        return -1;
    }
}
