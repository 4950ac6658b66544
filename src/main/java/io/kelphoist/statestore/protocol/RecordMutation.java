package io.kelphoist.statestore.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MessageEncoding;

/**
 * A mutation in a transaction: stores a value under a key, or deletes the key.
 *
 * @param value the value to store; null to delete the key
 * @param leaseId the lease that the key is attached to, so that the store deletes the key when the
 *     lease expires or is revoked; {@link #NO_LEASE} for none
 */
public record RecordMutation(String key, ObjectNode value, long leaseId) {
    /** Lease id of a mutation that attaches the key to no lease. */
    public static final long NO_LEASE = 0;

    /** Creates a mutation that stores a value without a lease. */
    public RecordMutation(String key, ObjectNode value) {
        this(key, value, NO_LEASE);
    }

    /** Returns the mutation that deletes a key. */
    public static RecordMutation deletion(String key) {
        return new RecordMutation(key, null, NO_LEASE);
    }

    /** Returns whether the mutation deletes the key. */
    public boolean isDeletion() {
        return value == null;
    }

    /**
     * Returns the size of the value's JSON encoding in bytes; for a deletion that of a JSON null.
     * Each call encodes the value.
     */
    public int valueBytes() {
        return MessageEncoding.encodeJson(value).length;
    }
}
