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

/**
 * Limits of an event broker. Guards against a slow or stalled subscriber that delays others or
 * loses a final event, too many streams, a cursor that is never reached, and a shutdown that leaves
 * clients without a cursor.
 */
class EventBrokerTest {
    private static final SubscriptionFilter ONE_JOB =
            new SubscriptionFilter.ByJobIds(ImmutableSortedSet.of("job-1"));
    private static final SubscriptionFilter ALL_JOBS = new SubscriptionFilter.ByOwner(null, null);

    private static JobRecord record(int job, JobStatus status, long version) {
        return new JobRecord("job-" + job, null, status, 0, version, new JobOwner("red", "c"));
    }

    /** Receives a limited number of events, and records them and the reason of the end. */
    private static final class RecordingSubscriber implements Subscriber {
        /** The number of events that it is ready to receive. */
        private int demand;

        private final List<JobEvent> events = new ArrayList<>();
        private EndReason endReason;
        private Cursor lastCursor;

        @Override
        public boolean isReady() {
            return demand > 0;
        }

        @Override
        public void onEvent(JobEvent event, Cursor cursor) {
            demand--;
            events.add(event);
            lastCursor = cursor;
        }

        @Override
        public void onStoreReachabilityChanged(boolean storeReachable, Cursor cursor) {}

        @Override
        public void onEnded(EndReason reason, Cursor cursor) {
            endReason = reason;
            lastCursor = cursor;
        }
    }

    private static EventBroker newBroker(EventBrokerLimits limits) {
        return new EventBroker(limits, callback -> {}, Runnable::run);
    }

    @Test
    void slowSubscriberReceivesTheLatestEventsAndDoesNotDelayOthers()
            throws EventBroker.TooManyStreamsException {
        EventBroker broker =
                newBroker(new EventBrokerLimits(10, 10, /* maxBufferedEvents= */ 8, 10, 60));
        broker.onRecordsChanged(1, List.of(record(1, JobStatus.ACTIVE, 1)), 0);
        RecordingSubscriber slow = new RecordingSubscriber();
        RecordingSubscriber fast = new RecordingSubscriber();
        slow.demand = 1;
        fast.demand = Integer.MAX_VALUE;
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
        slow.demand = 100;
        broker.onReady(subscription, 1);
        assertTrue(
                slow.events.size() <= 10,
                () -> "expected at most 10 events after merging, received " + slow.events);
        assertEquals(
                new JobEventType.Started(99, "m"), slow.events.get(slow.events.size() - 1).type());
        assertTrue(
                slow.events.stream().anyMatch(JobEvent::reportsCurrentState),
                () -> "expected a current-state event, received " + slow.events);
    }

    @Test
    void stalledSubscriptionIsEndedAndResumesAtItsCursor()
            throws EventBroker.TooManyStreamsException {
        EventBroker broker =
                newBroker(new EventBrokerLimits(10, 10, 8, 10, /* stallTimeoutSeconds= */ 60));
        broker.onRecordsChanged(1, List.of(record(1, JobStatus.ACTIVE, 1)), 0);
        RecordingSubscriber stalled = new RecordingSubscriber();
        broker.subscribe(ONE_JOB, Optional.empty(), List.of(), "a", stalled, 0);
        broker.onRecordsChanged(2, List.of(record(1, JobStatus.DONE, 2)), 5);
        broker.tick(60);
        assertEquals(null, stalled.endReason);
        broker.tick(61);
        assertEquals(Subscriber.EndReason.SLOW, stalled.endReason);
        assertEquals(0, broker.streamCount());
        RecordingSubscriber resumed = new RecordingSubscriber();
        resumed.demand = 9;
        broker.subscribe(
                ONE_JOB,
                Optional.of(stalled.lastCursor),
                List.of(record(1, JobStatus.DONE, 2)),
                "a",
                resumed,
                70);
        assertEquals(
                List.of(new JobEventType.Done()),
                resumed.events.stream().map(JobEvent::type).toList());
        assertEquals(Subscriber.EndReason.COMPLETE, resumed.endReason);
        // The final event was delivered already, so a subscription at the last cursor is complete.
        RecordingSubscriber completed = new RecordingSubscriber();
        completed.demand = 9;
        broker.subscribe(ONE_JOB, Optional.of(resumed.lastCursor), List.of(), "a", completed, 70);
        assertEquals(List.of(), completed.events);
        assertEquals(Subscriber.EndReason.COMPLETE, completed.endReason);
    }

    @Test
    void streamsAreLimitedInTotalAndPerClient() throws EventBroker.TooManyStreamsException {
        EventBroker broker =
                newBroker(
                        new EventBrokerLimits(
                                /* maxStreams= */ 3, /* maxStreamsPerClient= */ 2, 8, 10, 60));
        broker.subscribe(ONE_JOB, Optional.empty(), List.of(), "a", new RecordingSubscriber(), 0);
        Subscription subscription =
                broker.subscribe(
                        ONE_JOB, Optional.empty(), List.of(), "a", new RecordingSubscriber(), 0);
        assertEquals(EventBroker.StreamLimit.PER_CLIENT, exceededLimit(broker, "a"));
        broker.subscribe(ONE_JOB, Optional.empty(), List.of(), "b", new RecordingSubscriber(), 0);
        assertEquals(EventBroker.StreamLimit.TOTAL, exceededLimit(broker, "c"));
        broker.onClosed(subscription);
        broker.subscribe(ONE_JOB, Optional.empty(), List.of(), "a", new RecordingSubscriber(), 0);
    }

    /** Checks that one more stream of a client is rejected, and returns the exceeded limit. */
    private static EventBroker.StreamLimit exceededLimit(EventBroker broker, String clientName) {
        return assertThrows(
                        EventBroker.TooManyStreamsException.class,
                        () ->
                                broker.subscribe(
                                        ONE_JOB,
                                        Optional.empty(),
                                        List.of(),
                                        clientName,
                                        new RecordingSubscriber(),
                                        0))
                .limit();
    }

    @Test
    void endsASubscriptionWhoseCursorStaysAheadOfTheStore()
            throws EventBroker.TooManyStreamsException {
        EventBroker broker = newBroker(EventBrokerLimits.DEFAULT);
        broker.onRecordsChanged(1, List.of(), 0);
        RecordingSubscriber subscriber = new RecordingSubscriber();
        subscriber.demand = 9;
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
        subscriber.demand = 9;
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
