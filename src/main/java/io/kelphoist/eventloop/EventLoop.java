package io.kelphoist.eventloop;

/**
 * Clock and timers of the single thread that owns the state of a controller.
 *
 * <p>Components that keep state read the clock and set timers through this interface only, so that
 * tests can run them in virtual time.
 */
public interface EventLoop {
    /**
     * Returns the monotonic clock.
     *
     * @return seconds since an arbitrary origin; never decreases
     */
    double nowSeconds();

    /**
     * Runs a task once on this thread after a delay.
     *
     * @param delaySeconds delay from now
     */
    void schedule(double delaySeconds, Runnable task);
}
