package io.kelphoist.statestore;

import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.VersionCondition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Writes that share one transaction.
 *
 * <p>A batch always takes its first write, whatever its size; further ones only within the limits
 * of a transaction, and only if they neither change the same keys nor contradict a condition.
 */
final class WriteBatch {
    private static final int MAX_BYTES = 48 * 1024;

    /** Conditions that a transaction may have for each change that it may have. */
    private static final int MAX_CONDITIONS_PER_MUTATION = 4;

    private final int maxWrites;
    private final int maxMutations;
    private final List<GroupCommitter.Write> writes = new ArrayList<>();
    private final Set<String> mutatedKeys = new HashSet<>();
    private final Map<String, Long> expectedVersions = new HashMap<>();
    private int mutationCount;
    private int totalBytes;

    /**
     * Creates an empty batch.
     *
     * @param maxWrites writes per transaction
     * @param maxChanges changes per transaction that the store allows
     */
    WriteBatch(int maxWrites, int maxChanges) {
        this.maxWrites = maxWrites;
        this.maxMutations = maxChanges;
    }

    /** Adds a write; false if the batch is complete without it. No more may be added then. */
    boolean tryAdd(GroupCommitter.Write write) {
        mutationCount += write.mutations().size();
        totalBytes += write.sizeBytes();
        if (!writes.isEmpty() && (exceedsLimits() || conflictsWith(write))) {
            return false;
        }
        write.mutations().forEach(change -> mutatedKeys.add(change.key()));
        write.conditions()
                .forEach(condition -> expectedVersions.put(condition.key(), condition.version()));
        if (!writes.isEmpty()
                && expectedVersions.size() > maxMutations * MAX_CONDITIONS_PER_MUTATION) {
            return false;
        }
        writes.add(write);
        return true;
    }

    List<GroupCommitter.Write> writes() {
        return writes;
    }

    /** Conditions of all writes, each key once. */
    static List<VersionCondition> conditionsOf(List<GroupCommitter.Write> writes) {
        Map<String, VersionCondition> conditions = new LinkedHashMap<>();
        for (GroupCommitter.Write write : writes) {
            write.conditions().forEach(condition -> conditions.put(condition.key(), condition));
        }
        return List.copyOf(conditions.values());
    }

    /** Changes of all writes. */
    static List<RecordMutation> mutationsOf(List<GroupCommitter.Write> writes) {
        List<RecordMutation> changes = new ArrayList<>();
        for (GroupCommitter.Write write : writes) {
            changes.addAll(write.mutations());
        }
        return changes;
    }

    private boolean exceedsLimits() {
        return writes.size() >= maxWrites || mutationCount > maxMutations || totalBytes > MAX_BYTES;
    }

    private boolean conflictsWith(GroupCommitter.Write write) {
        for (RecordMutation change : write.mutations()) {
            if (mutatedKeys.contains(change.key())) {
                return true;
            }
        }
        for (VersionCondition condition : write.conditions()) {
            Long expected = expectedVersions.get(condition.key());
            if (expected != null && expected != condition.version()) {
                return true;
            }
        }
        return false;
    }
}
