package io.kelphoist.election;

import io.kelphoist.model.SchedulingPolicy;

/**
 * The grants that this controller gave: promises not to lead until they expire. Only the last one
 * for the newest term, and the last one for any older term, matter.
 */
final class GivenGrants {
    private final double grantSeconds;
    private long newestTerm;
    private double givenAtSeconds;

    /** When the last grant for a term older than {@link #newestTerm} was given. */
    private double givenToOlderTermAtSeconds;

    /**
     * @param startedAtSeconds an earlier process may have given grants until then
     */
    GivenGrants(double grantSeconds, double startedAtSeconds) {
        this.grantSeconds = grantSeconds;
        this.givenAtSeconds = startedAtSeconds;
        this.givenToOlderTermAtSeconds = startedAtSeconds;
    }

    /** The newest term that a grant was given for; 0: none. */
    long newestTerm() {
        return newestTerm;
    }

    void give(long term, double nowSeconds) {
        if (term > newestTerm) {
            givenToOlderTermAtSeconds = givenAtSeconds;
            newestTerm = term;
        }
        givenAtSeconds = nowSeconds;
    }

    /** The leader of a term acts no more: a grant for it is void, one for an older term is not. */
    void onTermEnded(long endedTerm) {
        if (endedTerm == newestTerm) {
            givenAtSeconds = givenToOlderTermAtSeconds;
        }
    }

    /** Whether the last grant has surely expired, however the clocks drift. */
    boolean haveExpired(double nowSeconds) {
        return nowSeconds
                > givenAtSeconds
                        + grantSeconds * (1 + 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO)
                        + Election.SAFETY_MARGIN_SECONDS;
    }
}
