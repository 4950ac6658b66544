package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.MachineType;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineCatalog;
import io.kelphoist.scheduler.cluster.MachineIdentity;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Resolves the machine whose worker sent a message, and adopts machines that are not registered
 * yet. Owns whether this leader is deposed, that is whether a worker has seen a newer term.
 */
public final class HeartbeatSenderResolver {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatSenderResolver.class);

    private final long term;
    private final MachineCatalog catalog;
    private final MachineRegistry machines;
    private boolean deposed;

    /** Creates the resolver for the messages that the leader of a term receives. */
    public HeartbeatSenderResolver(long term, MachineCatalog catalog, MachineRegistry machines) {
        this.term = term;
        this.catalog = catalog;
        this.machines = machines;
    }

    /** Whether a worker has seen a newer term than this leader's. */
    public boolean isDeposed() {
        return deposed;
    }

    /**
     * Returns the machine that sent a message; adds it to the registry if it is not there. Returns
     * null if the message must be ignored: its sender has seen a newer term, is terminated, or is
     * neither registered nor of a known machine type.
     */
    Machine resolve(Heartbeat heartbeat, double nowSeconds) {
        if (heartbeat.fencingToken() > term) {
            if (!deposed) {
                LOG.info(
                        "leader deposed, a worker has seen a newer term: machine={} workerTerm={}"
                                + " term={}",
                        heartbeat.machineName(),
                        heartbeat.fencingToken(),
                        term);
            }
            deposed = true;
            return null;
        }
        Machine machine = machines.get(heartbeat.machineName());
        return machine == null ? adopt(heartbeat, nowSeconds) : machine;
    }

    private Machine adopt(Heartbeat heartbeat, double nowSeconds) {
        MachineType machineType = catalog.type(heartbeat.machineType());
        if (machineType == null || machines.isTerminated(heartbeat.machineName())) {
            return null;
        }
        Machine machine =
                new Machine(
                        new MachineIdentity(
                                heartbeat.machineName(),
                                machineType,
                                catalog.zones().getOrAssign(heartbeat.zone()),
                                heartbeat.spot()),
                        heartbeat.address(),
                        Machine.State.JOINING,
                        nowSeconds);
        LOG.info("machine adopted from a heartbeat: machine={}", machine.name());
        machines.add(machine);
        return machine;
    }
}
