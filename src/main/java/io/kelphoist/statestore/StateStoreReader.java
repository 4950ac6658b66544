package io.kelphoist.statestore;

import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredChanges;
import io.kelphoist.statestore.protocol.StoredRecord;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Reads from the state store. Each callback runs once, on the event loop, possibly before the call
 * returns.
 */
public interface StateStoreReader {
    /** Reads one key. The result is rejected as {@code NOT_FOUND} if the key does not exist. */
    void get(String key, Consumer<StateStoreResult<StoredRecord>> callback);

    /** Reads all records below a prefix. The result is empty if they can't be read. */
    void readAll(String prefix, Consumer<Optional<StateSnapshot>> callback);

    /**
     * Reads the changes below a prefix after a revision, without waiting for a change. The result
     * is rejected as {@code COMPACTED} if the store no longer has all of them.
     */
    void changesSince(
            String prefix, long afterRevision, Consumer<StateStoreResult<StoredChanges>> callback);
}
