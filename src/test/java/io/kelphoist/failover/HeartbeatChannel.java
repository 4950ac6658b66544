package io.kelphoist.failover;

import io.kelphoist.failover.SimulationCounters.Counter;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.spi.PendingResponse;
import io.kelphoist.scheduler.spi.SentStarts;
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

    private static final double MAX_COPY_DELAY_SECONDS = 3 * SimulationContext.LEASE_SECONDS;

    /** A worker waits this long for a response. */
    private static final double RESPONSE_TIMEOUT_SECONDS = 4;

    /** A copy of a heartbeat and its arrival time. */
    private record DelayedCopy(Heartbeat heartbeat, double atSeconds) {}

    /** A heartbeat whose worker waits for the response. */
    private record Waiting(
            SimulatedWorker worker,
            SimulatedLeader leader,
            Heartbeat heartbeat,
            PendingResponse accepted,
            double sentAtSeconds) {}

    private final SimulationContext context;
    private final SimulatedFleet fleet;
    private final Leadership leadership;
    private final AcknowledgedCancellationLog cancellations;
    private final List<DelayedCopy> copies = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
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
                        .ifPresent(leader -> leader.onHeartbeatCopy(copy.heartbeat()));
            }
        }
    }

    /** Delivers the responses that are due, and sends the heartbeats that are due. */
    void sendDueHeartbeats() {
        respond();
        for (SimulatedWorker worker : fleet.workers()) {
            if (worker.isHeartbeatDue() && !isWaiting(worker)) {
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
        PendingResponse accepted = leader.onHeartbeat(heartbeat);
        if (accepted != null) {
            waiting.add(new Waiting(worker, leader, heartbeat, accepted, context.nowSeconds()));
        }
    }

    /**
     * Delivers the responses that are due. A leader that may not act any more refuses the heartbeat
     * when the response is due, and a worker gives up after a timeout.
     */
    private void respond() {
        for (Waiting heartbeat : List.copyOf(waiting)) {
            boolean isDue =
                    heartbeat.accepted().isDue(PendingResponse.Hold.LONG, context.nowSeconds());
            if (isDue && heartbeat.leader().isLeading() && heartbeat.leader().acceptsHeartbeats()) {
                respond(heartbeat);
            }
            if (isDue
                    || context.nowSeconds()
                            >= heartbeat.sentAtSeconds() + RESPONSE_TIMEOUT_SECONDS) {
                waiting.remove(heartbeat);
            }
        }
    }

    private void respond(Waiting heartbeat) {
        SimulatedWorker worker = heartbeat.worker();
        List<WorkerCommand> commands =
                heartbeat.accepted().takeCommands(new SentStarts(), context.nowSeconds());
        if (!worker.isPartitioned()
                && !worker.isInboundBlocked()
                && worker.agentEpoch() == heartbeat.heartbeat().agentEpoch()
                && (context.areRandomFaultsDisabled()
                        || context.random().nextInt(context.size().responsesPerLoss()) > 0)
                && worker.execute(heartbeat.leader().term(), commands)) {
            worker.renewLease(heartbeat.sentAtSeconds());
        }
    }

    /** Drops the responses to a worker that restarts, because its connections are closed. */
    void dropResponsesTo(SimulatedWorker worker) {
        waiting.removeIf(heartbeat -> heartbeat.worker() == worker);
    }

    private boolean isWaiting(SimulatedWorker worker) {
        return waiting.stream().anyMatch(heartbeat -> heartbeat.worker() == worker);
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
