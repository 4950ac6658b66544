package io.kelphoist.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.model.ReplicatedMachine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * A follower's replica of the leader's machine state. Guards against a replica that lacks changes
 * or differs from the leader's machines although it is reported as complete, and against updates
 * and retained removals without a bound. The publisher's follower is {@code f}, and the leader's
 * term is 5 unless another one is stated.
 */
class MachineStateReplicaTest {
    private static ReplicatedMachine machine(int number, long agentEpoch) {
        return new ReplicatedMachine(
                "vm-" + number,
                "10.0.0." + number + ":1",
                /* machineType= */ "m",
                /* zone= */ "a",
                /* spot= */ false,
                agentEpoch,
                /* hasReported= */ true,
                /* drainedAsFaulty= */ false,
                /* possiblyDisconnected= */ false,
                /* commandOutcomeUnknown= */ false,
                /* launchedAtSeconds= */ number,
                /* terminationAtSeconds= */ Double.POSITIVE_INFINITY);
    }

    /**
     * Updates and acknowledgements are lost, repeated and reordered. Once all of them arrive again,
     * the replica must become equal to the leader's machines.
     */
    @Property(tries = 1000, seed = "20261204")
    void convergesToTheLeadersMachines(@ForAll long seed) {
        Random random = new Random(seed);
        MachineStatePublisher publisher = new MachineStatePublisher();
        MachineStateReplica replica = new MachineStateReplica();
        List<ReplicatedMachine> machines = new ArrayList<>();
        List<MachineStatePublisher.MachineStateUpdate> sentUpdates = new ArrayList<>();
        int size = random.nextInt(400);
        for (int step = 0; step < 60; step++) {
            for (int i = random.nextInt(size / 8 + 2); i > 0; i--) {
                int number = random.nextInt(size + 1);
                machines.removeIf(machine -> machine.name().equals("vm-" + number));
                if (random.nextInt(4) > 0) {
                    machines.add(machine(number, step));
                }
            }
            publisher.publish(machines);
            sentUpdates.add(publisher.nextUpdate("f", step));
            if (random.nextInt(3) > 0) {
                replica.apply(5, sentUpdates.get(random.nextInt(sentUpdates.size())), step);
            }
            if (random.nextInt(3) > 0) {
                publisher.onAcknowledgement(
                        "f", replica.appliedSequence(5), replica.drainDivergedShards());
            }
        }
        // From now on no message is lost.
        for (int step = 60; step < 60 + 40; step++) {
            publisher.onAcknowledgement(
                    "f", replica.appliedSequence(5), replica.drainDivergedShards());
            replica.apply(5, publisher.nextUpdate("f", step), step);
        }
        assertEquals(MachineStateReplica.State.IN_SYNC, replica.state(99.5));
        assertEquals(new HashSet<>(machines), new HashSet<>(replica.machines()));
    }

    /**
     * A replica is complete by its sequence number, but has one machine too many, one too few and
     * one with another agent epoch. The leader's shard digests must reveal this, and the shards
     * must be repaired.
     */
    @Test
    void repairsDivergedShards() {
        MachineStatePublisher publisher = new MachineStatePublisher();
        MachineStatePublisher divergedPublisher = new MachineStatePublisher();
        MachineStateReplica replica = new MachineStateReplica();
        publisher.publish(List.of(machine(1, 1), machine(2, 1), machine(3, 1)));
        divergedPublisher.publish(List.of(machine(1, 1), machine(2, 9), machine(4, 1)));
        replica.apply(5, divergedPublisher.nextUpdate("f", 0), 0);
        assertEquals(publisher.nextUpdate("f", 0).headSequence(), replica.appliedSequence(5));
        for (int step = 1; step <= 40; step++) {
            publisher.onAcknowledgement(
                    "f", replica.appliedSequence(5), replica.drainDivergedShards());
            replica.apply(5, publisher.nextUpdate("f", step), step);
        }
        assertEquals(
                new HashSet<>(List.of(machine(1, 1), machine(2, 1), machine(3, 1))),
                new HashSet<>(replica.machines()));
        assertTrue(
                replica.repairedShardCount() >= 2,
                replica.repairedShardCount() + " shards repaired, expected at least 2");
    }

    /**
     * A follower that is thousands of changes behind must receive updates of a bounded size, and
     * its replica must not be complete before it has all changes.
     */
    @Test
    void catchesUpInUpdatesOfBoundedSize() {
        MachineStatePublisher publisher = new MachineStatePublisher();
        MachineStateReplica replica = new MachineStateReplica();
        List<ReplicatedMachine> machines = new ArrayList<>();
        for (int i = 0; i < 4000; i++) {
            machines.add(machine(i, 1));
        }
        publisher.publish(machines);
        int updates = 0;
        while (replica.state(updates) != MachineStateReplica.State.IN_SYNC) {
            assertFalse(replica.isComplete(), "replica is complete before it is in sync");
            MachineStatePublisher.MachineStateUpdate update = publisher.nextUpdate("f", updates);
            int changes = update.changedMachines().size();
            assertTrue(
                    changes <= MachineStatePublisher.MAX_CHANGES_PER_UPDATE,
                    changes
                            + " changes in an update, expected at most "
                            + MachineStatePublisher.MAX_CHANGES_PER_UPDATE);
            replica.apply(5, update, updates++);
            publisher.onAcknowledgement(
                    "f", replica.appliedSequence(5), replica.drainDivergedShards());
        }
        assertEquals(4000, replica.size());
        assertTrue(updates <= 28, updates + " updates, expected at most 28");
        // Without updates the replica lags. An update of a newer leader without machines clears it.
        assertEquals(MachineStateReplica.State.LAGGING, replica.state(updates + 10));
        assertTrue(replica.isComplete(), "replica is not complete, but only updates are missing");
        replica.apply(6, new MachineStatePublisher().nextUpdate("f", 0), updates + 11);
        assertEquals(0, replica.size());
        // A new leader resets its own replica, so that a later term does not use outdated machines.
        replica.apply(6, publisher.nextUpdate("g", 0), updates + 12);
        replica.reset();
        assertEquals(MachineStateReplica.State.EMPTY, replica.state(updates + 12));
        assertEquals(0, replica.size());
        assertFalse(replica.isComplete(), "replica is complete after it was reset");
    }

    /**
     * More machines are removed than the publisher retains removals. A follower that missed all of
     * these removals must restart from an empty replica instead of keeping removed machines.
     */
    @Test
    void restartsFromEmptyAfterTooManyRemovals() {
        MachineStatePublisher publisher = new MachineStatePublisher();
        MachineStateReplica replica = new MachineStateReplica();
        publisher.publish(List.of(machine(1, 1), machine(2, 1)));
        replica.apply(5, publisher.nextUpdate("f", 0), 0);
        publisher.onAcknowledgement("f", replica.appliedSequence(5), replica.drainDivergedShards());
        for (int i = 10; i < 10 + MachineStatePublisher.MAX_RETAINED_REMOVALS + 50; i++) {
            publisher.publish(List.of(machine(2, 1), machine(i, 1)));
        }
        for (int step = 1;
                replica.appliedSequence(5) < publisher.nextUpdate("f", step).headSequence();
                step++) {
            publisher.onAcknowledgement(
                    "f", replica.appliedSequence(5), replica.drainDivergedShards());
            replica.apply(5, publisher.nextUpdate("f", step), step);
        }
        assertEquals(2, replica.size());
    }
}
