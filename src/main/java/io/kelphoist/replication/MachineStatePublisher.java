package io.kelphoist.replication;

import io.kelphoist.model.ReplicatedMachine;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The leader's side of the replication of machine state, for one term. Each follower gets the
 * changes since the last one it acknowledged, in updates of a bounded size, and digests by which a
 * replica that has diverged is found and repaired. Owns the published state and the progress of the
 * followers. Pure; confined to one thread.
 */
public final class MachineStatePublisher {
    /**
     * One update for one follower.
     *
     * @param baseSequence the change that the receiver must have applied; 0 if none
     * @param lastSequence the last change that it has applied with this update
     * @param headSequence the newest change there is
     * @param changedMachines machines that were added or changed, as they are now
     * @param removedMachines names of machines that no longer exist
     * @param shardDigests digests of some shards as of {@code headSequence}
     * @param repairedShards all machines of the shards that had diverged
     * @param clockSeconds the sender's clock, which times in this update refer to
     */
    public record MachineStateUpdate(
            long baseSequence,
            long lastSequence,
            long headSequence,
            List<ReplicatedMachine> changedMachines,
            List<String> removedMachines,
            Map<Integer, Long> shardDigests,
            Map<Integer, List<ReplicatedMachine>> repairedShards,
            double clockSeconds) {}

    /** Number of parts of the state that are compared and repaired one by one. */
    public static final int SHARD_COUNT = MachineStateDigests.SHARD_COUNT;

    /**
     * Most changes in an update, which are some 20 KB as JSON. A follower without any state has
     * that of 4,000 machines after 27 updates.
     */
    public static final int MAX_CHANGES_PER_UPDATE = 150;

    private static final int MAX_REPAIRED_SHARDS_PER_UPDATE = 2;

    private static final int DIGESTS_PER_UPDATE = 8;

    /** Most removed machines that are kept; a follower that lacks an older removal starts over. */
    public static final int MAX_RETAINED_REMOVALS = 2000;

    /** The last change of one machine. */
    private static final class MachineEntry {
        private final String name;
        private final int shard;

        /** Null if the machine was removed. */
        private ReplicatedMachine machine;

        private long sequence;

        MachineEntry(String name) {
            this.name = name;
            this.shard = MachineStateDigests.shardOf(name);
        }
    }

    private static final class FollowerProgress {
        private long appliedSequence;
        private final TreeSet<Integer> divergedShards = new TreeSet<>();
        private int nextDigestShard;
    }

    /** Some changes for a follower, up to a sequence number. */
    private static final class ChangeBatch {
        private final List<ReplicatedMachine> changed = new ArrayList<>();
        private final List<String> removed = new ArrayList<>();
        private long lastSequence;

        boolean isFull() {
            return changed.size() + removed.size() >= MAX_CHANGES_PER_UPDATE;
        }

        void add(MachineEntry entry) {
            lastSequence = entry.sequence;
            if (entry.machine != null) {
                changed.add(entry.machine);
            } else {
                removed.add(entry.name);
            }
        }
    }

    private final Map<String, MachineEntry> entries = new HashMap<>();
    private final TreeMap<Long, MachineEntry> entriesBySequence = new TreeMap<>();
    private final MachineStateDigests shardDigests = new MachineStateDigests();
    private final Map<String, FollowerProgress> followers = new HashMap<>();
    private long headSequence;

    /** The newest removal that was evicted. */
    private long lastEvictedSequence;

    private int removedCount;

    /** Publishes the current state of all machines. */
    public void publish(Collection<ReplicatedMachine> machines) {
        Set<String> presentNames = new HashSet<>();
        for (ReplicatedMachine machine : machines) {
            presentNames.add(machine.name());
            MachineEntry entry = entries.computeIfAbsent(machine.name(), MachineEntry::new);
            if (!machine.equals(entry.machine)) {
                recordChange(entry, machine);
            }
        }
        for (MachineEntry entry : new ArrayList<>(entries.values())) {
            if (entry.machine != null && !presentNames.contains(entry.name)) {
                recordChange(entry, null);
            }
        }
        evictOldRemovals();
    }

    private void evictOldRemovals() {
        Iterator<MachineEntry> oldestFirst = entriesBySequence.values().iterator();
        while (removedCount > MAX_RETAINED_REMOVALS && oldestFirst.hasNext()) {
            MachineEntry entry = oldestFirst.next();
            if (entry.machine == null) {
                lastEvictedSequence = entry.sequence;
                removedCount--;
                entries.remove(entry.name);
                oldestFirst.remove();
            }
        }
    }

