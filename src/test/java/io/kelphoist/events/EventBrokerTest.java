package io.kelphoist.events;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSortedSet;
import io.kelphoist.model.JobOwner;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Limits of an event broker: slow and silent subscribers, numbers of streams, and its shutdown. */
class EventBrokerTest {
    private static final SubscriptionFilter ONE_JOB =
            new SubscriptionFilter.ByJobIds(ImmutableSortedSet.of("job-1"));
    private static final SubscriptionFilter ALL_JOBS = new SubscriptionFilter.ByOwner(null, null);

    private static JobRecord record(int job, JobStatus status, long version) {
        return new JobRecord("job-" + job, null, status, 0, version, new JobOwner("red", "c"));
    }

    /** Accepts a number of events, and records them and how the subscription ended. */
    private static final class RecordingSubscriber implements Subscriber {
        private int acceptableEvents;
        private final List<JobEvent> events = new ArrayList<>();
        private EndReason endReason;
        private Cursor lastCursor;

        @Override
        public boolean isReady() {
            return acceptableEvents > 0;
        }

        @Override
        public void onEvent(JobEvent event, Cursor cursor) {
            acceptableEvents--;
            events.add(event);
            lastCursor = cursor;
        }

        @Override
        public void onStoreReachabilityChanged(boolean current, Cursor cursor) {}

        @Override
        public void onEnded(EndReason reason, Cursor cursor) {
            endReason = reason;
            lastCursor = cursor;
        }
    }

    private static EventBroker newBroker(EventBrokerLimits limits) {
        return new EventBroker(limits, handler -> {}, Runnable::run);
    }

    @Test
    void slowSubscriberGetsTheLatestEventsAndDelaysNobody()
            throws EventBroker.TooManyStreamsException {
        EventBroker broker = newBroker(new EventBrokerLimits(10, 10, 8, 10, 60));
        broker.onRecordsChanged(1, List.of(record(1, JobStatus.ACTIVE, 1)), 0);
        RecordingSubscriber slow = new RecordingSubscriber();
        RecordingSubscriber fast = new RecordingSubscriber();
        slow.acceptableEvents = 1;
        fast.acceptableEvents = Integer.MAX_VALUE;
        Subscription subscription =
                broker.subscribe(ALL_JOBS, Optional.empty(), List.of(), "a", slow, 0);
        broker.subscribe(ALL_JOBS, Optional.empty(), List.of(), "b", fast, 0);
        for (int i = 0; i < 100; i++) {
            broker.onTransientEvents(
                    List.of(new TransientEvent("job-1", new JobEventType.Started(i, "m"), i, 1, 0)),
                    0);
        }
        assertEquals(101, fast.events.size());
        assertEquals(1, slow.events.size());
        slow.acceptableEvents = 100;
        broker.onReady(subscription, 1);
        assertTrue(slow.events.size() <= 10, () -> "" + slow.events);
        assertEquals(
                new JobEventType.Started(99, "m"), slow.events.get(slow.events.size() - 1).type());
        assertTrue(slow.events.stream().anyMatch(JobEvent::isSnapshot), () -> "" + slow.events);
    }

    @Test
    void silentSubscriberIsEndedAndResumesAtItsCursor() throws EventBroker.TooManyStreamsException {
        EventBroker broker = newBroker(new EventBrokerLimits(10, 10, 8, 10, 60));
        broker.onRecordsChanged(1, List.of(record(1, JobStatus.ACTIVE, 1)), 0);
        RecordingSubscriber slow = new RecordingSubscriber();
        broker.subscribe(ONE_JOB, Optional.empty(), List.of(), "a", slow, 0);
        broker.onRecordsChanged(2, List.of(record(1, JobStatus.DONE, 2)), 5);
        broker.tick(60);
        assertEquals(null, slow.endReason);
        broker.tick(61);
        assertEquals(Subscriber.EndReason.SLOW, slow.endReason);
        assertEquals(0, broker.streamCount());
        RecordingSubscriber resumed = new RecordingSubscriber();
        resumed.acceptableEvents = 9;
        broker.subscribe(
                ONE_JOB,
                Optional.of(slow.lastCursor),
                List.of(record(1, JobStatus.DONE, 2)),
                "a",
                resumed,
                70);
        assertEquals(
                List.of(new JobEventType.Done()),
                resumed.events.stream().map(JobEvent::type).toList());
        assertEquals(Subscriber.EndReason.COMPLETE, resumed.endReason);
        // Subscribed once more: the final event was delivered already.
        RecordingSubscriber completed = new RecordingSubscriber();
        completed.acceptableEvents = 9;
        broker.subscribe(ONE_JOB, Optional.of(resumed.lastCursor), List.of(), "a", completed, 70);
        assertEquals(List.of(), completed.events);
        assertEquals(Subscriber.EndReason.COMPLETE, completed.endReason);
    }

