package io.kelphoist.replication;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.kelphoist.model.ReplicatedMachine;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Digests of the replicated machine state, one per shard. A follower compares the digests of its
 * replica with those of the leader to find shards that have diverged. A digest does not depend on
 * the order in which machines were added.
 */
final class MachineStateDigests {
    static final int SHARD_COUNT = 64;
    private static final HashFunction HASH = Hashing.farmHashFingerprint64();
    private static final double MILLIS_PER_SECOND = 1000;
    private static final int SPOT_BIT = 1;
    private static final int REPORTED_BIT = 2;
    private static final int FAULTY_BIT = 4;
    private static final int DISCONNECTED_BIT = 8;
    private static final int OUTCOME_UNKNOWN_BIT = 16;

    private final long[] digests = new long[SHARD_COUNT];

    /** Returns the shard that a machine belongs to, derived from a hash of its name. */
    static int shardOf(String machine) {
        return Math.floorMod(HASH.hashString(machine, StandardCharsets.UTF_8).asInt(), SHARD_COUNT);
    }

    /**
     * Adds a machine's state to the digest of its shard, or removes it again. Both are the same
     * operation, because the digest is the XOR of the hashes of its machines.
     */
    void toggle(int shard, ReplicatedMachine machine) {
        digests[shard] ^=
                HASH.newHasher()
                        .putUnencodedChars(machine.name())
                        .putInt(machine.address() == null ? 0 : machine.address().hashCode())
                        .putInt(machine.machineType().hashCode())
                        .putInt(machine.zone().hashCode())
                        .putLong(machine.agentEpoch())
                        .putInt(flags(machine))
                        .putLong(Math.round(machine.launchedAtSeconds() * MILLIS_PER_SECOND))
                        .putLong(Math.round(machine.terminationAtSeconds() * MILLIS_PER_SECOND))
                        .hash()
                        .asLong();
    }

    private static int flags(ReplicatedMachine machine) {
        return (machine.spot() ? SPOT_BIT : 0)
                + (machine.hasReported() ? REPORTED_BIT : 0)
                + (machine.drainedAsFaulty() ? FAULTY_BIT : 0)
                + (machine.possiblyDisconnected() ? DISCONNECTED_BIT : 0)
                + (machine.commandOutcomeUnknown() ? OUTCOME_UNKNOWN_BIT : 0);
    }

    /** Returns the digest of a shard; 0 if the shard has no machines. */
    long digest(int shard) {
        return digests[shard];
    }

    /** Removes all machines from all digests. */
    void clear() {
        Arrays.fill(digests, 0);
    }
}
