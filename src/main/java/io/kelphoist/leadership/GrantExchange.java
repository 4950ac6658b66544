package io.kelphoist.leadership;

import io.kelphoist.delegation.DelegationOffer;
import io.kelphoist.delegation.PeerStatus;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.peer.CancellationReport;
import io.kelphoist.peer.GrantRequest;
import io.kelphoist.peer.GrantResponse;
import io.kelphoist.peer.HandoverMessage;
import io.kelphoist.peer.LeaderState;
import io.kelphoist.peer.ReplicationCodec.ReplicaStatus;
import io.kelphoist.replication.MachineStatePublisher.MachineStateUpdate;
import io.kelphoist.scheduler.SchedulerState;
import io.kelphoist.statestore.StateStoreClient;
import java.util.Optional;

/**
 * Builds and processes the contents of the messages with which a leader requests grants and hands
 * over, on the leader and on the followers. A grant is a controller's promise to a leader not to
 * lead itself for a while, see {@link io.kelphoist.election.Election}. The election sends these
 * messages in any case, so the leader also uses them to replicate its state to its followers. Runs
 * on the event loop.
 */
public final class GrantExchange implements LeaderElector.GrantMessages {
    /**
     * The replica of the records is not considered current if for this long none of its read and
     * watch requests has succeeded; one successful request for any kind of record is enough. This
     * is longer than the state store may hold any of these watch requests while nothing changes: 1
     * second for jobs, 4 seconds for the other kinds.
     */
    private static final double MAX_REPLICA_LAG_SECONDS = 5;

    private final LeaderElector elector;
    private final LeaderTermLifecycle terms;
    private final ReplicationHandlers replication;
    private final StateStoreClient stateClient;
    private final EventLoop eventLoop;

    /** Connects the elector and the terms of a controller with its replication handlers. */
    public GrantExchange(
            LeaderElector elector,
            LeaderTermLifecycle terms,
            ReplicationHandlers replication,
            StateStoreClient stateClient,
            EventLoop eventLoop) {
        this.elector = elector;
        this.terms = terms;
        this.replication = replication;
        this.stateClient = stateClient;
        this.eventLoop = eventLoop;
    }

    // ---- as the leader ----

    @Override
    public LeaderState stateFor(String peer) {
        return terms.loaded()
                .map(term -> stateFor(peer, term.schedulerState()))
                .orElse(LeaderState.NONE);
    }

    private LeaderState stateFor(String peer, SchedulerState schedulerState) {
        return new LeaderState(
                replication.taskCounts().dueCounts(schedulerState, eventLoop),
                replication.machineStates().dueUpdate(peer, schedulerState),
                replication.cancellations().acknowledgementFor(peer),
                delegationOfferTo(peer, schedulerState));
    }

    private Optional<DelegationOffer> delegationOfferTo(
            String peer, SchedulerState schedulerState) {
        // The next leader assumes that every delegation of this term was offered before its own
        // term began. So none may be offered while neither the leader lease of this controller is
        // valid nor the grants of all other controllers are.
        return elector.election().isLeader(eventLoop.nowSeconds())
                ? replication
                        .leaseDelegation()
                        .offerTo(
                                peer,
                                schedulerState,
                                replication.cancellations().watermarkSeconds())
                : Optional.empty();
    }

    @Override
    public void onGrantResponse(String peer, GrantResponse response, double sentAtSeconds) {
        replication.machineStates().onGrantResponse(peer, response);
        replication.cancellations().onGrantResponse(peer, response, sentAtSeconds);
        replication
                .leaseDelegation()
                .onGrantResponse(peer, response, sentAtSeconds, eventLoop.nowSeconds());
    }

    @Override
    public Optional<MachineStateUpdate> handoverUpdate(String peer) {
        return replication.machineStates().handoverUpdate(peer);
    }

    @Override
    public Optional<String> preferredSuccessor() {
        return replication.machineStates().mostCurrentFollower();
    }

    // ---- as a follower ----

    @Override
    public boolean isReplicaCurrent() {
        return replication.records().lagSeconds() < MAX_REPLICA_LAG_SECONDS
                && replication.machineStates().isReplicaCurrent();
    }

    /** Responds to a leader's grant request, and applies the state that it contains. */
    public GrantResponse onGrantRequest(GrantRequest request) {
        elector.recordLeaderContact(request);
        boolean granted =
                request.termIsInteger()
                        && elector.election()
                                .onGrantRequested(request.term(), eventLoop.nowSeconds());
        // While a term is led here, this controller counts the tasks itself, and another leader's
        // counts must not replace its own. The other handlers check the request's term themselves.
        if (terms.current().isEmpty()) {
            replication.taskCounts().onGrantRequest(request);
        }
        boolean reachesStateStore = stateClient.failingForSeconds() == 0;
        Optional<ReplicaStatus> replicaStatus = replication.machineStates().onGrantRequest(request);
        PeerStatus delegationStatus =
                replication.leaseDelegation().onGrantRequest(request, eventLoop.nowSeconds());
        CancellationReport cancellations = replication.cancellations().onGrantRequest(request);
        return new GrantResponse(
                granted,
                reachesStateStore,
                replicaStatus,
                Optional.of(delegationStatus),
                cancellations);
    }

    /**
     * Another leader handed over: applies its last changes of machine state, and reports the end of
     * its term to the election.
     */
    public void onPeerTermEnded(HandoverMessage handover) {
        replication.machineStates().onPeerTermEnded(handover);
        elector.onPeerTermEnded(handover);
    }
}
