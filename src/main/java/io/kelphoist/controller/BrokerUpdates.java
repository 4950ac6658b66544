package io.kelphoist.controller;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.events.EventBroker;
import io.kelphoist.events.TransientEvent;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Passes updates from the event loop to the event broker, which runs on the event thread. Neither
 * thread waits for the other.
 *
 * <p>Owns the number of pending batches of transient events. The callers keep it bounded: they
 * submit a batch only after {@link #isFull} has returned false. The number of pending updates of
 * stored records is not bounded, as none of them may be lost.
 *
 * <p>The updates read the event loop's clock on the event thread, which {@link
 * XnioEventLoop#nowSeconds} allows.
 */
final class BrokerUpdates {
    /** Number of pending batches of transient events from which on {@link #isFull} returns true. */
    static final int MAX_PENDING_BATCHES = 32;

    private final EventThread eventThread;
    private final EventBroker broker;
    private final EventLoop loop;
    private final AtomicInteger pendingBatches = new AtomicInteger();

    BrokerUpdates(EventThread eventThread, EventBroker broker, EventLoop loop) {
        this.eventThread = eventThread;
        this.broker = broker;
        this.loop = loop;
    }

    /** Runs a task with the broker on the event thread. */
    void submit(Consumer<EventBroker> brokerTask) {
        eventThread.run(() -> brokerTask.accept(broker));
    }

    /**
     * Whether the event thread is so far behind that the caller must not submit transient events
     * now. This is not enforced here.
     */
    boolean isFull() {
        return pendingBatches.get() >= MAX_PENDING_BATCHES;
    }

    /** Submits transient events that follow those submitted before. */
    void submitEvents(List<TransientEvent> events) {
        submitBatch(broker -> broker.onTransientEvents(events, loop.nowSeconds()));
    }

    /** Submits the latest transient event of each job, which replace those submitted before. */
    void submitEventReset(List<TransientEvent> events) {
        submitBatch(broker -> broker.resetTransientEvents(events, loop.nowSeconds()));
    }

    private void submitBatch(Consumer<EventBroker> brokerTask) {
        pendingBatches.incrementAndGet();
        submit(
                broker -> {
                    pendingBatches.decrementAndGet();
                    brokerTask.accept(broker);
                });
    }
}
