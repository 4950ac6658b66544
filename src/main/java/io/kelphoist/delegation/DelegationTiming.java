package io.kelphoist.delegation;

import io.kelphoist.model.SchedulingPolicy;

/**
 * Durations of lease delegation, derived from the platform's settings and therefore equal on all
 * controllers of a deployment.
 *
 * <p>A cancellation may be acknowledged to a user right after the leader's cancellation watermark,
 * the time up to which the leader has received all acknowledged cancellations. The tasks of the job
 * must have stopped {@code cancel_s} later. A lease that is renewed under a delegation must have
 * expired by then. A delegation therefore lasts for {@code cancel_s}, less one worker lease, less
 * the error of clocks and timers. If the remaining time is too short, delegation is disabled.
 *
 * @param delegationSeconds duration of a delegation; 0 if delegation is disabled
 * @param renewalWindowSeconds how long after the cancellation watermark the leader may renew leases
 *     and start tasks. A delegation starts at the watermark at the latest and lasts no longer than
 *     this, so that delegates renew no lease later either
 * @param leaderSilenceSeconds how long a controller must have received no message of the leader
 *     before it renews leases under a delegation
 */
public record DelegationTiming(
        double delegationSeconds, double renewalWindowSeconds, double leaderSilenceSeconds) {
    /** Allows for the granularity of timers and the delay until a worker kills its tasks. */
    private static final double TIMER_MARGIN_SECONDS = 0.6;

    /** Several times the interval at which a leader sends grant requests. */
    private static final double LEADER_SILENCE_SECONDS = 1.5;

    /**
     * A delegation that is barely longer than the leader silence would expire before it could renew
     * a lease.
     */
    private static final double MIN_DELEGATION_SECONDS = 2 * LEADER_SILENCE_SECONDS;

    /**
     * Lower bound of the renewal window. The watermark lags even without any failure, because a
     * watch request is held open for a second. If {@code cancel_s} is barely longer than a lease, a
     * shorter window would let all leases expire even then. With such settings the cancellation
     * deadline cannot be guaranteed.
     */
    private static final double MIN_RENEWAL_WINDOW_SECONDS = 2;

    /**
     * Derives the durations from the settings.
     *
     * @param cancelSeconds time from a cancellation until all tasks of the job must have stopped
     * @param leaseSeconds duration of a worker's lease
     */
    public static DelegationTiming of(double cancelSeconds, double leaseSeconds) {
        double remainingSeconds =
                (cancelSeconds
                                - leaseSeconds * (1 + 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO)
                                - TIMER_MARGIN_SECONDS)
                        * (1 - 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO);
        return new DelegationTiming(
                remainingSeconds < MIN_DELEGATION_SECONDS ? 0 : remainingSeconds,
                Math.max(MIN_RENEWAL_WINDOW_SECONDS, remainingSeconds),
                LEADER_SILENCE_SECONDS);
    }

    /** Whether the settings leave enough time for delegations. */
    public boolean isEnabled() {
        return delegationSeconds > 0;
    }

    /**
     * Whether leases may be renewed and tasks started: any acknowledged cancellation that has not
     * been received yet is younger than the renewal window.
     *
     * @param watermarkSeconds the cancellation watermark: all cancellations acknowledged before
     *     this time have been received
     * @param nowSeconds the current time of the same monotonic clock
     */
    public boolean allowsRenewal(double watermarkSeconds, double nowSeconds) {
        return nowSeconds
                < watermarkSeconds
                        + renewalWindowSeconds * (1 - 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO);
    }
}
