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
     * Runs a task once on the event loop's thread after a delay, never from within this call.
     *
     * @param delaySeconds delay from now; with 0 the task runs soon, as a separate event
     */
    void schedule(double delaySeconds, Runnable task);
}
