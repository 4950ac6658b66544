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

/** Watch streams across outages, restarts and compaction. */
@Timeout(40)
class GrpcWatchResumeTest extends GrpcFixture {
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
                () -> received.events + ", then " + resumed.events);
        assertFalse(resumed.events.contains("job-91 ACCEPTED"));
        for (int controller = 0; controller < 2; controller++) {
            RecordedEvents afterEnd = new RecordedEvents();
            client(controller)
                    .watch(
                            watchJobs("job-91").toBuilder().setCursor(resumed.cursor).build(),
                            afterEnd::add);
            assertEquals(List.of(), afterEnd.events);
        }
        // Without a cursor the final event is sent as to a new client.
        RecordedEvents withoutCursor = new RecordedEvents();
        client(0).watch(watchJobs("job-91"), withoutCursor::add);
        assertEquals(List.of("job-91 CANCELLED"), withoutCursor.events);
    }

    /**
     * All controllers stop after the end of a job is stored and before its event is sent; a client
     * that resumes gets the event once.
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

    @Test
    void clientMovesToAnotherControllerWhenOneStops() throws Exception {
        KelphoistClient client = client(0, 1);
        client.submit(job("job-91", Kind.KIND_SERVICE, 1));
        taskLog.awaitRunning("job-91/0", true);
        RecordedEvents received = new RecordedEvents();
        Future<?> following =
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
        following.get();
        assertEquals(1, received.finalCounts.get("job-91"), () -> "" + received.events);
    }

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
                        stateStore.setUnreachable(true);
                    } else if (message.hasState() && !message.getState().getCurrent()) {
                        storeJobEnd();
                        stateStore.setUnreachable(false);
                    }
                    return !(message.hasState() && message.getState().getCurrent());
                });
        int notCurrent = messages.indexOf("false");
        assertTrue(
                notCurrent > 0
                        && messages.indexOf("DONE_EVENT") > notCurrent
                        && messages.indexOf("true") > messages.indexOf("DONE_EVENT"),
                () -> "" + messages);
    }

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
        assertEquals(1, received.finalCounts.get("job-91"));
    }
}
