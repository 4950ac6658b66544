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
 * Both sides of the messages with which a leader requests grants and hands over: with these
 * messages, which the election needs anyway, the leader replicates its state to its followers. Runs
 * on the event loop.
 */
public final class GrantExchange implements LeaderElector.GrantMessages {
    /**
     * Records whose last update is older are not current. A watch of a follower is held for up to 4
     * seconds.
     */
    private static final double MAX_REPLICA_LAG_SECONDS = 5;

    private final LeaderElector elector;
    private final LeaderTermLifecycle terms;
    private final ReplicationHandlers replication;
    private final StateStoreClient stateClient;
    private final EventLoop eventLoop;

    /** Connects an elector with what is replicated. */
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
        // The next leader assumes that delegations of this one were offered before its own term
        // began, so that none may be offered once this controller may no longer act.
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

    /** Responds to a leader's grant request, and takes over the state that it carries. */
    public GrantResponse onGrantRequest(GrantRequest request) {
        elector.onGrantRequest(request);
        boolean granted =
                request.termIsInteger()
                        && elector.election()
                                .onGrantRequested(request.term(), eventLoop.nowSeconds());
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

    /** Another leader hands over: its term is over. */
    public void onPeerTermEnded(HandoverMessage handover) {
        replication.machineStates().onPeerTermEnded(handover);
        elector.onPeerTermEnded(handover);
    }
}
