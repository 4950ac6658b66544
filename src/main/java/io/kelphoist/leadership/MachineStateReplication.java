package io.kelphoist.leadership;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.failover.Failover;
import io.kelphoist.failover.PromotionCheck;
import io.kelphoist.peer.GrantRequest;
import io.kelphoist.peer.GrantResponse;
import io.kelphoist.peer.HandoverMessage;
import io.kelphoist.peer.ReplicationCodec.ReplicaStatus;
import io.kelphoist.replication.MachineStatePublisher;
import io.kelphoist.replication.MachineStatePublisher.MachineStateUpdate;
import io.kelphoist.replication.MachineStateReplica;
import io.kelphoist.scheduler.SchedulerState;
import java.util.List;
import java.util.Optional;

/**
 * Replicates machine state from the leader to its followers, with the grant requests that are sent
 * anyway, and seeds the scheduler of a new term from the replica. Owns the replica of this
 * controller, and the publishers of the current and the last term led here. Runs on the event loop.
 */
public final class MachineStateReplication {
    /** Followers get updates with every other grant request. */
    private static final double PUBLISH_INTERVAL_SECONDS = 0.7;

    /** Longer than an election takes: an older replica may lack machines. */
    private static final double MAX_REPLICA_AGE_SECONDS = 10;

    private final boolean enabled;
    private final EventLoop eventLoop;
    private final MachineStateReplica replica = new MachineStateReplica();

    /** Of the term that is led here. */
    private Optional<MachineStatePublisher> publisher = Optional.empty();

    /** Of the last term that ended here. */
    private Optional<MachineStatePublisher> lastTermPublisher = Optional.empty();

    /** Of the term that is led here. */
    private Optional<Failover> failover = Optional.empty();

    private double lastPublishedAtSeconds = Double.NEGATIVE_INFINITY;

    /**
     * @param enabled whether this controller publishes as leader, and uses what others published
     */
    public MachineStateReplication(boolean enabled, EventLoop eventLoop) {
        this.enabled = enabled;
        this.eventLoop = eventLoop;
    }

    // ---- as the leader ----

    void onTermStarted(Failover termFailover) {
        failover = Optional.of(termFailover);
        publisher = enabled ? Optional.of(new MachineStatePublisher()) : Optional.empty();
        lastPublishedAtSeconds = Double.NEGATIVE_INFINITY;
    }

    void onTermEnded(SchedulerState schedulerState) {
        if (publisher.isPresent() && schedulerState.isRecovered()) {
            publisher.get().publish(schedulerState.replicatedMachines());
        }
        lastTermPublisher = publisher;
        publisher = Optional.empty();
        failover = Optional.empty();
    }

    /**
     * Seeds the scheduler of a new term, whose records are loaded, with the replicated machines.
     */
    void seedScheduler(SchedulerState schedulerState) {
        if (!enabled) {
            return;
        }
        double nowSeconds = eventLoop.nowSeconds();
        replica.machines()
                .forEach(machine -> schedulerState.onReplicatedMachine(machine, nowSeconds));
        if (isCompleteAndRecent(nowSeconds)) {
            failover.ifPresent(started -> started.onReplicaApplied(nowSeconds));
        }
        replica.reset();
    }

    /**
     * Returns an update for a grant request to a peer, if one is due and the leader has begun to
     * decide.
     */
    Optional<MachineStateUpdate> dueUpdate(String peer, SchedulerState schedulerState) {
        if (publisher.isEmpty() || failover.get().state() != Failover.State.ACTIVE) {
            return Optional.empty();
        }
        double nowSeconds = eventLoop.nowSeconds();
        if (nowSeconds >= lastPublishedAtSeconds + PUBLISH_INTERVAL_SECONDS) {
            publisher.get().publish(schedulerState.replicatedMachines());
            lastPublishedAtSeconds = nowSeconds;
        }
        // Requests to the other peers follow at once, those of the next round later than this.
        return nowSeconds < lastPublishedAtSeconds + PUBLISH_INTERVAL_SECONDS / 2
                ? Optional.of(publisher.get().nextUpdate(peer, nowSeconds))
                : Optional.empty();
    }

    /** Applies the acknowledgement in a follower's response to a grant request, if there is one. */
    void onGrantResponse(String peer, GrantResponse response) {
        Optional<ReplicaStatus> status = response.replicaStatus();
        if (publisher.isPresent() && status.isPresent()) {
            publisher
                    .get()
                    .onAcknowledgement(
                            peer, status.get().appliedSequence(), status.get().divergedShards());
        }
    }

    /** The follower that has acknowledged most of the leader's state, if any has. */
    Optional<String> mostCurrentFollower() {
        return publisher.flatMap(MachineStatePublisher::mostCurrentFollower);
    }

    /** Returns the last changes of the ended term, for the message that hands it over. */
    Optional<MachineStateUpdate> handoverUpdate(String peer) {
        return lastTermPublisher.map(last -> last.nextUpdate(peer, eventLoop.nowSeconds()));
    }

    // ---- as a follower ----

    /**
     * Whether this controller is as well prepared to lead as any. Where machine state is not
     * replicated no controller is better prepared than another.
     */
    boolean isReplicaCurrent() {
        return !enabled || isCompleteAndRecent(eventLoop.nowSeconds());
    }

    private boolean isCompleteAndRecent(double nowSeconds) {
        return replica.isComplete() && replica.lagSeconds(nowSeconds) < MAX_REPLICA_AGE_SECONDS;
    }

    /** Applies the update in a grant request, if there is one, and returns its acknowledgement. */
    Optional<ReplicaStatus> onGrantRequest(GrantRequest request) {
        Optional<MachineStateUpdate> update = request.state().machineStateUpdate();
        if (!enabled || update.isEmpty()) {
            return Optional.empty();
        }
        replica.apply(request.term(), update.get(), eventLoop.nowSeconds());
        return Optional.of(
                new ReplicaStatus(
                        replica.appliedSequence(request.term()),
                        List.copyOf(replica.drainDivergedShards())));
    }

    /** Another leader handed over: applies its last changes. */
    void onPeerTermEnded(HandoverMessage handover) {
        if (enabled) {
            handover.machineStateUpdate()
                    .ifPresent(
                            update ->
                                    replica.apply(
                                            handover.endedTerm(), update, eventLoop.nowSeconds()));
        }
    }

    // ---- for the metrics ----

    /** The replica of the leader's machines. */
    public MachineStateReplica replica() {
        return replica;
    }

    /** Seconds from the start of the term led here until a check passed; NaN if it has not. */
    public double secondsUntilPassed(PromotionCheck check) {
        return failover.isPresent() ? failover.get().secondsUntilPassed(check) : Double.NaN;
    }

    /** Changes that the follower farthest behind has not acknowledged; 0 on a follower. */
    public long maxFollowerLag() {
        return publisher.isPresent() ? publisher.get().maxLag() : 0;
    }
}
