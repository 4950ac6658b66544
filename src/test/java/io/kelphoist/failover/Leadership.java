package io.kelphoist.failover;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The successive leaders of a run. Subclasses determine how the leader changes. */
abstract class Leadership {
    /** The part of its predecessor's replicated state that a new leader receives. */
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

    /** Sets the callback that runs when a leader has loaded its records. */
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

    /** Returns the number of terms that have begun in this run. */
    long termCount() {
        return newestTerm;
    }

    /** Returns the revision at which the newest term was stored. */
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

    /** Counts a new term, and records the revision at which the state store stored it. */
    final void recordNewTerm(long revision) {
        newestTerm++;
        newestTermRevision = revision;
    }

    final void addLeader(SimulatedLeader leader) {
        leaders.add(leader);
    }

    /** Returns the leader that is authorized to act now; empty if there is none. */
    abstract Optional<SimulatedLeader> actingLeader();

    /** Whether this leader is authorized to act now. */
    abstract boolean isLeading(SimulatedLeader leader);

    /** Whether the state store refuses this leader's requests. */
    abstract boolean isRefusedByStore(SimulatedLeader leader);

    /** Whether the state store refuses the requests of this controller's admission. */
    abstract boolean isAdmissionRefusedByStore(int controller);

    /** Changes the leader, if that is possible now. The next one receives {@code handover}. */
    abstract void failOver(Handover handover);

    abstract void advance(double seconds);

    /** Pauses the leader's process. */
    abstract void freezeLeader(double seconds);

    /** Sets whether messages from one controller to another are held. */
    abstract void setLinkBlocked(int from, int to, boolean blocked);

    abstract void setStateStoreUnavailable(boolean unavailable);

    /** Sets how many of ten acquisitions and lease renewals are carried out without a response. */
    abstract void setLostResponses(int perTen);

    /**
     * Sets whether the state store refuses the leader's requests. Subclasses differ in when a
     * refusal ends.
     */
    abstract void setLeaderRefusedByStore(boolean refused);

    /** Ends all faults. */
    abstract void endFaults();
}
