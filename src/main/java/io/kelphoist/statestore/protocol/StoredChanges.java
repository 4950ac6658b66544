package io.kelphoist.statestore.protocol;

import java.util.List;

/**
 * The changes below a prefix after the revision of the request.
 *
 * @param changes oldest first
 * @param revision revision up to which the changes are complete; {@link #REVISION_NOT_STATED} if
 *     the response does not state it
 */
public record StoredChanges(List<RecordChange> changes, long revision) {
    /** Lower than every revision, so that the maximum of it and a revision is that revision. */
    public static final long REVISION_NOT_STATED = Long.MIN_VALUE;
}
