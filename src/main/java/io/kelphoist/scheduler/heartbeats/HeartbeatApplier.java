package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.NameIndex;
import io.kelphoist.scheduler.autoscaling.BootTimeEstimator;
import io.kelphoist.scheduler.cluster.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes over what a message of a worker says of its machine and its tasks, whatever path the
 * message took. A message counts only if it is newer than all that is known of the machine; its
 * list of tasks counts only if the worker has seen this term.
 */
public final class HeartbeatApplier {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatApplier.class);

    private final long term;
    private final NameIndex zones;
    private final BootTimeEstimator bootTimeEstimator;
    private final AttemptReconciler attemptReconciler;

    /** Creates the applier of the heartbeats under a term's fencing token. */
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

    void apply(Machine machine, Heartbeat heartbeat, double nowSeconds) {
        if (!machine.contact().isNewer(heartbeat)) {
            return;
        }
        if (heartbeat.agentEpoch() > machine.agentEpoch()) {
            attemptReconciler.endAgentEpoch(machine, heartbeat.agentEpoch(), nowSeconds);
            // The lease runs from the beginning of the agent epoch until a heartbeat is answered.
            // This message may be a response to a command, which renews nothing: counted from the
            // last answered heartbeat the lease would seem to end too early, and tasks that a
            // command starts at once would run twice.
            machine.contact().onResponsePossiblySent(nowSeconds);
        }
        machine.updateFrom(heartbeat);
        if (heartbeat.fencingToken() < term) {
            return;
        }
        machine.contact().confirmTerm();
        bringUp(machine, nowSeconds);
        applyTerminationNotice(machine, heartbeat, nowSeconds);
        attemptReconciler.reconcile(machine, heartbeat, nowSeconds);
    }

    /** The machine has acknowledged this term. */
    private void bringUp(Machine machine, double nowSeconds) {
        if (machine.state() == Machine.State.BOOTING) {
            bootTimeEstimator.onBooted(machine, nowSeconds);
            LOG.info(
                    "machine up: machine={} type={} zone={} spot={} bootSeconds={}",
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
                    "machine will be terminated by the cloud: machine={} noticeSeconds={}",
                    machine.name(),
                    heartbeat.terminationNoticeSeconds());
        }
    }
}
