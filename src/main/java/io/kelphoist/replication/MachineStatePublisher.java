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
 * The leader's side of the replication of machine state, for one term. Each change of a machine
 * gets a sequence number. Each follower gets the changes after the last one that it acknowledged,
 * in updates of a bounded size, and shard digests that detect a replica that has diverged, so that
 * its shards can be repaired. Owns the published state and the progress of the followers. Performs
 * no I/O. Not thread-safe.
 */
public final class MachineStatePublisher {
    /**
     * One update for one follower: the changes after {@code baseSequence} up to {@code
     * lastSequence}.
     *
     * @param baseSequence sequence number up to which the receiver must have applied all changes; 0
     *     if the update starts from an empty replica
     * @param lastSequence sequence number up to which the receiver has all changes once it has
     *     applied this update
     * @param headSequence sequence number of the leader's newest change
     * @param changedMachines current state of the machines that were added or changed
     * @param removedMachines names of machines that no longer exist
     * @param shardDigests digests of some shards as of {@code headSequence}, by shard
     * @param repairedShards for each shard to be repaired, all of its machines, which replace those
     *     of the receiver
     * @param clockSeconds time of the sender's monotonic clock when it created this update; the
     *     times in the update refer to that clock
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

    /** Number of shards of the machine state; each is compared and repaired separately. */
    public static final int SHARD_COUNT = MachineStateDigests.SHARD_COUNT;

    /**
     * Maximum number of changes in an update, which is then about 20 KB of JSON. A follower that
     * starts with an empty replica gets the state of 4,000 machines in 27 updates.
     */
    public static final int MAX_CHANGES_PER_UPDATE = 150;

    private static final int MAX_REPAIRED_SHARDS_PER_UPDATE = 2;

    private static final int DIGESTS_PER_UPDATE = 8;

    /**
     * Maximum number of removed machines whose removal is retained. A follower that has not applied
     * an evicted removal restarts from an empty replica.
     */
    public static final int MAX_RETAINED_REMOVALS = 2000;

    /** The latest change of one machine, and its sequence number. */
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

    /**
     * What one follower has acknowledged, which of its shards are to be repaired, and which digests
     * it is sent next.
     */
    private static final class FollowerProgress {
        private long appliedSequence;
        private final TreeSet<Integer> divergedShards = new TreeSet<>();
        private int nextDigestShard;
    }

    /** The changes for one update, and the sequence number up to which they are complete. */
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
    private boolean published;

    /** Sequence number of the newest removal that was evicted; 0 if none was. */
    private long lastEvictedSequence;

    private int removedCount;

    /**
     * Records the differences between the published state and the current state of all machines.
     * Machines that are not in {@code machines} are published as removed.
     */
    public void publish(Collection<ReplicatedMachine> machines) {
        published = true;
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

    /**
     * Whether machines were published. Until then there is no state that an update could replicate:
     * a receiver would take an empty update for a cluster without machines.
     */
    public boolean hasPublished() {
        return published;
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
     * Records the new state of a machine under the next sequence number.
     *
     * @param machine null if the machine was removed
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
     * Records what a follower has applied. A follower whose position cannot be continued, because a
     * later removal was evicted or because it is ahead of this leader, restarts from an empty
     * replica.
     *
     * @param appliedSequence sequence number of the last change that the follower has applied
     * @param divergedShards shards whose digests in the replica differ from the received ones
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
     * Returns the next update for a follower. Its changes are sent again until the follower
     * acknowledges them. Repaired shards are sent once: if the update is lost, the follower reports
     * the shards again after the next digests. Digests and repaired shards are included only if the
     * update contains the newest change.
     *
     * @param clockSeconds current time of this leader's monotonic clock
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
            // The update is complete even if the newest sequence numbers belonged to removals that
            // were evicted and are not in the map.
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

    /** Adds the digests of the next few shards; successive updates go through all shards. */
    private void addDigests(FollowerProgress progress, Map<Integer, Long> digests) {
        for (int i = 0; i < DIGESTS_PER_UPDATE; i++) {
            int shard = (progress.nextDigestShard + i) % SHARD_COUNT;
            digests.put(shard, shardDigests.digest(shard));
        }
        progress.nextDigestShard = (progress.nextDigestShard + DIGESTS_PER_UPDATE) % SHARD_COUNT;
    }

    /**
     * Returns the follower that has acknowledged the highest sequence number, any of them if there
     * are several; empty if no follower has acknowledged any change.
     */
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

    /**
     * Returns how many sequence numbers the follower that is farthest behind has not acknowledged;
     * 0 without followers.
     */
    public long maxLag() {
        return followers.values().stream()
                .mapToLong(progress -> headSequence - progress.appliedSequence)
                .max()
                .orElse(0);
    }
}
