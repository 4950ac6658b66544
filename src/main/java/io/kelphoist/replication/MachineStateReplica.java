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
 * The follower's side of the replication of machine state: the leader's machines as of the last
 * update that was applied. A new leader uses the replica as a hint only, so a replica that is
 * wrong, outdated or missing makes failover slower but has no other effect. Owns the replicated
 * machines. Performs no I/O. Not thread-safe.
 */
public final class MachineStateReplica {
    /** State of the replica; only {@link #transitionTo} changes it. */
    public enum State {
        /** No update has arrived since this process started or since {@link #reset}. */
        EMPTY,
        /** The first updates of a new leader are being applied; changes are still missing. */
        SYNCING,
        /** All changes that the leader had recorded when it sent its last update are applied. */
        IN_SYNC,
        /**
         * The replica was in sync, but changes are missing, or the leader has not sent an update
         * for some seconds.
         */
        LAGGING
    }

    private static final Logger LOG = LoggerFactory.getLogger(MachineStateReplica.class);

    /**
     * More than twice the interval between updates, which is 0.75 seconds at the default duration
     * of a grant.
     */
    private static final double LEADER_SILENCE_TIMEOUT_SECONDS = 2.0;

    /**
     * Maximum number of machines in the replica. An update that could exceed it is not applied,
     * which bounds the memory of the smallest controllers.
     */
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

    /** How far this controller's clock was ahead of the leader's clock at the last update. */
    private double clockOffsetSeconds;

    private void transitionTo(State next) {
        if (state != next) {
            LOG.debug("machine replica state changed: from={} to={}", state, next);
            state = next;
        }
    }

    /**
     * Applies an update. An update of an older term is ignored. The first update of a newer term,
     * or one with which the leader restarts from an empty replica, clears the replica first. The
     * changes are not applied if earlier ones are missing or the replica could become too large.
     *
     * @param nowSeconds current time of this controller's monotonic clock
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
            // The leader continues after the sequence number in the acknowledgement.
            complete = false;
            transitionTo(state == State.SYNCING ? State.SYNCING : State.LAGGING);
        }
    }

    /** Returns the state after an update that was applied but did not include all changes. */
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
        List<String> presentNames =
                machines.keySet().stream()
                        .filter(name -> MachineStateDigests.shardOf(name) == shard)
                        .toList();
        presentNames.forEach(this::remove);
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

    /** Clears the replica, because this controller is the leader now and has the original state. */
    public void reset() {
        clear();
        transitionTo(State.EMPTY);
    }

    /**
     * Returns the sequence number of the last applied change of a term; 0 if no change of that term
     * is applied.
     */
    public long appliedSequence(long queriedTerm) {
        return queriedTerm == term ? appliedSequence : 0;
    }

    /** Returns and clears the shards that were found to have diverged since the last call. */
    public Set<Integer> drainDivergedShards() {
        Set<Integer> diverged = new TreeSet<>(divergedShards);
        divergedShards.clear();
        return diverged;
    }

    /**
     * Returns the state. A replica that was in sync lags once the leader has been silent for some
     * seconds, because the leader probably has changes that did not arrive.
     */
    public State state(double nowSeconds) {
        if (state == State.IN_SYNC
                && nowSeconds > lastUpdateAtSeconds + LEADER_SILENCE_TIMEOUT_SECONDS) {
            transitionTo(State.LAGGING);
        }
        return state;
    }

    /**
     * Returns whether all changes that the leader had recorded at its last update are applied.
     * False before the first update and after {@link #reset}.
     */
    public boolean isComplete() {
        return complete;
    }

    /** Returns the machines, with their times converted to this controller's clock. */
    public Collection<ReplicatedMachine> machines() {
        List<ReplicatedMachine> adjusted = new ArrayList<>(machines.size());
        machines.values().forEach(machine -> adjusted.add(machine.shiftedBy(clockOffsetSeconds)));
        return adjusted;
    }

    /** Returns the number of machines. */
    public int size() {
        return machines.size();
    }

    /** Returns how many times a diverged shard was repaired since this process started. */
    public long repairedShardCount() {
        return repairedShardCount;
    }

    /**
     * Returns the seconds since the last update arrived, also one whose changes could not be
     * applied; infinite if none has arrived since this process started.
     */
    public double lagSeconds(double nowSeconds) {
        return nowSeconds - lastUpdateAtSeconds;
    }
}
