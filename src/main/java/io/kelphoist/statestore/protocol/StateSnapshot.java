package io.kelphoist.statestore.protocol;

import java.util.List;

/**
 * All records below a prefix.
 *
 * @param records ordered by key
 * @param revision revision up to which the records include all changes; a record that changed while
 *     later pages were read may be newer
 */
public record StateSnapshot(List<StoredRecord> records, long revision) {}
