package io.kelphoist.statestore;

import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.VersionCondition;
import java.util.List;
import java.util.function.Consumer;

/** Writes to the state store. */
public interface StateStoreWriter {
    /**
     * Applies all mutations in one transaction if all conditions hold; otherwise the result is
     * rejected as {@code CONDITION_FAILED}. The callback runs once, on the event loop; a success
     * has the revision of the transaction.
     */
    void commit(
            List<VersionCondition> conditions,
            List<RecordMutation> mutations,
            Consumer<StateStoreResult<Long>> callback);
}
