package io.kelphoist.statestore.protocol;

/**
 * A change of a key that the state store reports.
 *
 * @param record the key with its value after the change, without its lease; without a value if the
 *     key was deleted
 */
public record RecordChange(StoredRecord record, boolean deleted) {}
