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
    private static final SubscriptionFilter ALL_JOBS =
            new SubscriptionFilter.ByOwner(/* teams= */ null, /* jobClass= */ null);

    private static final EventBrokerLimits SMALL_LIMITS =
            new EventBrokerLimits(
                    /* maxStreams= */ 10,
                    /* maxStreamsPerClient= */ 10,
                    /* maxBufferedEvents= */ 8,
                    /* maxEndedJobs= */ 10,
                    /* stallTimeoutSeconds= */ 60);

    private static JobRecord record(int job, JobStatus status, long version) {
        return new JobRecord(
                "job-" + job,
                /* spec= */ null,
                status,
                /* timestampMillis= */ 0,
                version,
                new JobOwner("red", "c"));
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

    /** Applies a change of job-1 at a revision of the store. */
    private static void storeJob(
            EventBroker broker, long revision, JobStatus status, double nowSeconds) {
        broker.onRecordsChanged(
                revision, List.of(record(/* job= */ 1, status, revision)), nowSeconds);
    }

    @Test
    void slowSubscriberReceivesTheLatestEventsAndDoesNotDelayOthers()
            throws EventBroker.TooManyStreamsException {
        EventBroker broker = newBroker(SMALL_LIMITS);
        storeJob(broker, /* revision= */ 1, JobStatus.ACTIVE, /* nowSeconds= */ 0);
        RecordingSubscriber slow = new RecordingSubscriber();
        RecordingSubscriber fast = new RecordingSubscriber();
        slow.demand = 1;
        fast.demand = Integer.MAX_VALUE;
        Subscription subscription =
                broker.subscribe(
                        ALL_JOBS, Optional.empty(), List.of(), "a", slow, /* nowSeconds= */ 0);
        broker.subscribe(ALL_JOBS, Optional.empty(), List.of(), "b", fast, /* nowSeconds= */ 0);
        for (int i = 0; i < 100; i++) {
            broker.onTransientEvents(
                    List.of(
                            new TransientEvent(
                                    "job-1",
                                    new JobEventType.Started(i, "m"),
                                    i,
                                    /* runningTasks= */ 1,
                                    /* atMillis= */ 0)),
                    /* nowSeconds= */ 0);
        }
        // The acceptance and 100 transient events; the slow subscriber has only the acceptance.
        assertEquals(101, fast.events.size());
        assertEquals(1, slow.events.size());
        slow.demand = 100;
        broker.onReady(subscription, /* nowSeconds= */ 1);
        assertTrue(
                slow.events.size() <= 10,
                () ->
                        "expected at most 10 events, as at most 8 are buffered without merging,"
                                + " received "
                                + slow.events);
        assertEquals(
                new JobEventType.Started(99, "m"), slow.events.get(slow.events.size() - 1).type());
        assertTrue(
                slow.events.stream().anyMatch(JobEvent::reportsCurrentState),
                () -> "expected a current-state event, received " + slow.events);
    }

    @Test
    void stalledSubscriptionIsEndedAndResumesAtItsCursor()
            throws EventBroker.TooManyStreamsException {
        EventBroker broker = newBroker(SMALL_LIMITS);
        storeJob(broker, /* revision= */ 1, JobStatus.ACTIVE, /* nowSeconds= */ 0);
        RecordingSubscriber stalled = new RecordingSubscriber();
        broker.subscribe(ONE_JOB, Optional.empty(), List.of(), "a", stalled, /* nowSeconds= */ 0);
        storeJob(broker, /* revision= */ 2, JobStatus.DONE, /* nowSeconds= */ 5);
        // The subscriber is not ready from 0 s on, for exactly the timeout at 60 s.
        broker.tick(/* nowSeconds= */ 60);
        assertEquals(null, stalled.endReason);
        broker.tick(/* nowSeconds= */ 61);
        assertEquals(Subscriber.EndReason.SLOW, stalled.endReason);
        assertEquals(0, broker.streamCount());
        RecordingSubscriber resumed = new RecordingSubscriber();
        resumed.demand = 9;
        broker.subscribe(
                ONE_JOB,
                Optional.of(stalled.lastCursor),
                List.of(record(/* job= */ 1, JobStatus.DONE, /* version= */ 2)),
                "a",
                resumed,
                /* nowSeconds= */ 70);
        assertEquals(
                List.of(new JobEventType.Done()),
                resumed.events.stream().map(JobEvent::type).toList());
        assertEquals(Subscriber.EndReason.COMPLETE, resumed.endReason);
        // The final event was delivered already, so a subscription at the last cursor is complete.
        RecordingSubscriber completed = new RecordingSubscriber();
        completed.demand = 9;
        broker.subscribe(
                ONE_JOB,
                Optional.of(resumed.lastCursor),
                List.of(),
                "a",
                completed,
                /* nowSeconds= */ 70);
        assertEquals(List.of(), completed.events);
        assertEquals(Subscriber.EndReason.COMPLETE, completed.endReason);
    }

    @Test
    void streamsAreLimitedInTotalAndPerClient() throws EventBroker.TooManyStreamsException {
        EventBroker broker =
                newBroker(
                        new EventBrokerLimits(
                                /* maxStreams= */ 3,
                                /* maxStreamsPerClient= */ 2,
                                /* maxBufferedEvents= */ 8,
                                /* maxEndedJobs= */ 10,
                                /* stallTimeoutSeconds= */ 60));
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
                                        /* nowSeconds= */ 0))
                .limit();
    }

    @Test
    void endsASubscriptionWhoseCursorStaysAheadOfTheStore()
            throws EventBroker.TooManyStreamsException {
        EventBroker broker = newBroker(EventBrokerLimits.DEFAULT);
        broker.onRecordsChanged(/* revision= */ 1, List.of(), /* nowSeconds= */ 0);
        RecordingSubscriber subscriber = new RecordingSubscriber();
        subscriber.demand = 9;
        broker.subscribe(
                ONE_JOB,
                Optional.of(new Cursor(ONE_JOB.fingerprint(), 0, new LogPosition(1000, "job-1"))),
                List.of(),
                "a",
                subscriber,
                /* nowSeconds= */ 0);
        // The cursor's revision is 1000, and the store only reaches 9.
        for (int i = 2; i < 10; i++) {
            broker.onRecordsChanged(/* revision= */ i, List.of(), /* nowSeconds= */ i);
        }
        assertEquals(Subscriber.EndReason.CURSOR_AHEAD, subscriber.endReason);
    }

    @Test
    void drainingBrokerEndsStreamsWithCursors() throws EventBroker.TooManyStreamsException {
        EventBroker broker = newBroker(EventBrokerLimits.DEFAULT);
        broker.onRecordsChanged(
                /* revision= */ 7,
                List.of(record(/* job= */ 1, JobStatus.ACTIVE, /* version= */ 6)),
                /* nowSeconds= */ 0);
        RecordingSubscriber subscriber = new RecordingSubscriber();
        subscriber.demand = 9;
        broker.subscribe(
                ALL_JOBS, Optional.empty(), List.of(), "a", subscriber, /* nowSeconds= */ 0);
        broker.drain();
        assertEquals(Subscriber.EndReason.DRAINED, subscriber.endReason);
        assertEquals(
                7,
                subscriber.lastCursor.startRevision(),
                "start revision, expected the store's revision at the start of the subscription");
        assertThrows(
                EventBroker.TooManyStreamsException.class,
                () ->
                        broker.subscribe(
                                ONE_JOB,
                                Optional.empty(),
                                List.of(),
                                "a",
                                new RecordingSubscriber(),
                                /* nowSeconds= */ 0));
        // Two signers with the same key encode the cursor to the same bytes.
        byte[] encoded = CursorSignerTest.signer(1).encode(subscriber.lastCursor);
        assertArrayEquals(encoded, CursorSignerTest.signer(1).encode(subscriber.lastCursor));
    }

    /**
     * Guards against events that are lost for others when a slow subscription by owner is ended.
     */
    @Test
    void endOfASlowSubscriptionLosesNoEventsOfOthers() throws EventBroker.TooManyStreamsException {
        for (int slowPosition = 0; slowPosition < 3; slowPosition++) {
            checkEndOfASlowSubscription(slowPosition);
        }
    }

    private static void checkEndOfASlowSubscription(int slowPosition)
            throws EventBroker.TooManyStreamsException {
        int jobs = 3 * SMALL_LIMITS.maxBufferedEvents();
        EventBroker broker = newBroker(SMALL_LIMITS);
        List<RecordingSubscriber> subscribers = new ArrayList<>();
        for (int position = 0; position < 3; position++) {
            RecordingSubscriber subscriber = new RecordingSubscriber();
            // The slow one receives the records, but none of the events after them.
            subscriber.demand = position == slowPosition ? jobs : Integer.MAX_VALUE;
            subscribers.add(subscriber);
            broker.subscribe(ALL_JOBS, Optional.empty(), List.of(), "c" + position, subscriber, 0);
        }
        for (int job = 1; job <= jobs; job++) {
            broker.onRecordsChanged(job, List.of(record(job, JobStatus.ACTIVE, job)), 0);
        }
        int batchSize = SMALL_LIMITS.maxBufferedEvents() - 2;
        for (int first = 1; first <= jobs; first += batchSize) {
            List<TransientEvent> batch = new ArrayList<>();
            for (int job = first; job < first + batchSize; job++) {
                batch.add(
                        new TransientEvent(
                                "job-" + job, new JobEventType.Started(0, "m"), 0, 1, 0));
            }
            broker.onTransientEvents(batch, 0);
        }
        for (int position = 0; position < 3; position++) {
            RecordingSubscriber subscriber = subscribers.get(position);
            if (position == slowPosition) {
                assertEquals(Subscriber.EndReason.SLOW, subscriber.endReason);
            } else {
                assertEquals(
                        2 * jobs, subscriber.events.size(), "events of subscriber " + position);
            }
        }
    }
}
