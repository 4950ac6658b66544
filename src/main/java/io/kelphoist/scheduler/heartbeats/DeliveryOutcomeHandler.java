package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.lifecycle.MachineLifecycle;
import io.kelphoist.scheduler.lifecycle.SchedulerContext;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;

/**
 * Handles the outcomes of direct requests to workers: commands, reachability probes and status
 * requests. A response contains a heartbeat, which renews no lease, unlike a heartbeat that the
 * worker sends by itself.
 */
public final class DeliveryOutcomeHandler {
    private final long term;
    private final MachineRegistry machines;
    private final HeartbeatSenderResolver senderResolver;
    private final HeartbeatApplier applier;
    private final MachineProber prober;
    private final MachineLifecycle machineLifecycle;

    /** Creates the handler of the outcomes of one term's requests. */
    public DeliveryOutcomeHandler(
            SchedulerContext context,
            HeartbeatSenderResolver senderResolver,
            HeartbeatApplier applier,
            MachineProber prober) {
        this.term = context.term();
        this.machines = context.machines();
        this.machineLifecycle = context.machineLifecycle();
        this.senderResolver = senderResolver;
        this.applier = applier;
        this.prober = prober;
    }

    /**
     * Handles the response to a direct request. Its sender may be another machine than the one that
     * the request was meant for, because addresses are reused. A response of an agent epoch that is
     * treated as ended is ignored.
     */
    public void onResponse(Heartbeat heartbeat, double nowSeconds) {
        Machine machine = senderResolver.resolve(heartbeat, nowSeconds);
        if (machine == null) {
            return;
        }
        if (machine.contact().isTermConfirmed() && heartbeat.fencingToken() < term) {
            // A delayed message, or the worker has restarted. A probe shows which.
            prober.probeIfDue(machine, nowSeconds);
        } else if (!machine.contact().isEpochEnded(heartbeat.agentEpoch())) {
            applier.apply(machine, heartbeat, MessageKind.DIRECT_RESPONSE, nowSeconds);
            // The response shows that the worker receives requests. Only a heartbeat shows that a
            // controller receives what the worker sends, and only a heartbeat renews the lease. So
            // the response is not treated as a heartbeat: otherwise the machine would get new work
            // that ends when the lease expires.
            machine.reachability().onAcknowledged(nowSeconds);
        }
    }

    /**
     * Handles the outcome of a reachability probe. No effect if the machine is not registered any
     * more.
     *
     * @param heartbeat the heartbeat in the response; null if there was no response
     */
    public void onProbeOutcome(
            String machineName, DeliveryOutcome outcome, Heartbeat heartbeat, double nowSeconds) {
        Machine machine = machines.get(machineName);
        if (machine == null) {
            return;
        }
        machine.reachability().onProbeFinished();
        if (heartbeat == null) {
            onProbeWithoutResponse(machine, outcome, nowSeconds);
        } else if (!heartbeat.machineName().equals(machineName)) {
            // The address now belongs to another machine, so the response is not from the machine
            // that was probed.
            onResponse(heartbeat, nowSeconds);
        } else if (heartbeat.fencingToken() <= term
                && machine.reachability().provesRestart(heartbeat, term)) {
            onRestartProven(machine, heartbeat, nowSeconds);
        } else {
            machine.reachability().onNoRestartSeen();
            machine.reachability().takeImplausibleHeartbeat();
            onResponse(heartbeat, nowSeconds);
        }
    }

    private void onProbeWithoutResponse(
            Machine machine, DeliveryOutcome outcome, double nowSeconds) {
        if (outcome == DeliveryOutcome.NOT_ATTEMPTED) {
            return;
        }
        machine.reachability().onDeliveryFailed(nowSeconds);
        Heartbeat implausibleHeartbeat = machine.reachability().takeImplausibleHeartbeat();
        if (implausibleHeartbeat != null) {
            // Responses to heartbeats may not have arrived either. In that case the lease of the
            // previous agent epoch may have expired, as the heartbeat reports.
            applier.apply(machine, implausibleHeartbeat, MessageKind.HEARTBEAT, nowSeconds);
        }
    }

    private void onRestartProven(Machine machine, Heartbeat heartbeat, double nowSeconds) {
        if (machine.contact().isTermConfirmed()) {
            machineLifecycle.onWorkerRestarted(machine, nowSeconds);
        } else {
            // The messages received so far were copies from before the restart, and no attempt that
            // this term started is on the machine.
            machine.contact().resetNewestMessage();
            onResponse(heartbeat, nowSeconds);
        }
    }
}
