package io.kelphoist.controller;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.metrics.ControllerCounters;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/**
 * The event loop on an XNIO I/O thread. A {@code RuntimeException} of a task is logged and counted,
 * and does not end the loop.
 */
final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);
    private static final double SECONDS_PER_NANO = 1e-9;
    private static final int MILLIS_PER_SECOND = 1000;

    private final XnioIoThread ioThread;
    private final ControllerCounters counters;

    XnioEventLoop(XnioIoThread ioThread, ControllerCounters counters) {
        this.ioThread = ioThread;
        this.counters = counters;
    }

    /**
     * Returns the time of a monotonic clock that all threads of this process share. May be called
     * on any thread.
     */
    @Override
    public double nowSeconds() {
        return System.nanoTime() * SECONDS_PER_NANO;
    }

    /** Runs a task on the I/O thread after a delay in whole milliseconds, at least one. */
    @Override
    public void schedule(double delaySeconds, Runnable task) {
        long delayMillis = Math.max(1, Math.round(delaySeconds * MILLIS_PER_SECOND));
        try {
            ioThread.executeAfter(() -> runGuarded(task), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("task dropped because the event loop is stopping");
        }
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            counters.onUnexpectedError();
            LOG.error("unexpected error in a task of the event loop", e);
        }
    }
}
