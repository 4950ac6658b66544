package io.kelphoist.statestore;

/**
 * Token bucket that limits a rate. Time is passed in, in seconds of the monotonic clock.
 *
 * <p>Owns its tokens. Not thread safe.
 */
public final class TokenBucket {
    private final double tokensPerSecond;
    private final double capacity;

    /** Negative after permits were taken unconditionally. */
    private double availableTokens;

    private double refilledAtSeconds;
    private double blockedUntilSeconds;

    /**
     * Creates a full bucket.
     *
     * @param burstSeconds the bucket holds the permits of this many seconds, at least one
     */
    public TokenBucket(double permitsPerSecond, double burstSeconds) {
        this.tokensPerSecond = permitsPerSecond;
        this.capacity = Math.max(1, permitsPerSecond * burstSeconds);
        this.availableTokens = capacity;
    }

    /**
     * Takes permits if they are available. A request for more permits than the bucket can hold is
     * granted when the bucket is full.
     */
    public boolean tryAcquire(double permits, double nowSeconds) {
        refill(nowSeconds);
        if (nowSeconds < blockedUntilSeconds || availableTokens < Math.min(permits, capacity)) {
            return false;
        }
        availableTokens -= permits;
        return true;
    }

    /** Returns the seconds until the permits are available; not positive if they are now. */
    public double secondsUntilAvailable(double permits, double nowSeconds) {
        refill(nowSeconds);
        double secondsBlocked = Math.max(0, blockedUntilSeconds - nowSeconds);
        double secondsToRefill = (Math.min(permits, capacity) - availableTokens) / tokensPerSecond;
        return Math.max(secondsBlocked, secondsToRefill);
    }

    /** Takes permits whether they are available or not, for work that must not wait. */
    public void acquireUnconditionally(double permits, double nowSeconds) {
        refill(nowSeconds);
        availableTokens -= permits;
    }

    /** Grants no permits for a while, after the other side refused a request. */
    public void blockFor(double seconds, double nowSeconds) {
        blockedUntilSeconds = Math.max(blockedUntilSeconds, nowSeconds + seconds);
    }

    private void refill(double nowSeconds) {
        double elapsedSeconds = Math.max(0, nowSeconds - refilledAtSeconds);
        availableTokens = Math.min(capacity, availableTokens + elapsedSeconds * tokensPerSecond);
        refilledAtSeconds = nowSeconds;
    }
}
