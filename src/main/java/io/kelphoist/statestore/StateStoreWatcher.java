package io.kelphoist.statestore;

import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredChanges;
import java.util.function.Consumer;

/** Reads from the state store, with requests that wait for changes. */
public interface StateStoreWatcher extends StateStoreReader {
    /**
     * Waits for changes below a prefix after a revision. The store responds at once if it has any
     * already, otherwise when there is a change or, with an empty list, when the hold time has
     * expired. The result is rejected as {@code COMPACTED} if the store no longer has all changes.
     *
     * @param holdMillis maximum time that the store holds the request
     */
    void awaitChanges(
            String prefix,
            long afterRevision,
            int holdMillis,
            Consumer<StateStoreResult<StoredChanges>> callback);
}
