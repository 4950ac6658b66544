package io.kelphoist.statestore.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key and its value in the state store.
 *
 * @param value the stored value, which {@link RecordCodec} decodes; a missing node if the response
 *     has no value
 * @param version revision of the last change of this key
 * @param leaseId the lease that the key is attached to; {@link #LEASE_NOT_STATED} if the response
 *     does not name one
 */
public record StoredRecord(String key, JsonNode value, long version, long leaseId) {
    /** Lease id of a record whose response did not have a lease id. */
    public static final long LEASE_NOT_STATED = -1;

    /** Creates a record whose lease is not known. */
    public StoredRecord(String key, JsonNode value, long version) {
        this(key, value, version, LEASE_NOT_STATED);
    }

    /** Returns whether the record is attached to a lease that the response named. */
    public boolean hasLease() {
        return leaseId > 0;
    }
}
