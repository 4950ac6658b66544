package io.kelphoist.replication;

import io.kelphoist.model.ReplicatedMachine;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The follower's side of the replication of machine state: the leader's machines as of its last
 * update. A new leader uses it as a hint only, so that a replica that is wrong, old or missing
 * costs time and nothing else. Owns the replicated machines. Pure; confined to one thread.
 */
public final class MachineStateReplica {
    /** The states; only {@link #transitionTo} changes them. */
    public enum State {
        /** No leader has sent an update. */
        EMPTY,
        /** The first updates of a new leader are being applied. */
        SYNCING,
        /** All changes that the leader had when it sent its last update are applied. */
        IN_SYNC,
        /** More changes are missing than one update holds, or the leader is silent. */
        LAGGING
    }

    private static final Logger LOG = LoggerFactory.getLogger(MachineStateReplica.class);

    /** Several intervals between updates. */
    private static final double LEADER_SILENCE_TIMEOUT_SECONDS = 2.0;

    /** Updates beyond this are not applied, to bound the memory of the smallest controllers. */
    static final int MAX_MACHINES = 20_000;

    private final TreeMap<String, ReplicatedMachine> machines = new TreeMap<>();
    private final MachineStateDigests shardDigests = new MachineStateDigests();
    private final TreeSet<Integer> divergedShards = new TreeSet<>();
    private State state = State.EMPTY;
    private long term;
    private long appliedSequence;
    private long repairedShardCount;
    private boolean complete;
    private double lastUpdateAtSeconds = Double.NEGATIVE_INFINITY;

    /** How far this clock was ahead of the leader's at the last update. */
    private double clockOffsetSeconds;

    private void transitionTo(State next) {
        if (state != next) {
            LOG.debug("machine state replica changed: from={} to={}", state, next);
            state = next;
        }
    }

    /**
     * Applies an update. Those of older terms are ignored; the first one of a newer term, or one
     * from a leader that starts over, replaces all that was known.
     */
    public void apply(
            long updateTerm, MachineStatePublisher.MachineStateUpdate update, double nowSeconds) {
        if (updateTerm < term) {
            return;
        }
        if (updateTerm > term || (update.baseSequence() == 0 && appliedSequence > 0)) {
            term = updateTerm;
            clear();
            transitionTo(State.SYNCING);
        }
        lastUpdateAtSeconds = nowSeconds;
        clockOffsetSeconds = nowSeconds - update.clockSeconds();
        if (isApplicable(update)) {
            applyChanges(update);
            transitionTo(complete ? State.IN_SYNC : stateAfterPartialUpdate());
        } else {
            // The acknowledgement tells the leader where to continue.
            complete = false;
            transitionTo(state == State.SYNCING ? State.SYNCING : State.LAGGING);
        }
    }

    /** The state after an update that was applied and is not the newest. */
    private State stateAfterPartialUpdate() {
        return state == State.IN_SYNC ? State.LAGGING : state;
    }

    private boolean isApplicable(MachineStatePublisher.MachineStateUpdate update) {
        return update.baseSequence() <= appliedSequence
                && machines.size() + update.changedMachines().size() <= MAX_MACHINES;
    }

    private void applyChanges(MachineStatePublisher.MachineStateUpdate update) {
        update.changedMachines().forEach(this::put);
        update.removedMachines().forEach(this::remove);
        appliedSequence = Math.max(appliedSequence, update.lastSequence());
        complete = appliedSequence >= update.headSequence();
        if (appliedSequence == update.headSequence()) {
            update.repairedShards().forEach(this::repairShard);
            update.shardDigests().forEach(this::compareDigest);
        }
    }

    private void compareDigest(int shard, long digest) {
        if (shardDigests.digest(shard) != digest) {
            divergedShards.add(shard);
        }
    }

    private void put(ReplicatedMachine machine) {
        remove(machine.name());
        machines.put(machine.name(), machine);
        shardDigests.toggle(MachineStateDigests.shardOf(machine.name()), machine);
    }

    private void remove(String name) {
        ReplicatedMachine removed = machines.remove(name);
        if (removed != null) {
            shardDigests.toggle(MachineStateDigests.shardOf(name), removed);
        }
    }

    private void repairShard(int shard, List<ReplicatedMachine> shardMachines) {
        List<String> present =
                machines.keySet().stream()
                        .filter(name -> MachineStateDigests.shardOf(name) == shard)
                        .toList();
        present.forEach(this::remove);
        shardMachines.forEach(this::put);
        repairedShardCount++;
    }

    private void clear() {
        machines.clear();
        shardDigests.clear();
        divergedShards.clear();
        complete = false;
        appliedSequence = 0;
    }

    /** Removes everything, as this controller leads now and has better knowledge. */
    public void reset() {
        clear();
        transitionTo(State.EMPTY);
    }

    /** The last change of a term that is applied; 0 if none is. */
    public long appliedSequence(long queriedTerm) {
        return queriedTerm == term ? appliedSequence : 0;
    }

    /** Returns the shards that were found to have diverged since the last call. */
    public Set<Integer> drainDivergedShards() {
        Set<Integer> diverged = new TreeSet<>(divergedShards);
        divergedShards.clear();
        return diverged;
    }

    /** The state, given that a silent leader has probably more to send. */
    public State state(double nowSeconds) {
        if (state == State.IN_SYNC
                && nowSeconds > lastUpdateAtSeconds + LEADER_SILENCE_TIMEOUT_SECONDS) {
            transitionTo(State.LAGGING);
        }
        return state;
    }

    /** Whether all changes are applied that the leader had at its last update. */
    public boolean isComplete() {
        return complete;
    }

    /** The machines, with times on this controller's clock. */
    public Collection<ReplicatedMachine> machines() {
        List<ReplicatedMachine> adjusted = new ArrayList<>(machines.size());
        machines.values().forEach(machine -> adjusted.add(machine.shiftedBy(clockOffsetSeconds)));
        return adjusted;
    }

    /** Number of machines. */
    public int size() {
        return machines.size();
    }

    /** Number of shards that had diverged and were repaired. */
    public long repairedShardCount() {
        return repairedShardCount;
    }

    /** Seconds since the last update. */
    public double lagSeconds(double nowSeconds) {
        return nowSeconds - lastUpdateAtSeconds;
    }
}
