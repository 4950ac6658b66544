package io.kelphoist.events;

/**
 * The progress of a subscription: all stored records up to a position have been delivered. A client
 * can resume from it at any controller.
 *
 * @param filterFingerprint {@link SubscriptionFilter#fingerprint} of the subscription's filter
 * @param startRevision the state store's revision at which the subscription started; jobs that had
 *     ended by this revision are not delivered
 * @param position the position up to which stored records have been delivered
 */
public record Cursor(long filterFingerprint, long startRevision, LogPosition position) {}
