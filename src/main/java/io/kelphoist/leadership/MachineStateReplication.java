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
 * Replicates machine state from the leader to its followers, in the grant requests that the
 * election sends in any case, and seeds the scheduler of a new term from the replica. Owns this
 * controller's replica and the publishers of the current and of the last term led here. Runs on the
 * event loop.
 */
public final class MachineStateReplication {
    /**
     * Minimum time between two updates. At the default duration of a grant, 1.5 seconds, a grant is
     * requested every 0.375 seconds, and a follower receives an update with every other request.
     */
    private static final double PUBLISH_INTERVAL_SECONDS = 0.7;

    /**
     * Maximum age of a replica that is used as complete. It is longer than an election takes; an
     * older replica may lack machines.
     */
    private static final double MAX_REPLICA_AGE_SECONDS = 10;

    private final boolean enabled;
    private final EventLoop eventLoop;
    private final MachineStateReplica replica = new MachineStateReplica();

    /** The publisher of the term that is led here; empty while none is or if not enabled. */
    private Optional<MachineStatePublisher> publisher = Optional.empty();

    /**
     * The publisher of the last term that ended here; empty if none ended, if that term ended
     * before machines were published, or if not enabled.
     */
    private Optional<MachineStatePublisher> lastTermPublisher = Optional.empty();

    /** The failover of the term that is led here; empty while none is. */
    private Optional<Failover> failover = Optional.empty();

    private double lastPublishedAtSeconds = Double.NEGATIVE_INFINITY;

    /**
     * @param enabled whether this controller publishes its machines as the leader, and applies what
     *     other leaders published
     */
    public MachineStateReplication(boolean enabled, EventLoop eventLoop) {
        this.enabled = enabled;
        this.eventLoop = eventLoop;
    }

    // ---- as the leader ----

    void onTermStarted(Failover failoverOfTerm) {
        failover = Optional.of(failoverOfTerm);
        publisher = enabled ? Optional.of(new MachineStatePublisher()) : Optional.empty();
        lastPublishedAtSeconds = Double.NEGATIVE_INFINITY;
    }

    void onTermEnded(SchedulerState schedulerState) {
        // Before the failover is complete, the scheduler may lack machines.
        if (publisher.isPresent() && schedulerState.isRecovered()) {
            publisher.get().publish(schedulerState.replicatedMachines());
        }
        lastTermPublisher = publisher.filter(MachineStatePublisher::hasPublished);
        publisher = Optional.empty();
        failover = Optional.empty();
    }

    /**
     * Seeds the scheduler of a new term, whose records are loaded, with the replicated machines,
     * and then clears the replica. The failover takes these machines for a full list only if the
     * replica is complete and recent. Does nothing if machine state is not replicated.
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
     * Returns the update to send with a grant request to a peer; empty if none is due, the failover
     * of the term is not complete or machine state is not replicated.
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
        // All peers get an update in the same round of grant requests, which are sent at the same
        // time. At the default duration of a grant, the next round is more than half an interval
        // later and gets none.
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

    /**
     * The follower that has acknowledged the newest machine state of the term led here; empty if
     * none has acknowledged any.
     */
    Optional<String> mostCurrentFollower() {
        return publisher.flatMap(MachineStatePublisher::mostCurrentFollower);
    }

    /**
     * Returns the last changes in the ended term that a peer has not acknowledged, up to the
     * maximum size of an update, for the handover message to it; empty if machine state is not
     * replicated or the term ended before any was published.
     */
    Optional<MachineStateUpdate> handoverUpdate(String peer) {
        return lastTermPublisher.map(last -> last.nextUpdate(peer, eventLoop.nowSeconds()));
    }

    // ---- as a follower ----

    /**
     * Whether this controller is as well prepared to lead as any other: its replica is complete and
     * recent, or machine state is not replicated, so that no controller has an advantage.
     */
    boolean isReplicaCurrent() {
        return !enabled || isCompleteAndRecent(eventLoop.nowSeconds());
    }

    private boolean isCompleteAndRecent(double nowSeconds) {
        return replica.isComplete() && replica.lagSeconds(nowSeconds) < MAX_REPLICA_AGE_SECONDS;
    }

    /**
     * Applies the update in a grant request, and returns the acknowledgement for the response;
     * empty if the request has no update or machine state is not replicated.
     */
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

    /** Another leader handed over: applies the last changes of its term. */
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

    /**
     * Seconds from the start of the term led here until a check passed; NaN if it has not passed or
     * no term is led here.
     */
    public double secondsUntilPassed(PromotionCheck check) {
        return failover.isPresent() ? failover.get().secondsUntilPassed(check) : Double.NaN;
    }

    /**
     * How many sequence numbers the follower that is farthest behind has not acknowledged; 0 while
     * no term is led here, and if machine state is not replicated.
     */
    public long maxFollowerLag() {
        return publisher.isPresent() ? publisher.get().maxLag() : 0;
    }
}
