package io.kelphoist.scheduler.lifecycle;

import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.records.ImageCacheRecords;
import io.kelphoist.scheduler.records.StartIntentLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles expired leases, restarted workers and terminated machines, including the attempts on
 * them.
 */
public final class MachineLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(MachineLifecycle.class);

    private final MachineRegistry machines;
    private final AttemptLifecycle attemptLifecycle;
    private final StartIntentLog startIntentLog;
    private final ImageCacheRecords imageRecords;

    /** Creates the lifecycle of the machines of a term. */
    public MachineLifecycle(
            MachineRegistry machines,
            AttemptLifecycle attemptLifecycle,
            StartIntentLog startIntentLog,
            ImageCacheRecords imageRecords) {
        this.machines = machines;
        this.attemptLifecycle = attemptLifecycle;
        this.startIntentLog = startIntentLog;
        this.imageRecords = imageRecords;
    }

    /**
     * Handles an expired lease: the worker has stopped all tasks. The machine becomes {@link
     * Machine.State#LOST}, unless its termination was requested before.
     */
    void onLeaseExpired(Machine machine, double nowSeconds) {
        machine.contact().endCurrentEpoch();
        attemptLifecycle.removeAll(machine, nowSeconds);
        machine.transitionTo(Machine.State.LOST, nowSeconds);
        startIntentLog.onNothingRunning(machine);
    }

    /**
     * Handles a restart of the worker, which then numbers its messages from 1 again. Its previous
     * tasks have ended, but the restarted worker may still execute commands that were sent before,
     * or copies of them. So its attempts stay charged until the machine is terminated, or a lease
     * counted from now has expired. The termination is requested, and heartbeats are refused, so
     * that the worker's lease is not renewed.
     */
    public void onWorkerRestarted(Machine machine, double nowSeconds) {
        if (machine.reachability().hasRestarted()) {
            return;
        }
        LOG.warn(
                "worker restarted, machine will be terminated: machine={} attempts={}",
                machine.name(),
                machine.attempts().size());
        machine.reachability().markRestarted();
        machine.reachability().markPossibleRestart(nowSeconds);
        machine.transitionTo(Machine.State.TERMINATING, nowSeconds);
    }

    /**
     * Handles an instance that failed and will not run again, though the cloud still lists it: its
     * tasks have ended, and heartbeats that still arrive are refused.
     */
    public void onInstanceStopped(Machine machine, double nowSeconds) {
        machine.contact().endAllEpochs();
        attemptLifecycle.removeAll(machine, nowSeconds);
    }

    /**
     * Handles the cloud's confirmation that an instance is terminated. The registry need not
     * contain a machine with this name.
     */
    public void onTerminated(String machineName, double nowSeconds) {
        Machine machine = machines.remove(machineName);
        if (machine != null) {
            machine.transitionTo(Machine.State.TERMINATED, nowSeconds);
            machine.hold().end();
            attemptLifecycle.removeAll(machine, nowSeconds);
            startIntentLog.onNothingRunning(machine);
            imageRecords.onMachineTerminated(machine);
            machine.images().onMachineTerminated();
        }
    }
}
