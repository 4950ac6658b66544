package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.client.KelphoistClient;
import io.kelphoist.grpc.v1.Kind;
import io.kelphoist.grpc.v1.WatchRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Watch streams that are resumed after a restart, an outage of the state store or the compaction of
 * its changes. Guards against final events that a client gets twice or never.
 */
@Timeout(40)
class GrpcWatchResumeTest extends GrpcFixture {
    /**
     * A client resumes with its cursor at another controller and gets the final event once. After
     * the final event a resumed stream is empty.
     */
    @Test
    void resumesAtAnotherControllerAndAfterTheFinalEvent() throws Exception {
        KelphoistClient first = client(0);
        first.submit(job("job-91", Kind.KIND_SERVICE, 1));
        RecordedEvents received = new RecordedEvents();
        first.watch(
                watchJobs("job-91"),
                message -> {
                    received.add(message);
                    return !message.getEvent().hasStarted() && !message.getEvent().getPresent();
                });
        assertEquals("job-91 ACCEPTED", received.events.get(0));
        client(1).cancel("job-91");
        RecordedEvents resumed = new RecordedEvents();
        client(1)
                .watch(
                        watchJobs("job-91").toBuilder().setCursor(received.cursor).build(),
                        resumed::add);
        assertEquals(
                1,
                resumed.finalCounts.get("job-91"),
                () ->
                        "final events of job-91 after the resumption: received "
                                + received.events
                                + ", then "
                                + resumed.events);
        assertFalse(
                resumed.events.contains("job-91 ACCEPTED"), "events before the cursor are skipped");
        for (int controller = 0; controller < 2; controller++) {
            RecordedEvents afterEnd = new RecordedEvents();
            client(controller)
                    .watch(
                            watchJobs("job-91").toBuilder().setCursor(resumed.cursor).build(),
                            afterEnd::add);
            assertEquals(List.of(), afterEnd.events);
        }
        // Without a cursor a client is treated as new and gets the final event.
        RecordedEvents withoutCursor = new RecordedEvents();
        client(0).watch(watchJobs("job-91"), withoutCursor::add);
        assertEquals(List.of("job-91 CANCELLED"), withoutCursor.events);
    }

    /**
     * The end of a job is stored while all controllers are stopped, as if all had stopped after
     * storing it and before sending its event. A client that resumes gets the event once.
     */
    @Test
    void sendsFinalEventAfterRestartOfAllControllers() throws Exception {
        KelphoistClient client = client(0);
        client.submit(job("job-91", Kind.KIND_SERVICE, 1));
        RecordedEvents received = new RecordedEvents();
        client.watch(
                watchJobs("job-91"),
                message -> {
                    received.add(message);
                    return false;
                });
        controllers.forEach(ControllerProcess::stop);
        controllers.clear();
        storeJobEnd();
        startAll();
        RecordedEvents resumed = new RecordedEvents();
        client(0, 1)
                .watch(
                        watchJobs("job-91").toBuilder().setCursor(received.cursor).build(),
                        resumed::add);
        assertEquals(List.of("job-91 DONE_EVENT"), resumed.events);
    }

    /** A client whose controller stops resumes at the next one and gets one final event. */
    @Test
    void clientMovesToAnotherControllerWhenOneStops() throws Exception {
        KelphoistClient client = client(0, 1);
        client.submit(job("job-91", Kind.KIND_SERVICE, 1));
        taskLog.awaitRunning("job-91/0", /* isRunning= */ true);
        RecordedEvents received = new RecordedEvents();
        Future<?> watch =
                executor.submit(
                        () -> {
                            client.watch(
                                    watchJobs("job-91"),
                                    message -> {
                                        synchronized (received) {
                                            received.notifyAll();
                                            return received.add(message);
                                        }
                                    });
                            return null;
                        });
        synchronized (received) {
            while (received.events.isEmpty()) {
                received.wait();
            }
        }
        controllers.get(0).stop();
        client(1).cancel("job-91");
        watch.get();
        assertEquals(
                1,
                received.finalCounts.get("job-91"),
                () -> "final events of job-91: " + received.events);
    }

    /**
     * While the state store is unavailable, a stream reports that it is not current. Afterwards it
     * sends the events of the outage, and then reports that it is current.
     */
    @Test
    void reportsStateStoreOutageAndCatchesUp() throws Exception {
        KelphoistClient client = client(0);
        client.submit(job("job-91", Kind.KIND_SERVICE, 1));
        List<String> messages = new ArrayList<>();
        client.watch(
                WatchRequest.getDefaultInstance(),
                message -> {
                    messages.add(
                            message.hasState()
                                    ? "" + message.getState().getCurrent()
                                    : RecordedEvents.typeOf(message));
                    if (message.getEvent().hasAccepted()) {
                        stateStore.setUnavailableWithWatches(true);
                    } else if (message.hasState() && !message.getState().getCurrent()) {
                        storeJobEnd();
                        stateStore.setUnavailableWithWatches(false);
                    }
                    return !(message.hasState() && message.getState().getCurrent());
                });
        int notCurrent = messages.indexOf("false");
        assertTrue(
                notCurrent > 0
                        && messages.indexOf("DONE_EVENT") > notCurrent
                        && messages.indexOf("true") > messages.indexOf("DONE_EVENT"),
                () -> "expected false, then DONE_EVENT, then true: " + messages);
    }

    /**
     * The state store compacts the changes that a controller has not read yet, among them the end
     * of a job. The controller reads all records, and its stream sends the final event.
     */
    @Test
    void readsAllRecordsAfterCompaction() throws Exception {
        KelphoistClient client = client(0);
        client.submit(job("job-91", Kind.KIND_SERVICE, 1));
        RecordedEvents received = new RecordedEvents();
        client.watch(
                watchJobs("job-91"),
                message -> {
                    if (received.events.isEmpty()) {
                        stateStore.compactChanges(this::storeJobEnd);
                    }
                    return received.add(message);
                });
        assertEquals(
                1,
                received.finalCounts.get("job-91"),
                () -> "final events of job-91: " + received.events);
    }
}
