package io.kelphoist.client;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;

/**
 * Exponential backoff with jitter: computes the delay before the next attempt of a call. Owns the
 * number of consecutive failures. Not thread-safe.
 */
public final class RetryBackoff {
    private static final double INITIAL_DELAY_SECONDS = 0.1;
    private static final double MAX_DELAY_SECONDS = 10;

    /** The share of the delay that is not random. */
    private static final double FIXED_SHARE = 0.5;

    private final DoubleSupplier random;
    private int failureCount;

    /** Creates a backoff with random jitter. */
    public RetryBackoff() {
        this(() -> ThreadLocalRandom.current().nextDouble());
    }

    /**
     * Creates a backoff with a given source of jitter.
     *
     * @param random returns uniformly distributed values from 0, inclusive, to 1, exclusive
     */
    RetryBackoff(DoubleSupplier random) {
        this.random = random;
    }

    /** Resets the delay to the initial one, as an attempt has succeeded. */
    public void onSuccess() {
        failureCount = 0;
    }

    /** Returns the number of failures since the last success. */
    public int failureCount() {
        return failureCount;
    }

    /**
     * Counts a failure and returns the delay before the next attempt, in seconds: the requested one
     * plus a random one, whose upper bound doubles with each failure from {@value
     * #INITIAL_DELAY_SECONDS} s to {@value #MAX_DELAY_SECONDS} s and whose lower bound is half of
     * that.
     *
     * @param requestedSeconds the minimum delay that the server requested; 0 if it requested none
     */
    public double nextDelaySeconds(double requestedSeconds) {
        double delayLimitSeconds =
                Math.min(MAX_DELAY_SECONDS, INITIAL_DELAY_SECONDS * Math.pow(2, failureCount));
        failureCount++;
        double jitter = FIXED_SHARE + (1 - FIXED_SHARE) * random.getAsDouble();
        return requestedSeconds + delayLimitSeconds * jitter;
    }
}
