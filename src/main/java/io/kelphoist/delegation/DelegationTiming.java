package io.kelphoist.delegation;

import io.kelphoist.model.SchedulingPolicy;

/**
 * Durations of lease delegation, derived from the platform's settings and therefore equal on all
 * controllers of a deployment.
 *
 * <p>Users may be told of a cancellation right after the last moment up to which the leader knows
 * all cancellations, and its tasks must be gone {@code cancel_s} later. A lease that is renewed
 * under a delegation must have expired by then. A delegation therefore lasts for {@code cancel_s},
 * less one worker lease, less the error of clocks and timers. Where that leaves too little time,
 * delegation is disabled.
 *
 * @param delegationSeconds duration of a delegation; 0 if delegation is disabled
 * @param renewalWindowSeconds how long after the last moment up to which all cancellations are
 *     known leases may be renewed and tasks started, by the leader as well
 * @param leaderSilenceSeconds how long a controller must not have heard the leader before it renews
 *     leases under a delegation
 */
public record DelegationTiming(
        double delegationSeconds, double renewalWindowSeconds, double leaderSilenceSeconds) {
    /** Covers the granularity of timers and the delay until a worker kills its tasks. */
    private static final double TIMER_MARGIN_SECONDS = 0.6;

    /** Several times the interval between two grant requests of a leader. */
    private static final double LEADER_SILENCE_SECONDS = 1.5;

    /** A delegation that hardly outlasts the wait for the leader's silence would renew nothing. */
    private static final double MIN_DELEGATION_SECONDS = 2 * LEADER_SILENCE_SECONDS;

    /**
     * Lower bound of the renewal window. Where {@code cancel_s} is hardly longer than a lease, a
     * shorter window would end all leases even without any failure, because a watch request is held
     * open for a second. Such settings leave no way to meet the cancellation deadline.
     */
    private static final double MIN_RENEWAL_WINDOW_SECONDS = 2;

    /**
     * Derives the durations from the settings.
     *
     * @param cancelSeconds time from a cancellation until all tasks of the job must be gone
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
     * Whether leases may be renewed and tasks started: any cancellation that is still unknown is
     * younger than the renewal window.
     *
     * @param knownUntilSeconds the moment up to which all cancellations are known
     * @param nowSeconds the same monotonic clock
     */
    public boolean allowsRenewal(double knownUntilSeconds, double nowSeconds) {
        return nowSeconds
                < knownUntilSeconds
                        + renewalWindowSeconds * (1 - 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO);
    }
}
