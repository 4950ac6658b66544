package io.kelphoist.scheduler.lifecycle;

import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.records.ImageCacheRecords;
import io.kelphoist.scheduler.records.StartIntentLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Ends of machines and of their leases, with what follows for the attempts on them. */
public final class MachineLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(MachineLifecycle.class);

    private final MachineRegistry machines;
    private final AttemptLifecycle attempts;
    private final StartIntentLog startIntentLog;
    private final ImageCacheRecords imageRecords;

    /** Creates the lifecycle of a term's machines. */
    public MachineLifecycle(
            MachineRegistry machines,
            AttemptLifecycle attempts,
            StartIntentLog startIntentLog,
            ImageCacheRecords imageRecords) {
        this.machines = machines;
        this.attempts = attempts;
        this.startIntentLog = startIntentLog;
        this.imageRecords = imageRecords;
    }

    /** The machine's lease has expired: its worker has stopped all tasks. */
    void onLeaseExpired(Machine machine, double nowSeconds) {
        machine.contact().endCurrentEpoch();
        attempts.onAllGone(machine, nowSeconds);
        machine.transitionTo(Machine.State.LOST, nowSeconds);
        startIntentLog.onNothingRunning(machine);
    }

    /**
     * The worker restarted and numbers its messages anew. Its former tasks are gone, but commands
     * that were sent before, or copies of them, may still be executed by the restarted worker. So
     * the attempts count until the machine is terminated, which is requested, and its heartbeats
     * are not answered any more.
     */
    public void onWorkerRestarted(Machine machine, double nowSeconds) {
        if (machine.reachability().hasRestarted()) {
            return;
        }
        LOG.warn(
                "worker restarted, machine is terminated: machine={} attempts={}",
                machine.name(),
                machine.attempts().size());
        machine.reachability().markRestarted();
        machine.reachability().markPossibleRestart(nowSeconds);
        machine.transitionTo(Machine.State.TERMINATING, nowSeconds);
    }

    /** The instance stopped for good, though the cloud still lists it: its tasks are gone. */
    public void onStopped(Machine machine, double nowSeconds) {
        machine.contact().endAllEpochs();
        attempts.onAllGone(machine, nowSeconds);
    }

    /** The cloud confirmed that the instance is terminated. The name need not be known. */
    public void onTerminated(String machineName, double nowSeconds) {
        Machine machine = machines.remove(machineName);
        if (machine != null) {
            machine.transitionTo(Machine.State.TERMINATED, nowSeconds);
            machine.hold().end();
            attempts.onAllGone(machine, nowSeconds);
            startIntentLog.onNothingRunning(machine);
            imageRecords.onMachineTerminated(machine);
            machine.images().clear();
        }
    }
}