    /**
     * Records the new state of a machine.
     *
     * @param machine null if it was removed
     */
    private void recordChange(MachineEntry entry, ReplicatedMachine machine) {
        boolean wasRemoved = entry.machine == null && entry.sequence > 0;
        removedCount += (machine == null ? 1 : 0) - (wasRemoved ? 1 : 0);
        if (entry.machine != null) {
            shardDigests.toggle(entry.shard, entry.machine);
        }
        if (machine != null) {
            shardDigests.toggle(entry.shard, machine);
        }
        entriesBySequence.remove(entry.sequence);
        entry.machine = machine;
        entry.sequence = ++headSequence;
        entriesBySequence.put(headSequence, entry);
    }

    /**
     * A follower acknowledged what it has applied.
     *
     * @param appliedSequence the last change that it has applied
     * @param divergedShards shards whose digests differ from those that it received
     */
    public void onAcknowledgement(
            String follower, long appliedSequence, Collection<Integer> divergedShards) {
        FollowerProgress progress = progressOf(follower);
        boolean isUsable =
                appliedSequence >= lastEvictedSequence && appliedSequence <= headSequence;
        progress.appliedSequence = isUsable ? appliedSequence : 0;
        for (int shard : divergedShards) {
            if (shard >= 0 && shard < SHARD_COUNT) {
                progress.divergedShards.add(shard);
            }
        }
    }

    private FollowerProgress progressOf(String follower) {
        return followers.computeIfAbsent(follower, name -> new FollowerProgress());
    }

    /**
     * Returns the next update for a follower. It counts as applied only when the follower
     * acknowledges it.
     *
     * @param clockSeconds this leader's clock
     */
    public MachineStateUpdate nextUpdate(String follower, double clockSeconds) {
        FollowerProgress progress = progressOf(follower);
        ChangeBatch batch = changesAfter(progress.appliedSequence);
        Map<Integer, Long> digests = new TreeMap<>();
        Map<Integer, List<ReplicatedMachine>> repairedShards = new TreeMap<>();
        if (batch.lastSequence == headSequence) {
            repairShards(progress, repairedShards);
            addDigests(progress, digests);
        }
        return new MachineStateUpdate(
                progress.appliedSequence,
                batch.lastSequence,
                headSequence,
                batch.changed,
                batch.removed,
                digests,
                repairedShards,
                clockSeconds);
    }

    private ChangeBatch changesAfter(long appliedSequence) {
        ChangeBatch batch = new ChangeBatch();
        batch.lastSequence = appliedSequence;
        for (MachineEntry entry : entriesBySequence.tailMap(appliedSequence, false).values()) {
            if (batch.isFull()) {
                return batch;
            }
            batch.add(entry);
        }
        if (!batch.isFull()) {
            // Evicted removals may have been the newest changes.
            batch.lastSequence = headSequence;
        }
        return batch;
    }

    private void repairShards(
            FollowerProgress progress, Map<Integer, List<ReplicatedMachine>> repairedShards) {
        for (int i = 0;
                i < MAX_REPAIRED_SHARDS_PER_UPDATE && !progress.divergedShards.isEmpty();
                i++) {
            int shard = progress.divergedShards.pollFirst();
            repairedShards.put(shard, machinesOf(shard));
        }
    }

    private List<ReplicatedMachine> machinesOf(int shard) {
        return entries.values().stream()
                .filter(entry -> entry.shard == shard && entry.machine != null)
                .map(entry -> entry.machine)
                .toList();
    }

    /** Adds the digests of the next few shards in turn. */
    private void addDigests(FollowerProgress progress, Map<Integer, Long> digests) {
        for (int i = 0; i < DIGESTS_PER_UPDATE; i++) {
            int shard = (progress.nextDigestShard + i) % SHARD_COUNT;
            digests.put(shard, shardDigests.digest(shard));
        }
        progress.nextDigestShard = (progress.nextDigestShard + DIGESTS_PER_UPDATE) % SHARD_COUNT;
    }

    /** The follower that has acknowledged most; empty if none has acknowledged anything. */
    public Optional<String> mostCurrentFollower() {
        String best = null;
        long bestSequence = 0;
        for (Map.Entry<String, FollowerProgress> follower : followers.entrySet()) {
            if (follower.getValue().appliedSequence > bestSequence) {
                best = follower.getKey();
                bestSequence = follower.getValue().appliedSequence;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Changes that the follower farthest behind has not acknowledged; 0 without followers. */
    public long maxLag() {
        return followers.values().stream()
                .mapToLong(progress -> headSequence - progress.appliedSequence)
                .max()
                .orElse(0);
    }
}