    @Test
    void streamsAreLimitedInTotalAndPerClient() throws EventBroker.TooManyStreamsException {
        EventBroker broker = newBroker(new EventBrokerLimits(3, 2, 8, 10, 60));
        broker.subscribe(ONE_JOB, Optional.empty(), List.of(), "a", new RecordingSubscriber(), 0);
        Subscription subscription =
                broker.subscribe(
                        ONE_JOB, Optional.empty(), List.of(), "a", new RecordingSubscriber(), 0);
        assertEquals(EventBroker.StreamLimit.PER_CLIENT, refusedBy(broker, "a"));
        broker.subscribe(ONE_JOB, Optional.empty(), List.of(), "b", new RecordingSubscriber(), 0);
        assertEquals(EventBroker.StreamLimit.TOTAL, refusedBy(broker, "c"));
        broker.onClosed(subscription);
        broker.subscribe(ONE_JOB, Optional.empty(), List.of(), "a", new RecordingSubscriber(), 0);
    }

    /** The limit that refuses one more stream of a client. */
    private static EventBroker.StreamLimit refusedBy(EventBroker broker, String client) {
        return assertThrows(
                        EventBroker.TooManyStreamsException.class,
                        () ->
                                broker.subscribe(
                                        ONE_JOB,
                                        Optional.empty(),
                                        List.of(),
                                        client,
                                        new RecordingSubscriber(),
                                        0))
                .limit();
    }

    @Test
    void waitsForABoundedTimeForACursorAhead() throws EventBroker.TooManyStreamsException {
        EventBroker broker = newBroker(EventBrokerLimits.DEFAULT);
        broker.onRecordsChanged(1, List.of(), 0);
        RecordingSubscriber subscriber = new RecordingSubscriber();
        subscriber.acceptableEvents = 9;
        broker.subscribe(
                ONE_JOB,
                Optional.of(new Cursor(ONE_JOB.fingerprint(), 0, new LogPosition(1000, "job-1"))),
                List.of(),
                "a",
                subscriber,
                0);
        for (int i = 2; i < 10; i++) {
            broker.onRecordsChanged(i, List.of(), i);
        }
        assertEquals(Subscriber.EndReason.CURSOR_AHEAD, subscriber.endReason);
    }

    @Test
    void drainingBrokerEndsStreamsWithCursors() throws EventBroker.TooManyStreamsException {
        EventBroker broker = newBroker(EventBrokerLimits.DEFAULT);
        broker.onRecordsChanged(7, List.of(record(1, JobStatus.ACTIVE, 6)), 0);
        RecordingSubscriber subscriber = new RecordingSubscriber();
        subscriber.acceptableEvents = 9;
        broker.subscribe(ALL_JOBS, Optional.empty(), List.of(), "a", subscriber, 0);
        broker.drain();
        assertEquals(Subscriber.EndReason.DRAINED, subscriber.endReason);
        assertEquals(7, subscriber.lastCursor.startRevision());
        assertThrows(
                EventBroker.TooManyStreamsException.class,
                () ->
                        broker.subscribe(
                                ONE_JOB,
                                Optional.empty(),
                                List.of(),
                                "a",
                                new RecordingSubscriber(),
                                0));
        byte[] encoded = CursorSignerTest.signer(1).encode(subscriber.lastCursor);
        assertArrayEquals(encoded, CursorSignerTest.signer(1).encode(subscriber.lastCursor));
    }
}
