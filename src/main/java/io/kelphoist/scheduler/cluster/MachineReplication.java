package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.NameIndex;
import io.kelphoist.model.ReplicatedMachine;
import io.kelphoist.scheduler.reachability.WorkerContact;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Creates the descriptions of machines that the leader replicates to followers. */
public final class MachineReplication {
    private MachineReplication() {}

    /**
     * Describes the machines that are up, draining, joining or booting; others need not be
     * replicated.
     */
    public static List<ReplicatedMachine> describe(Collection<Machine> machines, NameIndex zones) {
        List<ReplicatedMachine> replicated = new ArrayList<>(machines.size());
        for (Machine machine : machines) {
            if (isReplicated(machine.state())) {
                replicated.add(describe(machine, zones.name(machine.zone())));
            }
        }
        return replicated;
    }

    private static boolean isReplicated(Machine.State state) {
        return state.isReporting()
                || state == Machine.State.JOINING
                || state == Machine.State.BOOTING;
    }

    private static ReplicatedMachine describe(Machine machine, String zoneName) {
        WorkerContact contact = machine.contact();
        return new ReplicatedMachine(
                machine.name(),
                machine.address(),
                machine.type().name(),
                zoneName,
                machine.spot(),
                contact.agentEpochHint(),
                machine.state() != Machine.State.BOOTING,
                machine.state() == Machine.State.DRAINING && !machine.drainingForScaleIn(),
                contact.isPossiblyDisconnected(),
                contact.hasCommandsInFlight(),
                machine.launchedAtSeconds(),
                machine.terminationAtSeconds());
    }
}
