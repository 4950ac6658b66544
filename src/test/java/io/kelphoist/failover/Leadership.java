package io.kelphoist.failover;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The leaders of a run, one after the other, and how the next one comes to lead. */
abstract class Leadership {
    /** What a new leader receives of its predecessor's replicated state. */
    enum Handover {
        NOTHING,
        REPLICA,
        CORRUPTED_REPLICA
    }

    private final SimulatedLeader.Dependencies dependencies;
    private final List<SimulatedLeader> leaders = new ArrayList<>();
    private Consumer<SimulatedLeader> onRecordsLoaded = leader -> {};
    private Handover handover = Handover.NOTHING;
    private long newestTerm;
    private long newestTermRevision;

    Leadership(SimulatedLeader.Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    /** Sets what happens when a leader has loaded its records. */
    void setOnRecordsLoaded(Consumer<SimulatedLeader> callback) {
        onRecordsLoaded = callback;
    }

    void onRecordsLoaded(SimulatedLeader leader) {
        onRecordsLoaded.accept(leader);
    }

    List<SimulatedLeader> leaders() {
        return Collections.unmodifiableList(leaders);
    }

    SimulatedLeader newestLeader() {
        return leaders.get(leaders.size() - 1);
    }

    /** Terms that began in this run. */
    long termCount() {
        return newestTerm;
    }

    /** Revision at which the newest term was stored. */
    long newestTermRevision() {
        return newestTermRevision;
    }

    Handover handover() {
        return handover;
    }

    final void setHandover(Handover handover) {
        this.handover = handover;
    }

    final SimulatedLeader.Dependencies dependencies() {
        return dependencies;
    }

    final void beginTerm(long revision) {
        newestTerm++;
        newestTermRevision = revision;
    }

    final void addLeader(SimulatedLeader leader) {
        leaders.add(leader);
    }

    /** The leader that may act now, if any. */
    abstract Optional<SimulatedLeader> actingLeader();

    abstract boolean isLeading(SimulatedLeader leader);

    /** Whether the state store refuses this leader alone. */
    abstract boolean isRefusedByStore(SimulatedLeader leader);

    /** Whether the state store refuses this front end alone. */
    abstract boolean isFrontEndRefusedByStore(int frontEnd);

    /** The leader changes; the next one receives {@code handover}. */
    abstract void failOver(Handover handover);

    abstract void advance(double seconds);

    /** The leader's process stands still for a while. */
    abstract void freezeLeader(double seconds);

    /** Messages from one controller to another are held back. */
    abstract void setLinkBlocked(int from, int to, boolean blocked);

    abstract void setStateStoreDown(boolean down);

    /** Of ten requests to the state store, how many are carried out without a response. */
    abstract void setLostResponses(int ofTen);

    abstract void setLeaderRefusedByStore(boolean refused);

    /** All faults end. */
    abstract void endFaults();
}
