package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.Metadata;
import io.kelphoist.client.KelphoistClient;
import io.kelphoist.grpc.v1.Kind;
import io.kelphoist.grpc.v1.Phase;
import io.kelphoist.grpc.v1.SchedulerGrpc;
import io.kelphoist.grpc.v1.WatchRequest;
import io.kelphoist.grpc.v1.WatchResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Many concurrent watch streams at two controllers. Guards against final events that a stream sends
 * twice or never, and against events after the final one, also while another client does not read.
 */
@Timeout(40)
class GrpcWatchTest extends GrpcFixture {
    private static final int CLIENTS = 50;
    private static final int JOBS = 12;

    /**
     * Whether a job is a service, which only ends when it is cancelled: every fourth one is.
     *
     * @param jobIndex index among the submitted jobs
     */
    private static boolean isService(int jobIndex) {
        return jobIndex % 4 == 3;
    }

    /**
     * Fifty clients watch twelve jobs while another client reads only one message. Each of the
     * fifty gets one final event for each job.
     */
    @Test
    void fiftyClientsGetOneFinalEventForEachJob() throws Exception {
        String[] ids = submitJobs();
        ClientCall<WatchRequest, WatchResponse> stalled = openStalledStream();
        List<Future<RecordedEvents>> watches = startWatches(ids);
        KelphoistClient canceller = client(1);
        for (int i = 0; i < JOBS; i++) {
            if (isService(i)) {
                taskLog.awaitRunning(ids[i] + "/0", /* isRunning= */ true);
                assertEquals(Phase.PHASE_CANCELLED, canceller.cancel(ids[i]).getPhase());
            }
        }
        for (Future<RecordedEvents> watch : watches) {
            RecordedEvents received = watch.get();
            for (int i = 0; i < JOBS; i++) {
                assertOneFinalEvent(received, ids[i], isService(i) ? "CANCELLED" : "DONE_EVENT");
            }
        }
        stalled.cancel("test finished", null);
        assertNull(taskLog.duplicateExecution());
    }

    private String[] submitJobs() throws Exception {
        String[] ids = new String[JOBS];
        KelphoistClient submitter = client(0, 1);
        for (int i = 0; i < JOBS; i++) {
            // Tasks of jobs named job-9... run until they are stopped, all others end by
            // themselves.
            ids[i] = (isService(i) ? "job-9" : "job-7") + i;
            Kind kind = isService(i) ? Kind.KIND_SERVICE : Kind.KIND_ARRAY;
            assertTrue(submitter.submit(job(ids[i], kind, 1)).getCreated());
        }
        return ids;
    }

    /** Opens a stream that requests one message and reads no more. */
    private ClientCall<WatchRequest, WatchResponse> openStalledStream() {
        ClientCall<WatchRequest, WatchResponse> call =
                channel(0).newCall(SchedulerGrpc.getWatchMethod(), CallOptions.DEFAULT);
        call.start(new ClientCall.Listener<>() {}, new Metadata());
        call.request(1);
        // A request without jobs, team and class selects all jobs.
        call.sendMessage(WatchRequest.getDefaultInstance());
        call.halfClose();
        return call;
    }

    private List<Future<RecordedEvents>> startWatches(String[] ids) {
        List<Future<RecordedEvents>> watches = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            KelphoistClient client = client(i % 2, 1 - i % 2);
            watches.add(
                    executor.submit(
                            () -> {
                                RecordedEvents received = new RecordedEvents();
                                client.watch(watchJobs(ids), received::add);
                                return received;
                            }));
        }
        return watches;
    }

    /**
     * Checks that the final event of a job comes once, and that no event of the job follows.
     *
     * @param type type of the final event, as in {@link RecordedEvents}
     */
    private static void assertOneFinalEvent(RecordedEvents received, String id, String type) {
        List<String> events = received.events;
        assertEquals(
                1, received.finalCounts.get(id), () -> "one final event of " + id + ": " + events);
        int end = events.indexOf(id + " " + type);
        assertTrue(
                end >= 0
                        && events.subList(end + 1, events.size()).stream()
                                .noneMatch(event -> event.startsWith(id + " ")),
                () -> "expected " + type + " as the last event of " + id + ": " + events);
    }
}
