package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.reachability.MachineReachability;
import io.kelphoist.scheduler.spi.PendingResponse;

/**
 * Handles heartbeats from workers. Each heartbeat is applied at most once, in the order of agent
 * epochs and sequence numbers, whichever controller received it: copies of a heartbeat may arrive
 * late. The response to an accepted heartbeat carries commands and renews the worker's lease.
 */
public final class HeartbeatHandler {
    private final long term;
    private final double leaseSeconds;
    private final HeartbeatSenderResolver senderResolver;
    private final HeartbeatApplier applier;
    private final MachineProber prober;
    private final JobRegistry jobs;

    /** Creates the handler of the heartbeats that the leader of a term receives. */
    public HeartbeatHandler(
            long term,
            double leaseSeconds,
            HeartbeatSenderResolver senderResolver,
            HeartbeatApplier applier,
            MachineProber prober,
            JobRegistry jobs) {
        this.term = term;
        this.leaseSeconds = leaseSeconds;
        this.senderResolver = senderResolver;
        this.applier = applier;
        this.prober = prober;
        this.jobs = jobs;
    }

    /**
     * Handles a heartbeat. The response has no commands if the heartbeat is a copy or may be one,
     * or if the machine is not up, draining or terminating.
     *
     * <p>Starts are sent only in responses to heartbeats: a worker handles these responses one
     * after the other, so that no start command that was decided earlier can be executed after a
     * forget command.
     *
     * @param receivingController the controller that the worker sent the heartbeat to; empty for
     *     this controller
     * @return null if the heartbeat must be refused: its sender cannot be resolved, its worker has
     *     restarted, or its agent epoch is treated as ended, and acceptance would renew the lease
     *     of that epoch
     */
    public PendingResponse onHeartbeat(
            Heartbeat heartbeat, String receivingController, double nowSeconds) {
        Machine machine = senderResolver.resolve(heartbeat, nowSeconds);
        if (machine == null || machine.reachability().hasRestarted()) {
            return null;
        }
        if (machine.contact().isEpochEnded(heartbeat.agentEpoch())) {
            // A delayed heartbeat of the ended epoch, or the worker restarted quickly and numbers
            // its agent epochs from 1 again. A probe shows which.
            prober.probeIfDue(machine, nowSeconds);
            return null;
        }
        if (isCopyOrFromRestartedWorker(machine, heartbeat)) {
            onCopyOrRestart(machine, heartbeat, nowSeconds);
            return EmptyResponse.INSTANCE;
        }
        if (isNewEpochImplausible(machine, heartbeat, nowSeconds)) {
            machine.reachability().deferImplausibleHeartbeat(heartbeat);
            machine.contact().onResponseSent(nowSeconds);
            prober.probeIfDue(machine, nowSeconds);
            return EmptyResponse.INSTANCE;
        }
        accept(machine, heartbeat, receivingController, nowSeconds);
        return new AcceptedHeartbeat(jobs, machine, heartbeat, nowSeconds);
    }

    private boolean isCopyOrFromRestartedWorker(Machine machine, Heartbeat heartbeat) {
        return machine.reachability().isStale(heartbeat) || isFromEarlierTerm(machine, heartbeat);
    }

    private boolean isFromEarlierTerm(Machine machine, Heartbeat heartbeat) {
        return machine.contact().isTermConfirmed() && heartbeat.fencingToken() < term;
    }

    /**
     * Handles a heartbeat that is either a late copy or from a restarted worker. No worker waits
     * for the response to a copy. A restarted worker runs only tasks whose start commands were
     * still in flight to it.
     */
    private void onCopyOrRestart(Machine machine, Heartbeat heartbeat, double nowSeconds) {
        MachineReachability reachability = machine.reachability();
        reachability.markPossibleRestart(nowSeconds);
        if (!reachability.isStale(heartbeat)) {
            // The heartbeat may have been sent just before a command informed the worker of this
            // term. In that case the worker waits for the response, which renews its lease.
            machine.contact().onResponseSent(nowSeconds);
        }
        // A heartbeat that was only overtaken by a few newer ones needs no probe.
        if (heartbeat.fencingToken() < term || !reachability.isReordered(heartbeat)) {
            prober.probeIfDue(machine, nowSeconds);
        }
    }

    /**
     * Whether the heartbeat starts a new agent epoch although the lease of the previous epoch
     * cannot have expired unless responses were lost. If no responses were lost, the heartbeat is a
     * late copy from before a restart of the worker that this leader has not detected.
     */
    private boolean isNewEpochImplausible(Machine machine, Heartbeat heartbeat, double nowSeconds) {
        return heartbeat.agentEpoch() > machine.agentEpoch()
                && machine.contact().isTermConfirmed()
                && machine.state().isReporting()
                && !machine.reachability().isSuspected()
                && machine.reachability()
                        .leaseCannotHaveExpired(
                                machine.contact().lastPossibleResponseAtSeconds(),
                                leaseSeconds,
                                nowSeconds);
    }

    private void accept(
            Machine machine, Heartbeat heartbeat, String receivingController, double nowSeconds) {
        long previousAgentEpoch = machine.contact().agentEpoch();
        long previousSequenceNumber = machine.contact().sequenceNumber();
        applier.apply(machine, heartbeat, MessageKind.HEARTBEAT, nowSeconds);
        boolean switchedController =
                machine.reachability()
                        .onHeartbeat(
                                heartbeat,
                                previousAgentEpoch,
                                previousSequenceNumber,
                                receivingController,
                                leaseSeconds,
                                nowSeconds);
        machine.contact().onResponseSent(nowSeconds);
        machine.contact().onHeartbeat(nowSeconds);
        if (machine.reachability().isSuspected()
                || switchedController
                || machine.state() == Machine.State.BOOTING) {
            prober.probeIfDue(machine, nowSeconds);
        }
    }
}
