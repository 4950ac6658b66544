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

/** A follower's replica of the leader's machines: convergence, repair and bounds. */
class MachineStateReplicaTest {
    private static ReplicatedMachine machine(int number, long session) {
        return new ReplicatedMachine(
                "vm-" + number,
                "10.0.0." + number + ":1",
                "m",
                "a",
                false,
                session,
                true,
                false,
                false,
                false,
                number,
                Double.POSITIVE_INFINITY);
    }

    /**
     * Updates are lost, repeated and reordered; once they arrive again, the replica equals the
     * leader's machines.
     */
    @Property(tries = 1000, seed = "20261204")
    void convergesToTheLeadersMachines(@ForAll long seed) {
        Random random = new Random(seed);
        MachineStatePublisher publisher = new MachineStatePublisher();
        MachineStateReplica replica = new MachineStateReplica();
        List<ReplicatedMachine> machines = new ArrayList<>();
        List<MachineStatePublisher.MachineStateUpdate> network = new ArrayList<>();
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
            network.add(publisher.nextUpdate("f", step));
            if (random.nextInt(3) > 0) {
                replica.apply(5, network.get(random.nextInt(network.size())), step);
            }
            if (random.nextInt(3) > 0) {
                publisher.onAcknowledgement(
                        "f", replica.appliedSequence(5), replica.drainDivergedShards());
            }
        }
        for (int step = 60; step < 60 + 40; step++) {
            publisher.onAcknowledgement(
                    "f", replica.appliedSequence(5), replica.drainDivergedShards());
            replica.apply(5, publisher.nextUpdate("f", step), step);
        }
        assertEquals(MachineStateReplica.State.IN_SYNC, replica.state(99.5));
        assertEquals(new HashSet<>(machines), new HashSet<>(replica.machines()));
    }

    /**
     * A replica that counts as complete has one machine too many, one too few and a wrong one:
     * digests of its shards find them.
     */
    @Test
    void repairsDivergedShards() {
        MachineStatePublisher publisher = new MachineStatePublisher();
        MachineStatePublisher other = new MachineStatePublisher();
        MachineStateReplica replica = new MachineStateReplica();
        publisher.publish(List.of(machine(1, 1), machine(2, 1), machine(3, 1)));
        other.publish(List.of(machine(1, 1), machine(2, 9), machine(4, 1)));
        replica.apply(5, other.nextUpdate("f", 0), 0);
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
                replica.repairedShardCount() + " shards repaired");
    }

    /**
     * A follower that is thousands of changes behind receives updates of a bounded size, and is not
     * called complete before it has them all.
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
        int messages = 0;
        while (replica.state(messages) != MachineStateReplica.State.IN_SYNC) {
            assertFalse(replica.isComplete(), "complete before it is in sync");
            MachineStatePublisher.MachineStateUpdate update = publisher.nextUpdate("f", messages);
            int changes = update.changedMachines().size();
            assertTrue(
                    changes <= MachineStatePublisher.MAX_CHANGES_PER_UPDATE, changes + " changes");
            replica.apply(5, update, messages++);
            publisher.onAcknowledgement(
                    "f", replica.appliedSequence(5), replica.drainDivergedShards());
        }
        assertEquals(4000, replica.size());
        assertTrue(messages <= 28, messages + " messages");
        // Without updates it lags; a newer leader without machines empties it.
        assertEquals(MachineStateReplica.State.LAGGING, replica.state(messages + 10));
        assertTrue(replica.isComplete(), "a lagging replica stays complete");
        replica.apply(6, new MachineStatePublisher().nextUpdate("f", 0), messages + 11);
        assertEquals(0, replica.size());
        // A leader resets it at the start of its term: a later term does not use it again.
        replica.apply(6, publisher.nextUpdate("g", 0), messages + 12);
        replica.reset();
        assertEquals(MachineStateReplica.State.EMPTY, replica.state(messages + 12));
        assertEquals(0, replica.size());
        assertFalse(replica.isComplete());
    }

    /**
     * More machines are removed than the publisher remembers: a follower that missed all of them
     * starts from an empty replica instead of keeping removed machines.
     */
    @Test
    void startsAgainAfterTooManyRemovals() {
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
