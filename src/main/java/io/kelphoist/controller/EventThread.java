package io.kelphoist.controller;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The thread that owns the event broker and delivers events to streams. Any thread may submit
 * tasks; the data that a task carries must be immutable.
 */
final class EventThread {
    private static final Logger LOG = LoggerFactory.getLogger(EventThread.class);

    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    runnable -> {
                        Thread thread = new Thread(runnable, "events");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** The thread as an executor, which does not log the exceptions of its tasks. */
    ScheduledExecutorService executor() {
        return executor;
    }

    /** Runs a task on the thread and logs its exception, if any. Ignored after {@link #close}. */
    void run(Runnable task) {
        try {
            executor.execute(() -> runGuarded(task));
        } catch (RejectedExecutionException e) {
            LOG.debug("task dropped because the event thread is stopping");
        }
    }

    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("unexpected error in a task of the event thread", e);
        }
    }

    /** Stops the thread once it has run the submitted tasks. */
    void close() {
        executor.shutdown();
    }
}
