package io.kelphoist.controller;

import io.kelphoist.eventloop.EventLoop;

/**
 * Schedules the controller's ticks: periodically, and soon after input. Input often comes in
 * bursts, and one tick handles a whole burst. Ticks that were missed while the process was paused
 * run once. The delay of the periodic ticks shows whether the event loop is overloaded. Runs on the
 * event loop.
 */
final class TickScheduler {
    private static final double TICK_INTERVAL_SECONDS = 0.2;

    /** Shortest delay of a requested tick, so that it handles a whole burst of inputs. */
    private static final double INPUT_BATCH_SECONDS = 0.015;

    /**
     * After a scheduling decision, ticks that are requested by input wait for this multiple of the
     * decision's duration, in which the event loop does other work.
     */
    private static final double DECISION_PAUSE_FACTOR = 4;

    /** Above this delay users' queries are deferred, so that heartbeats and writes go first. */
    private static final double OVERLOAD_DELAY_SECONDS = 0.6;

    private final EventLoop eventLoop;
    private Runnable onTick = () -> {};
    private boolean tickRequested;

    /** Earliest time of a requested tick, on the event loop's clock; periodic ticks ignore it. */
    private double nextRequestedTickAtSeconds;

    private double dueAtSeconds = Double.POSITIVE_INFINITY;
    private double delaySeconds;

    TickScheduler(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Runs the first tick now, and from then on one per interval. Called once. */
    void start(Runnable onTick) {
        this.onTick = onTick;
        tickPeriodically();
    }

    private void tickPeriodically() {
        double nowSeconds = eventLoop.nowSeconds();
        delaySeconds = Math.max(0, nowSeconds - dueAtSeconds);
        dueAtSeconds = nowSeconds + TICK_INTERVAL_SECONDS;
        eventLoop.schedule(TICK_INTERVAL_SECONDS, this::tickPeriodically);
        onTick.run();
    }

    /** Requests a tick soon, because there is new input. Ignored if a request is pending. */
    void requestTick() {
        if (tickRequested) {
            return;
        }
        tickRequested = true;
        eventLoop.schedule(
                Math.max(INPUT_BATCH_SECONDS, nextRequestedTickAtSeconds - eventLoop.nowSeconds()),
                () -> {
                    tickRequested = false;
                    onTick.run();
                });
    }

    /**
     * Postpones the next requested tick after a scheduling decision. Decisions over a large fleet
     * take long, above all in a process that has just started, and heartbeats must not wait for
     * several decisions in a row.
     */
    void onDecided(double durationSeconds, double nowSeconds) {
        nextRequestedTickAtSeconds = nowSeconds + DECISION_PAUSE_FACTOR * durationSeconds;
    }

    /** Delay of the last periodic tick after its due time, in seconds. */
    double delaySeconds() {
        return delaySeconds;
    }

    /** Whether the event loop is so far behind that users' queries must be deferred. */
    boolean isOverloaded() {
        return delaySeconds > OVERLOAD_DELAY_SECONDS;
    }
}
