package io.kelphoist.controller;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.events.TaskEventLog;
import io.kelphoist.events.TransientEvent;
import io.kelphoist.peer.TaskEventCodec.EventsRequest;
import io.kelphoist.peer.TaskEventCodec.TermUpdate;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.spi.TaskEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Publishes the transient events of the term led here to this controller's event broker, in
 * batches, and to the other controllers, on request. Owns the term's event log. Confined to the
 * event loop.
 */
final class TaskEventPublisher {
    private static final double BATCH_DELAY_SECONDS = 0.02;
    private static final int MAX_LOG_EVENTS = 4096;

    /** A sequence number for which the event log returns a snapshot. */
    private static final long SNAPSHOT_SEQUENCE = -1;

    private final BrokerUpdates brokerUpdates;
    private final EventLoop loop;
    private Optional<TaskEventLog> eventLog = Optional.empty();
    private long term;
    private List<TransientEvent> unsentEvents = new ArrayList<>();

    /** Whether events were dropped because the event thread could not keep up. */
    private boolean hasDroppedEvents;

    TaskEventPublisher(BrokerUpdates brokerUpdates, EventLoop loop) {
        this.brokerUpdates = brokerUpdates;
        this.loop = loop;
    }

    /** Starts the event log of a term that this controller leads. */
    void onElected(long newTerm) {
        term = newTerm;
        eventLog = Optional.of(new TaskEventLog(MAX_LOG_EVENTS));
        brokerUpdates.submit(broker -> broker.resetTransientEvents(List.of(), loop.nowSeconds()));
    }

    /** Drops the event log, as the term led here ended. */
    void onTermEnded() {
        eventLog = Optional.empty();
    }

    /**
     * Publishes an event of a job's tasks; ignores it if no term is led here.
     *
     * @param isFailoverComplete false while this leader is still discovering the tasks that earlier
     *     leaders started: a task that is found running is then published as the job's progress,
     *     not as a start
     */
    void onTaskEvent(Job job, TaskEvent event, boolean isFailoverComplete, long atMillis) {
        if (eventLog.isEmpty()) {
            return;
        }
        TaskEvent publishedEvent =
                isFailoverComplete || !(event instanceof TaskEvent.TaskRunning running)
                        ? event
                        : new TaskEvent.TaskDone(running.taskIndex(), running.machineName());
        eventLog.get()
                .append(
                        job.spec().id(),
                        publishedEvent,
                        job.doneTaskCount(),
                        job.runningTaskCount(),
                        atMillis)
                .ifPresent(this::addUnsent);
    }

    private void addUnsent(TransientEvent event) {
        unsentEvents.add(event);
        if (unsentEvents.size() == 1) {
            loop.schedule(BATCH_DELAY_SECONDS, this::flush);
        }
    }

    private void flush() {
        List<TransientEvent> batch = unsentEvents;
        unsentEvents = new ArrayList<>();
        if (eventLog.isEmpty()) {
            return;
        }
        if (brokerUpdates.isFull()) {
            // A snapshot replaces the dropped events as soon as the event thread has caught up.
            hasDroppedEvents = true;
            loop.schedule(BATCH_DELAY_SECONDS * BrokerUpdates.MAX_PENDING_BATCHES, this::flush);
        } else if (hasDroppedEvents) {
            hasDroppedEvents = false;
            brokerUpdates.submitEventReset(eventLog.get().snapshot());
        } else if (!batch.isEmpty()) {
            brokerUpdates.submitEvents(batch);
        }
    }

    /**
     * Returns the update for another controller: a snapshot if it asks for another term or for
     * events that are no longer retained. Empty if no term is led here.
     */
    Optional<TermUpdate> updateFor(EventsRequest request) {
        long sequence = request.term() == term ? request.fromSequence() : SNAPSHOT_SEQUENCE;
        return eventLog.map(log -> new TermUpdate(term, log.updateSince(sequence)));
    }
}
