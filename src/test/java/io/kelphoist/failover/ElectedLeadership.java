package io.kelphoist.failover;

import io.kelphoist.election.ElectionSimulation;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Leaders that three controllers elect in an {@link ElectionSimulation}. The admission with the
 * index {@code i} runs in the process of controller {@code ElectionSimulation.NAMES.get(i)}.
 */
final class ElectedLeadership extends Leadership implements ElectionSimulation.Listener {
    /** The process restarts before its leader lease of 3 s has expired. */
    private static final double QUICK_RESTART_SECONDS = 0.1;

    /** The process restarts after its leader lease of 3 s has expired. */
    private static final double SLOW_RESTART_SECONDS = 4;

    private final ElectionSimulation elections;
    private final Map<Long, Long> revisionsByTerm = new HashMap<>();

    ElectedLeadership(SimulatedLeader.Dependencies dependencies, long seed) {
        super(dependencies);
        elections = new ElectionSimulation(seed, this);
    }

    @Override
    public void onTermStored(String controllerName, long term) {
        revisionsByTerm.put(term, dependencies().stateStore().putTerm(term));
    }

    @Override
    public void onElected(String controllerName, long term) {
        recordNewTerm(revisionsByTerm.get(term));
        addLeader(new SimulatedLeader(dependencies(), this, term, controllerName));
    }

    @Override
    public void onLeadershipEnded(String controllerName) {
        leaders().stream()
                .filter(leader -> controllerName.equals(leader.controllerName()))
                .forEach(SimulatedLeader::close);
    }

    @Override
    Optional<SimulatedLeader> actingLeader() {
        return leaders().stream().filter(this::isLeading).findFirst();
    }

    @Override
    boolean isLeading(SimulatedLeader leader) {
        return elections.isLeading(leader.controllerName(), leader.term());
    }

    @Override
    boolean isRefusedByStore(SimulatedLeader leader) {
        return elections.isRefusedByStore(leader.controllerName());
    }

    @Override
    boolean isAdmissionRefusedByStore(int controller) {
        return elections.isRefusedByStore(ElectionSimulation.NAMES.get(controller));
    }

    /**
     * Ends the term of the leader, if there is one. What the next leader receives depends only on
     * {@code handover}. Each handover is combined with another way in which the term ends, so that
     * all of these are simulated: for {@code REPLICA} the leader resigns, for {@code NOTHING} its
     * process crashes and restarts before its leader lease expires, and for {@code
     * CORRUPTED_REPLICA} it crashes and restarts after that.
     */
    @Override
    void failOver(Handover handover) {
        setHandover(handover);
        if (handover == Handover.REPLICA) {
            elections.resignLeader();
        } else {
            elections.crashLeader(
                    handover == Handover.NOTHING ? QUICK_RESTART_SECONDS : SLOW_RESTART_SECONDS);
        }
    }

    @Override
    void advance(double seconds) {
        elections.advance(seconds);
    }

    @Override
    void freezeLeader(double seconds) {
        elections.freezeLeader(seconds);
    }

    @Override
    void setLinkBlocked(int from, int to, boolean blocked) {
        // No controller sends messages to itself.
        if (from != to) {
            elections.setLinkBlocked(from, to, blocked);
        }
    }

    @Override
    void setStateStoreUnavailable(boolean unavailable) {
        elections.setStoreUnavailable(unavailable);
    }

    @Override
    void setLostResponses(int perTen) {
        elections.setLostResponses(perTen);
    }

    /** False has no effect: the refusal of a controller lasts until {@link #endFaults}. */
    @Override
    void setLeaderRefusedByStore(boolean refused) {
        if (refused) {
            elections.setLeaderRefusedByStore();
        }
    }

    @Override
    void endFaults() {
        elections.endFaults();
    }

    @Override
    public String toString() {
        return elections.toString();
    }
}
