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
 * <p>The first write is always added, regardless of its size. Further writes are added only within
 * the limits of a transaction, and only if they neither mutate a key that the batch mutates nor
 * expect another version of a key than the batch does.
 */
final class WriteBatch {
    /** Maximum sum of {@link GroupCommitter.Write#sizeBytes} in a batch of several writes. */
    private static final int MAX_BYTES = 48 * 1024;

    /** Maximum number of conditions per transaction, as a multiple of that of mutations. */
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
     * @param maxWrites maximum number of writes per transaction
     * @param maxMutations maximum number of mutations per transaction that the store allows
     */
    WriteBatch(int maxWrites, int maxMutations) {
        this.maxWrites = maxWrites;
        this.maxMutations = maxMutations;
    }

    /**
     * Adds a write. Returns false if the write was not added, after which no other may be added.
     */
    boolean tryAdd(GroupCommitter.Write write) {
        mutationCount += write.mutations().size();
        totalBytes += write.sizeBytes();
        if (!writes.isEmpty() && (exceedsLimits() || conflictsWith(write))) {
            return false;
        }
        write.mutations().forEach(mutation -> mutatedKeys.add(mutation.key()));
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

    /** Returns the conditions of all writes, one for each key. */
    static List<VersionCondition> conditionsOf(List<GroupCommitter.Write> writes) {
        Map<String, VersionCondition> conditions = new LinkedHashMap<>();
        for (GroupCommitter.Write write : writes) {
            write.conditions().forEach(condition -> conditions.put(condition.key(), condition));
        }
        return List.copyOf(conditions.values());
    }

    /** Returns the mutations of all writes. */
    static List<RecordMutation> mutationsOf(List<GroupCommitter.Write> writes) {
        List<RecordMutation> mutations = new ArrayList<>();
        for (GroupCommitter.Write write : writes) {
            mutations.addAll(write.mutations());
        }
        return mutations;
    }

    private boolean exceedsLimits() {
        return writes.size() >= maxWrites || mutationCount > maxMutations || totalBytes > MAX_BYTES;
    }

    private boolean conflictsWith(GroupCommitter.Write write) {
        for (RecordMutation mutation : write.mutations()) {
            if (mutatedKeys.contains(mutation.key())) {
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
