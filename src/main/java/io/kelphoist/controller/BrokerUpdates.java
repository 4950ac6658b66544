package io.kelphoist.controller;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.events.EventBroker;
import io.kelphoist.events.TransientEvent;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Passes updates from the event loop to the event broker, which runs on the event thread. Neither
 * thread waits for the other. Owns the number of pending batches of transient events, which is
 * bounded; the number of pending updates of stored records is not, as none of them may be lost.
 */
final class BrokerUpdates {
    /** Number of batches of transient events waiting for the event thread at which it is full. */
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

    /** Runs an update of the broker on the event thread. */
    void submit(Consumer<EventBroker> update) {
        eventThread.run(() -> update.accept(broker));
    }

    /** Whether the event thread is so far behind that no transient events may be submitted. */
    boolean isFull() {
        return pendingBatches.get() >= MAX_PENDING_BATCHES;
    }

    /** Submits transient events that follow those submitted before. */
    void submitEvents(List<TransientEvent> events) {
        submitBatch(target -> target.onTransientEvents(events, loop.nowSeconds()));
    }

    /** Submits the latest transient event of each job, which replace those submitted before. */
    void submitEventReset(List<TransientEvent> events) {
        submitBatch(target -> target.resetTransientEvents(events, loop.nowSeconds()));
    }

    private void submitBatch(Consumer<EventBroker> update) {
        pendingBatches.incrementAndGet();
        submit(
                target -> {
                    pendingBatches.decrementAndGet();
                    update.accept(target);
                });
    }
}
