package io.kelphoist.delegation;

/**
 * The status that a controller reports in its response to a grant request. Times are in seconds.
 *
 * @param incarnation identifies the process of the controller
 * @param clockSeconds current value of the controller's monotonic clock
 * @param uptimeSeconds time since the process started
 * @param sinceRenewalSeconds time since it last renewed a lease under a delegation; infinite if
 *     this process never did
 * @param sequenceNumber sequence number of the newest offer of the requesting leader's term that
 *     the controller accepted; 0 if there is none
 */
public record PeerStatus(
        long incarnation,
        double clockSeconds,
        double uptimeSeconds,
        double sinceRenewalSeconds,
        long sequenceNumber) {}
