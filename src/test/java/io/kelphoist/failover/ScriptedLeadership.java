package io.kelphoist.failover;

import java.util.Optional;

/** Changes the leader when the test requests it. The leader of the newest term leads. */
final class ScriptedLeadership extends Leadership {
    private boolean leaderRefused;

    ScriptedLeadership(SimulatedLeader.Dependencies dependencies) {
        super(dependencies);
    }

    @Override
    Optional<SimulatedLeader> actingLeader() {
        return Optional.of(newestLeader());
    }

    @Override
    boolean isLeading(SimulatedLeader leader) {
        return leader.term() == termCount();
    }

    @Override
    boolean isRefusedByStore(SimulatedLeader leader) {
        return leaderRefused && isLeading(leader);
    }

    /** The admission of the first controller runs in the leader's process. */
    @Override
    boolean isAdmissionRefusedByStore(int controller) {
        return leaderRefused && controller == 0;
    }

    @Override
    void failOver(Handover handover) {
        setHandover(handover);
        SimulatedStateStore stateStore = dependencies().stateStore();
        if (stateStore.store().faults().isUnavailable()) {
            // No controller can acquire the leader key during an outage of the state store.
            return;
        }
        leaderRefused = false;
        long term = termCount() + 1;
        recordNewTerm(stateStore.putTerm(term));
        SimulatedLeader leader = new SimulatedLeader(dependencies(), this, term, null);
        leader.loadRecords();
        addLeader(leader);
        onRecordsLoaded(leader);
    }

    @Override
    void advance(double seconds) {}

    @Override
    void freezeLeader(double seconds) {
        newestLeader().freezeUntil(dependencies().context().nowSeconds() + seconds);
    }

    @Override
    void setLinkBlocked(int from, int to, boolean blocked) {}

    @Override
    void setStateStoreUnavailable(boolean unavailable) {}

    @Override
    void setLostResponses(int perTen) {}

    @Override
    void setLeaderRefusedByStore(boolean refused) {
        leaderRefused = refused;
    }

    @Override
    void endFaults() {}
}
