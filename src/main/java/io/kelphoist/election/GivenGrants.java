package io.kelphoist.election;

import io.kelphoist.model.SchedulingPolicy;

/**
 * The grants that this controller gave to leaders: promises not to lead until they expire. Only two
 * grants are recorded: the last one for the newest term, and the last one for any older term. Their
 * times are in seconds of this controller's monotonic clock.
 */
final class GivenGrants {
    private final double grantSeconds;
    private long newestTerm;
    private double lastGrantAtSeconds;

    /** Time of the last grant for a term older than {@link #newestTerm}, or the start time. */
    private double lastOlderTermGrantAtSeconds;

    /**
     * Creates the record of grants of a new process.
     *
     * @param startedAtSeconds when this process started. An earlier process of this controller may
     *     have given grants until then, so a grant is assumed to have been given at this time
     */
    GivenGrants(double grantSeconds, double startedAtSeconds) {
        this.grantSeconds = grantSeconds;
        this.lastGrantAtSeconds = startedAtSeconds;
        this.lastOlderTermGrantAtSeconds = startedAtSeconds;
    }

    /** Returns the newest term for which this process gave a grant; 0 if it gave none. */
    long newestTerm() {
        return newestTerm;
    }

    /** Records a grant that is given now to the leader of a term. */
    void recordGrant(long term, double nowSeconds) {
        if (term > newestTerm) {
            lastOlderTermGrantAtSeconds = lastGrantAtSeconds;
            newestTerm = term;
        }
        lastGrantAtSeconds = nowSeconds;
    }

    /**
     * Voids the grants for a term whose leader has stopped acting. Grants for older terms remain
     * valid until they expire. Has no effect unless it is the newest term with a grant.
     */
    void onTermEnded(long endedTerm) {
        if (endedTerm == newestTerm) {
            lastGrantAtSeconds = lastOlderTermGrantAtSeconds;
        }
    }

    /**
     * Whether the last grant that was not voided has expired by the receiver's clock too, even at
     * the maximum clock drift.
     */
    boolean haveExpired(double nowSeconds) {
        return nowSeconds
                > lastGrantAtSeconds
                        + grantSeconds * (1 + 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO)
                        + Election.SAFETY_MARGIN_SECONDS;
    }
}
