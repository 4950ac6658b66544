package io.kelphoist.care;

import io.kelphoist.core.Policy;

/**
 * What the settings leave for caretaking, the same for all controllers of a deployment.
 *
 * <p>A lease that a caretaker renews must be over within {@code cancel_s} of the last moment up to which the leader knew
 * all cancellations: a user may have been told of one right after it. So a mandate lasts as long as a cancellation has,
 * less a lease, less what clocks and timers may differ. Where that leaves too little there is none.
 *
 * @param mandateS how long a mandate lasts, in seconds; 0: there is none
 * @param quietS a controller hears nothing of the leader for so long before it takes care of anybody
 */
public record Care(double mandateS, double quietS) {
    /** Timers fire in steps, and a worker kills its tasks a moment after its lease is over. */
    private static final double MARGIN_S = 0.6;
    /** Several times as long as between two requests of the leader. */
    private static final double QUIET_S = 1.5;
    /** A mandate that is hardly longer than the wait before it would renew nothing. */
    private static final double LEAST_S = 2 * QUIET_S;
    private static final Care NONE = new Care(0, QUIET_S);

    /** @param cancelS how long after a cancellation all tasks must be gone; {@code leaseS} of a worker */
    public static Care of(double cancelS, double leaseS) {
        double left = (cancelS - leaseS * (1 + 2 * Policy.DRIFT) - MARGIN_S) * (1 - 2 * Policy.DRIFT);
        return left < LEAST_S ? NONE : new Care(left, QUIET_S);
    }

    public boolean any() {
        return mandateS > 0;
    }
}
