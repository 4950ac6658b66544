package io.kelphoist.statestore;

/**
 * Limits a rate with a token bucket. The caller passes the time, in seconds of a monotonic clock.
 * Not thread-safe.
 */
public final class TokenBucket {
    private final double tokensPerSecond;
    private final double capacity;

    /**
     * Negative after more tokens were taken than were available: unconditionally, or more than the
     * capacity at once.
     */
    private double availableTokens;

    private double refilledAtSeconds;
    private double blockedUntilSeconds;

    /**
     * Creates a full bucket.
     *
     * @param burstSeconds the bucket's capacity as a time: it holds as many tokens as are added in
     *     this time, but at least one
     */
    public TokenBucket(double tokensPerSecond, double burstSeconds) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = Math.max(1, tokensPerSecond * burstSeconds);
        this.availableTokens = capacity;
    }

    /**
     * Takes tokens if they are available, and returns whether it took them. More tokens than the
     * bucket's capacity are granted when the bucket is full; the number of available tokens is then
     * negative.
     */
    public boolean tryAcquire(double tokens, double nowSeconds) {
        refill(nowSeconds);
        if (nowSeconds < blockedUntilSeconds || availableTokens < Math.min(tokens, capacity)) {
            return false;
        }
        availableTokens -= tokens;
        return true;
    }

    /**
     * Returns the seconds until {@link #tryAcquire} can take this many tokens if no others are
     * taken; zero or negative if it can now.
     */
    public double secondsUntilAvailable(double tokens, double nowSeconds) {
        refill(nowSeconds);
        double secondsBlocked = Math.max(0, blockedUntilSeconds - nowSeconds);
        double secondsToRefill = (Math.min(tokens, capacity) - availableTokens) / tokensPerSecond;
        return Math.max(secondsBlocked, secondsToRefill);
    }

    /** Takes tokens whether they are available or not, for requests that must not wait. */
    public void acquireUnconditionally(double tokens, double nowSeconds) {
        refill(nowSeconds);
        availableTokens -= tokens;
    }

    /**
     * Makes {@link #tryAcquire} fail for at least this long, after the server has rejected a
     * request.
     */
    public void blockFor(double seconds, double nowSeconds) {
        blockedUntilSeconds = Math.max(blockedUntilSeconds, nowSeconds + seconds);
    }

    private void refill(double nowSeconds) {
        double elapsedSeconds = Math.max(0, nowSeconds - refilledAtSeconds);
        availableTokens = Math.min(capacity, availableTokens + elapsedSeconds * tokensPerSecond);
        refilledAtSeconds = nowSeconds;
    }
}
