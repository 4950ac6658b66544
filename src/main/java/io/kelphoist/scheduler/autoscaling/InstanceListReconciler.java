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
 * Reconciles the machine registry with the cloud's instance list: removes machines that the list
 * proves to be terminated, and adds instances that are missing in the registry. Marks the machines
 * of instances that the list reports as failed, so that they are terminated, and removes the
 * attempts on them.
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

    /** Applies a page of the instance list. */
    void onPage(InstanceListPage page, double nowSeconds) {
        for (String name : tracker.applyPage(page)) {
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
                    "machine absent from the instance list, terminated: machine={} secondsSinceHeartbeat={} attempts={}",
                    name,
                    Math.round(nowSeconds - machine.contact().lastHeartbeatAtSeconds()),
                    machine.attempts().size());
            machineLifecycle.onTerminated(name, nowSeconds);
        }
    }

    /**
     * The machine of an instance, which is added to the registry if it is missing there; null if
     * its termination is confirmed already or its machine type is unknown.
     */
    private Machine findOrAdopt(CloudInstance instance, double nowSeconds) {
        Machine existing = machines.get(instance.name());
        MachineType type = catalog.type(instance.machineType());
        if (existing != null || type == null || machines.isTerminated(instance.name())) {
            return existing;
        }
        LOG.info("machine adopted from the instance list: machine={}", instance.name());
        // A running instance may send a heartbeat at any time. Scale-out plans include its capacity
        // only until its first heartbeat is overdue.
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

    /**
     * Sets the machine's address, if it has none. Handles a failure of the instance, unless the
     * machine's termination was requested before.
     */
    private void update(Machine machine, CloudInstance instance, double nowSeconds) {
        if (machine.address() == null) {
            machine.updateAddress(instance.address());
        }
        if (instance.state() == CloudInstance.InstanceState.FAILED
                && machine.transitionTo(Machine.State.TERMINATING, nowSeconds)) {
            // A failed instance has stopped by itself, so none of its tasks is running.
            LOG.info(
                    "machine reported as failed by the cloud: machine={} attempts={}",
                    machine.name(),
                    machine.attempts().size());
            machineLifecycle.onInstanceStopped(machine, nowSeconds);
        }
    }
}
