package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.reachability.MachineReachability;
import java.util.List;

/**
 * Handles heartbeats. Each counts once, in the order of the worker's numbering, whatever path it
 * took: copies may come late. A heartbeat that is accepted is answered with commands, and the
 * answer renews the worker's lease.
 */
public final class HeartbeatHandler {
    private final long term;
    private final double leaseSeconds;
    private final HeartbeatSenderResolver senders;
    private final HeartbeatApplier applier;
    private final MachineProber prober;
    private final JobRegistry jobs;

    /** Creates the handler of a term's heartbeats. */
    public HeartbeatHandler(
            long term,
            double leaseSeconds,
            HeartbeatSenderResolver senders,
            HeartbeatApplier applier,
            MachineProber prober,
            JobRegistry jobs) {
        this.term = term;
        this.leaseSeconds = leaseSeconds;
        this.senders = senders;
        this.applier = applier;
        this.prober = prober;
        this.jobs = jobs;
    }

    /**
     * Returns the commands of the answer, in the order in which the worker must execute them. Only
     * answers to heartbeats carry forget commands: a worker handles one answer after the other, so
     * that no start that was decided earlier can come after one.
     *
     * @param receivingController the controller that the worker sent the heartbeat to; empty: this
     *     one
     * @return null: the heartbeat must not be answered as accepted, which would renew the lease of
     *     an agent epoch that counts as over
     */
    public List<WorkerCommand> onHeartbeat(
            Heartbeat heartbeat, String receivingController, double nowSeconds) {
        Machine machine = senders.resolve(heartbeat, nowSeconds);
        if (machine == null || machine.reachability().hasRestarted()) {
            return null;
        }
        if (machine.contact().isEnded(heartbeat.agentEpoch())) {
            // Or the worker restarted within a moment, and counts from 1 again.
            prober.probeIfDue(machine, nowSeconds);
            return null;
        }
        if (isCopyOrOfRestartedWorker(machine, heartbeat)) {
            onCopyOrRestart(machine, heartbeat, nowSeconds);
            return List.of();
        }
        if (isNewEpochImplausible(machine, heartbeat, nowSeconds)) {
            machine.reachability().deferImplausibleHeartbeat(heartbeat);
            machine.contact().onAnswered(nowSeconds);
            prober.probeIfDue(machine, nowSeconds);
            return List.of();
        }
        accept(machine, heartbeat, receivingController, nowSeconds);
        return machine.state().isReporting() || machine.state() == Machine.State.TERMINATING
                ? HeartbeatResponder.commands(jobs, machine, heartbeat)
                : List.of();
    }

    private boolean isCopyOrOfRestartedWorker(Machine machine, Heartbeat heartbeat) {
        return machine.reachability().isStale(heartbeat) || isOfEarlierTerm(machine, heartbeat);
    }

    private boolean isOfEarlierTerm(Machine machine, Heartbeat heartbeat) {
        return machine.contact().isTermConfirmed() && heartbeat.fencingToken() < term;
    }

    /**
     * Either a copy, whose answer nobody waits for, or a heartbeat of a restarted worker, which
     * runs nothing but what is still under way to it.
     */
    private void onCopyOrRestart(Machine machine, Heartbeat heartbeat, double nowSeconds) {
        MachineReachability reachability = machine.reachability();
        reachability.markPossibleRestart(nowSeconds);
        if (!reachability.isStale(heartbeat)) {
            // It may have been sent just before a command told the worker of this term. Then the
            // worker waits for the answer, which renews its lease.
            machine.contact().onAnswered(nowSeconds);
        }
        if (heartbeat.fencingToken() < term || !reachability.isReordered(heartbeat)) {
            prober.probeIfDue(machine, nowSeconds);
        }
    }

    /**
     * Whether the heartbeat begins a new agent epoch though the lease of the last one cannot have
     * expired, unless answers were lost. Otherwise it is a copy, and the worker restarted
     * unnoticed.
     */
    private boolean isNewEpochImplausible(Machine machine, Heartbeat heartbeat, double nowSeconds) {
        return heartbeat.agentEpoch() > machine.agentEpoch()
                && machine.contact().isTermConfirmed()
                && machine.state().isReporting()
                && !machine.reachability().isSuspected()
                && machine.reachability()
                        .leaseCannotHaveExpired(
                                machine.contact().lastAnsweredAtSeconds(),
                                leaseSeconds,
                                nowSeconds);
    }

    private void accept(
            Machine machine, Heartbeat heartbeat, String receivingController, double nowSeconds) {
        long previousAgentEpoch = machine.contact().agentEpoch();
        long previousSequenceNumber = machine.contact().sequenceNumber();
        applier.apply(machine, heartbeat, nowSeconds);
        boolean switchedController =
                machine.reachability()
                        .onHeartbeat(
                                heartbeat,
                                previousAgentEpoch,
                                previousSequenceNumber,
                                receivingController,
                                leaseSeconds,
                                nowSeconds);
        machine.contact().onAnswered(nowSeconds);
        machine.contact().onHeartbeat(nowSeconds);
        if (machine.reachability().isSuspected() || switchedController) {
            prober.probeIfDue(machine, nowSeconds);
        }
    }
}
