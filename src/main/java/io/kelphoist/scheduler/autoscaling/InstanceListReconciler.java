package io.kelphoist.scheduler.autoscaling;

import io.kelphoist.model.CloudInstance;
import io.kelphoist.model.InstanceListPage;
import io.kelphoist.model.MachineType;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineCatalog;
import io.kelphoist.scheduler.cluster.MachineIdentity;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.lifecycle.MachineLifecycle;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the known machines with the cloud's list of instances: removes machines that the list
 * proves to be gone, adopts instances that are not known, and notices those that failed.
 */
final class InstanceListReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceListReconciler.class);

    private final MachineRegistry machines;
    private final MachineCatalog catalog;
    private final MachineLifecycle machineLifecycle;
    private final InstanceListTracker tracker = new InstanceListTracker();

    InstanceListReconciler(
            MachineRegistry machines, MachineCatalog catalog, MachineLifecycle machineLifecycle) {
        this.machines = machines;
        this.catalog = catalog;
        this.machineLifecycle = machineLifecycle;
    }

    void onPage(InstanceListPage page, double nowSeconds) {
        for (String name : tracker.findTerminated(page)) {
            removeTerminated(name, nowSeconds);
        }
        for (CloudInstance instance : page.instances()) {
            Machine machine = findOrAdopt(instance, nowSeconds);
            if (machine != null) {
                update(machine, instance, nowSeconds);
            }
        }
    }

    private void removeTerminated(String name, double nowSeconds) {
        Machine machine = machines.get(name);
        if (machine != null) {
            LOG.info(
                    "machine terminated by the cloud: machine={} secondsSinceHeartbeat={} tasks={}",
                    name,
                    Math.round(nowSeconds - machine.contact().lastHeartbeatAtSeconds()),
                    machine.attempts().size());
            machineLifecycle.onTerminated(name, nowSeconds);
        }
    }

    /** The machine of an instance; null if it is gone already or of an unknown type. */
    private Machine findOrAdopt(CloudInstance instance, double nowSeconds) {
        Machine known = machines.get(instance.name());
        MachineType type = catalog.type(instance.machineType());
        if (known != null || type == null || machines.isTerminated(instance.name())) {
            return known;
        }
        LOG.info("machine adopted from the instance list: machine={}", instance.name());
        // A running instance may send a heartbeat at once; it counts as room only for as long as
        // its first heartbeat may be due.
        boolean running = instance.state() == CloudInstance.InstanceState.RUNNING;
        Machine adopted =
                new Machine(
                        new MachineIdentity(
                                instance.name(),
                                type,
                                catalog.zones().getOrAssign(instance.zone()),
                                instance.spot()),
                        instance.address(),
                        running ? Machine.State.JOINING : Machine.State.BOOTING,
                        nowSeconds - instance.ageSeconds());
        adopted.contact().onDiscovered(nowSeconds);
        machines.add(adopted);
        return adopted;
    }

    private void update(Machine machine, CloudInstance instance, double nowSeconds) {
        if (machine.address() == null) {
            machine.updateAddress(instance.address());
        }
        if (instance.state() == CloudInstance.InstanceState.FAILED
                && machine.transitionTo(Machine.State.TERMINATING, nowSeconds)) {
            // A failed instance stopped by itself: none of its tasks runs any more.
            LOG.info(
                    "machine failed: machine={} tasks={}",
                    machine.name(),
                    machine.attempts().size());
            machineLifecycle.onStopped(machine, nowSeconds);
        }
    }
}
