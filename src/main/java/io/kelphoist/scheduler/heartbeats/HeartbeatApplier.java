package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.NameIndex;
import io.kelphoist.scheduler.autoscaling.BootTimeEstimator;
import io.kelphoist.scheduler.cluster.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies what a worker's message reports about its machine and tasks, whether the message is a
 * heartbeat or the response to a direct request. A message is applied only if it is newer than the
 * newest message received before from the machine. If its worker has not seen this term, only the
 * agent epoch, the sequence number and the address are applied, and not the task list.
 */
public final class HeartbeatApplier {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatApplier.class);

    private final long term;
    private final NameIndex zones;
    private final BootTimeEstimator bootTimeEstimator;
    private final AttemptReconciler attemptReconciler;

    /** Creates the applier of the messages that the leader of a term receives. */
    public HeartbeatApplier(
            long term,
            NameIndex zones,
            BootTimeEstimator bootTimeEstimator,
            AttemptReconciler attemptReconciler) {
        this.term = term;
        this.zones = zones;
        this.bootTimeEstimator = bootTimeEstimator;
        this.attemptReconciler = attemptReconciler;
    }

    void apply(Machine machine, Heartbeat heartbeat, MessageKind kind, double nowSeconds) {
        if (!machine.contact().isNewer(heartbeat)) {
            return;
        }
        if (heartbeat.agentEpoch() > machine.agentEpoch()) {
            attemptReconciler.endAgentEpoch(machine, heartbeat.agentEpoch(), nowSeconds);
            // Until a heartbeat of the new agent epoch is acknowledged, the lease runs from the
            // start of that epoch. This message may be a response to a command, which renews no
            // lease. Measured from the last acknowledged heartbeat, which belongs to the previous
            // epoch, the lease would appear to expire too early, and tasks that a command starts
            // now would run twice.
            machine.contact().onResponsePossiblySent(nowSeconds);
        }
        machine.updateFrom(heartbeat);
        if (heartbeat.fencingToken() < term) {
            return;
        }
        machine.contact().confirmTerm();
        markUpOrDraining(machine, nowSeconds);
        applyTerminationNotice(machine, heartbeat, nowSeconds);
        attemptReconciler.reconcile(machine, heartbeat, kind, nowSeconds);
    }

    /** Marks the machine, which has acknowledged this term, as up or draining. */
    private void markUpOrDraining(Machine machine, double nowSeconds) {
        if (machine.state() == Machine.State.BOOTING) {
            bootTimeEstimator.onBooted(machine, nowSeconds);
            LOG.info(
                    "machine up: machine={} machineType={} zone={} spot={} bootSeconds={}",
                    machine.name(),
                    machine.type().name(),
                    zones.name(machine.zone()),
                    machine.spot(),
                    Math.round(nowSeconds - machine.launchedAtSeconds()));
        }
        if (machine.state() == Machine.State.BOOTING
                || machine.state() == Machine.State.JOINING
                || machine.state() == Machine.State.LOST) {
            machine.transitionTo(
                    machine.wasDrainedAsFaulty() ? Machine.State.DRAINING : Machine.State.UP,
                    nowSeconds);
        }
    }

    private static void applyTerminationNotice(
            Machine machine, Heartbeat heartbeat, double nowSeconds) {
        if (heartbeat.terminationNoticeSeconds() != null && !machine.hasTerminationNotice()) {
            machine.onTerminationNotice(nowSeconds + heartbeat.terminationNoticeSeconds());
            LOG.info(
                    "termination notice received from the cloud: machine={} noticeSeconds={}",
                    machine.name(),
                    heartbeat.terminationNoticeSeconds());
        }
    }
}
