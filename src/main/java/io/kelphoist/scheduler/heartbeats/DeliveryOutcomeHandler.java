package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.lifecycle.MachineLifecycle;
import io.kelphoist.scheduler.lifecycle.SchedulerContext;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;

/**
 * Handles the outcomes of what was sent straight to workers: commands, probes and requests for a
 * heartbeat. Responses hold a heartbeat; unlike one that the worker sends, they renew no lease.
 */
public final class DeliveryOutcomeHandler {
    private final long term;
    private final MachineRegistry machines;
    private final HeartbeatSenderResolver senders;
    private final HeartbeatApplier applier;
    private final MachineProber prober;
    private final MachineLifecycle machineLifecycle;

    /** Creates the handler of a term. */
    public DeliveryOutcomeHandler(
            SchedulerContext context,
            HeartbeatSenderResolver senders,
            HeartbeatApplier applier,
            MachineProber prober) {
        this.term = context.term();
        this.machines = context.machines();
        this.machineLifecycle = context.machineLifecycle();
        this.senders = senders;
        this.applier = applier;
        this.prober = prober;
    }

    /**
     * The response to commands, or to a request for a heartbeat. Its sender need not be the machine
     * that was meant: addresses are used again.
     */
    public void onResponse(Heartbeat heartbeat, double nowSeconds) {
        Machine machine = senders.resolve(heartbeat, nowSeconds);
        if (machine == null) {
            return;
        }
        if (machine.contact().isTermConfirmed() && heartbeat.fencingToken() < term) {
            prober.probeIfDue(machine, nowSeconds);
        } else if (!machine.contact().isEnded(heartbeat.agentEpoch())) {
            applier.apply(machine, heartbeat, nowSeconds);
            // The worker receives what is sent to it. Whether a controller receives what the worker
            // sends only a heartbeat shows, and only that keeps its lease. So this does not count
            // as a heartbeat: the machine would get new work that ends with the lease.
            machine.reachability().onAcknowledged(nowSeconds);
        }
    }

    /**
     * How a probe ended.
     *
     * @param heartbeat the response; null: there was none
     */
    public void onProbeOutcome(
            String machineName, DeliveryOutcome outcome, Heartbeat heartbeat, double nowSeconds) {
        Machine machine = machines.get(machineName);
        if (machine == null) {
            return;
        }
        machine.reachability().onProbeFinished();
        if (heartbeat == null) {
            onProbeUnanswered(machine, outcome, nowSeconds);
        } else if (!heartbeat.machineName().equals(machineName)) {
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

    private void onProbeUnanswered(Machine machine, DeliveryOutcome outcome, double nowSeconds) {
        if (outcome == DeliveryOutcome.NOT_ATTEMPTED) {
            return;
        }
        machine.reachability().onDeliveryFailed(nowSeconds);
        Heartbeat implausibleHeartbeat = machine.reachability().takeImplausibleHeartbeat();
        if (implausibleHeartbeat != null) {
            applier.apply(machine, implausibleHeartbeat, nowSeconds);
        }
    }

    private void onRestartProven(Machine machine, Heartbeat heartbeat, double nowSeconds) {
        if (machine.contact().isTermConfirmed()) {
            machineLifecycle.onWorkerRestarted(machine, nowSeconds);
        } else {
            // The messages that were known were copies, and nothing of this term is on the machine.
            machine.contact().forgetNewest();
            onResponse(heartbeat, nowSeconds);
        }
    }
}
