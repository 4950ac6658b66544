package io.kelphoist.failover;

import io.kelphoist.model.ReplicatedMachine;
import io.kelphoist.replication.MachineStatePublisher;
import io.kelphoist.replication.MachineStateReplica;
import java.util.Random;

/**
 * Replicates machines from the leader to a follower, and applies the replica to the next leader.
 */
final class ReplicaHandover {
    private static final String FOLLOWER = "f";

    /** One of this many updates, and of corrupted machines, is lost on average. */
    private static final int MEAN_UPDATES_PER_LOSS = 4;

    private final SimulationContext context;
    private final SimulatedFleet fleet;
    private final MachineStateReplica replica = new MachineStateReplica();

    ReplicaHandover(SimulationContext context, SimulatedFleet fleet) {
        this.context = context;
        this.fleet = fleet;
    }

    /** The leader sends one update, which may be lost. */
    void replicateFrom(SimulatedLeader leader) {
        MachineStatePublisher publisher = leader.machineStatePublisher();
        double now = context.nowSeconds();
        MachineStatePublisher.MachineStateUpdate update = publisher.nextUpdate(FOLLOWER, now);
        if (context.random().nextInt(MEAN_UPDATES_PER_LOSS) > 0) {
            replica.apply(leader.term(), update, now);
            publisher.onAcknowledgement(
                    FOLLOWER,
                    replica.appliedSequence(leader.term()),
                    replica.drainDivergedShards());
        }
    }

    /** Applies the replica to a new leader as it is, corrupted, or not at all. */
    void handOverTo(SimulatedLeader leader, Leadership.Handover handover) {
        switch (handover) {
            case NOTHING -> {}
            case REPLICA -> {
                replica.machines().forEach(leader::onReplicatedMachine);
                leader.onReplicaApplied();
            }
            case CORRUPTED_REPLICA -> {
                for (ReplicatedMachine machine : replica.machines()) {
                    if (context.random().nextInt(MEAN_UPDATES_PER_LOSS) > 0) {
                        leader.onReplicatedMachine(corrupt(machine));
                    }
                }
                leader.onReplicatedMachine(corrupt(unknownMachine()));
                leader.onReplicaApplied();
            }
        }
    }

    private ReplicatedMachine unknownMachine() {
        double now = context.nowSeconds();
        return new ReplicatedMachine(
                /* name= */ "vm-9",
                /* address= */ "vm-0:1",
                /* machineType= */ "m",
                /* zone= */ "a",
                /* spot= */ false,
                /* agentEpoch= */ 7,
                /* hasReported= */ true,
                /* drainedAsFaulty= */ false,
                /* possiblyDisconnected= */ false,
                /* commandOutcomeUnknown= */ true,
                /* launchedAtSeconds= */ now,
                /* terminationAtSeconds= */ now + 5);
    }

    private ReplicatedMachine corrupt(ReplicatedMachine machine) {
        Random random = context.random();
        return new ReplicatedMachine(
                machine.name(),
                /* address= */ fleet.workers()
                        .get(random.nextInt(context.size().workers()))
                        .address(),
                machine.machineType(),
                machine.zone(),
                machine.spot(),
                /* agentEpoch= */ random.nextInt(4),
                /* hasReported= */ random.nextInt(5) > 0,
                /* drainedAsFaulty= */ false,
                /* possiblyDisconnected= */ random.nextInt(5) == 0,
                /* commandOutcomeUnknown= */ random.nextBoolean(),
                /* launchedAtSeconds= */ machine.launchedAtSeconds() - random.nextInt(100),
                /* terminationAtSeconds= */ Double.POSITIVE_INFINITY);
    }
}
