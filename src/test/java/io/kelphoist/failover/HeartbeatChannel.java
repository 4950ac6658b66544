package io.kelphoist.failover;

import io.kelphoist.failover.SimulationCounters.Counter;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Delivers heartbeats from workers to the leader, and the responses. Copies of some heartbeats
 * arrive up to three lease durations late; copies of others are the first messages that the next
 * leader receives.
 */
final class HeartbeatChannel {
    /** One of this many heartbeats is also delivered as a delayed copy, on average. */
    private static final int MEAN_HEARTBEATS_PER_COPY = 8;

    /** One of this many heartbeats is kept for the next leader, on average. */
    private static final int MEAN_HEARTBEATS_PER_KEPT_COPY = 3;

    /** One of this many responses to heartbeats is lost, on average. */
    private static final int MEAN_RESPONSES_PER_LOSS = 3;

    private static final double MAX_COPY_DELAY_SECONDS = 3 * SimulationContext.LEASE_SECONDS;

    /** A copy of a heartbeat and its arrival time. */
    private record DelayedCopy(Heartbeat heartbeat, double atSeconds) {}

    private final SimulationContext context;
    private final SimulatedFleet fleet;
    private final Leadership leadership;
    private final AcknowledgedCancellationLog cancellations;
    private final List<DelayedCopy> copies = new ArrayList<>();
    private final List<Heartbeat> keptForNextLeader = new ArrayList<>();
    private boolean keepForNextLeader;

    HeartbeatChannel(
            SimulationContext context,
            SimulatedFleet fleet,
            Leadership leadership,
            AcknowledgedCancellationLog cancellations) {
        this.context = context;
        this.fleet = fleet;
        this.leadership = leadership;
        this.cancellations = cancellations;
    }

    /** Sets whether copies of heartbeats are kept for the next leader. */
    void setKeepForNextLeader(boolean keep) {
        this.keepForNextLeader = keep;
    }

    /** Delivers the kept copies to the new leader. */
    void deliverKept(SimulatedLeader leader) {
        context.counters().add(Counter.HEARTBEATS_KEPT_FOR_NEXT_LEADER, keptForNextLeader.size());
        keptForNextLeader.forEach(leader::onHeartbeatCopy);
        keptForNextLeader.forEach(kept -> fleet.onHeartbeatReceived(kept.machineName()));
        keptForNextLeader.clear();
    }

    void deliverCopies() {
        for (DelayedCopy copy : new ArrayList<>(copies)) {
            if (context.nowSeconds() >= copy.atSeconds()) {
                copies.remove(copy);
                context.counters().increment(Counter.HEARTBEAT_COPIES_DELIVERED);
                leadership
                        .actingLeader()
                        .filter(leader -> leader.areRecordsLoaded() && leader.acceptsHeartbeats())
                        .ifPresent(leader -> deliverCopy(copy.heartbeat(), leader));
            }
        }
    }

    private void deliverCopy(Heartbeat heartbeat, SimulatedLeader leader) {
        fleet.onHeartbeatReceived(heartbeat.machineName());
        leader.onHeartbeatCopy(heartbeat);
    }

    void sendDueHeartbeats() {
        for (SimulatedWorker worker : fleet.workers()) {
            if (worker.isHeartbeatDue()) {
                double jitter = 0.75 + context.random().nextDouble() / 2;
                worker.scheduleHeartbeat(
                        context.nowSeconds()
                                + SimulationContext.HEARTBEAT_INTERVAL_SECONDS * jitter);
                sendHeartbeat(worker);
            }
        }
    }

    private void sendHeartbeat(SimulatedWorker worker) {
        Optional<SimulatedLeader> actingLeader =
                leadership.actingLeader().filter(SimulatedLeader::acceptsHeartbeats);
        if (actingLeader.isEmpty()) {
            return;
        }
        SimulatedLeader leader = actingLeader.get();
        Heartbeat heartbeat = worker.createHeartbeat();
        if (!leader.areRecordsLoaded()) {
            renewLeaseOnly(worker, heartbeat, leader);
            return;
        }
        duplicate(heartbeat);
        if (worker.isOutboundBlocked()) {
            return;
        }
        worker.onHeartbeatReceived();
        List<WorkerCommand> commands = leader.onHeartbeat(heartbeat);
        if (commands != null
                && !worker.isInboundBlocked()
                && (context.areRandomFaultsDisabled()
                        || context.random().nextInt(MEAN_RESPONSES_PER_LOSS) > 0)
                && worker.execute(leader.term(), commands)) {
            worker.renewLease(context.nowSeconds());
        }
    }

    /**
     * A leader that has not loaded its records renews worker leases but does not process
     * heartbeats. Leases of workers with a task of a cancelled job are not renewed.
     */
    private void renewLeaseOnly(
            SimulatedWorker worker, Heartbeat heartbeat, SimulatedLeader leader) {
        boolean runsCancelledJob =
                heartbeat.tasks().stream().anyMatch(task -> cancellations.contains(task.jobId()));
        if (!worker.isOutboundBlocked()
                && !worker.isInboundBlocked()
                && !runsCancelledJob
                && worker.execute(leader.term(), List.of())) {
            worker.renewLease(context.nowSeconds());
        }
    }

    private void duplicate(Heartbeat heartbeat) {
        if (context.random().nextInt(MEAN_HEARTBEATS_PER_COPY) == 0) {
            double delay = context.random().nextDouble() * MAX_COPY_DELAY_SECONDS;
            copies.add(new DelayedCopy(heartbeat, context.nowSeconds() + delay));
        }
        if (keepForNextLeader && context.random().nextInt(MEAN_HEARTBEATS_PER_KEPT_COPY) == 0) {
            keptForNextLeader.add(heartbeat);
        }
    }
}
