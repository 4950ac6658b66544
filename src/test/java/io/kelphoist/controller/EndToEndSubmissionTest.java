package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MessageEncoding;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Submissions over HTTP to two controllers. The tests wait for events of the emulated state store
 * and workers; the timeout only ends a test whose event never occurs.
 */
@Timeout(90)
class EndToEndSubmissionTest extends LocalClusterFixture {
    /**
     * Either controller accepts a job; the other one responds to the same submission as to a retry,
     * and both report the job as done.
     */
    @Test
    void runsJobsAcceptedByEitherController() throws Exception {
        for (int i = 0; i < 2; i++) {
            String id = "job-1" + i;
            assertSubmissionStatus(201, userAddresses.get(i), job(id, "batch", 3));
            assertSubmissionStatus(200, userAddresses.get(1 - i), job(id, "batch", 3));
        }
        for (String id : List.of("job-10", "job-11")) {
            stateStore.awaitValue("j/" + id, value -> value.path("status").asText().equals("done"));
            assertEquals("done", jobStatus(userAddresses.get(0), id));
            assertEquals("done", jobStatus(userAddresses.get(1), id));
            assertSubmissionStatus(200, userAddresses.get(0), job(id, "batch", 3));
        }
        assertNull(taskLog.duplicateExecution());
        String metrics =
                new String(
                        call(userAddresses.get(0), "GET", "/metrics", null).body(),
                        StandardCharsets.UTF_8);
        assertTrue(
                metrics.contains("kelphoist_leader"),
                () -> "expected the metric kelphoist_leader: " + metrics);
    }

    /** Requests that can't be decoded, or whose job can't be stored, get status 400. */
    @Test
    void rejectsMalformedSubmissions() throws Exception {
        String userAddress = userAddresses.get(0);
        assertSubmissionStatus(201, userAddress, job("job-1", "batch", 1));
        assertEquals(
                400,
                call(userAddress, "POST", "/work", "{}".getBytes(StandardCharsets.UTF_8))
                        .statusCode());
        // More than the 64 KiB that a request body may have.
        assertEquals(400, call(userAddress, "POST", "/work", new byte[70 * 1024]).statusCode());
        assertEquals(
                400, call(userAddress, "POST", "/work", job("work-1", "batch", 1)).statusCode());
        assertEquals(400, call(userAddress, "POST", "/v1/report", new byte[] {1, 2}).statusCode());
        assertEquals(
                400,
                call(userAddress, "POST", "/work", job("job-2", "batch", 1, "job-1", "work-1"))
                        .statusCode());
        assertEquals(
                400,
                call(userAddress, "POST", "/work", job("job-2", "batch", 1, "job-2")).statusCode());
        byte[] dependenciesNotAList =
                MessageEncoding.encodeCbor(
                        MessageEncoding.decodeCbor(job("job-2", "batch", 1))
                                .put("holdfast", "job-1"));
        assertEquals(400, call(userAddress, "POST", "/work", dependenciesNotAList).statusCode());
        byte[] imageNameTooLong =
                MessageEncoding.encodeCbor(
                        MessageEncoding.decodeCbor(job("job-2", "batch", 1))
                                .put("spore", "i".repeat(5000)));
        assertSubmissionStatus(400, userAddress, imageNameTooLong);
        assertEquals(404, callWithRetry(userAddress, "GET", "/work/job-2", null).statusCode());
    }

    /** Jobs that could never run in this cluster get status 422 and are not stored. */
    @Test
    void rejectsImpossibleSubmissions() throws Exception {
        String userAddress = userAddresses.get(0);
        assertSubmissionStatus(201, userAddress, job("job-1", "batch", 1));
        ObjectNode unknownTeam =
                MessageEncoding.decodeCbor(job("job-2", "batch", 1)).put("crew", "nobody");
        assertSubmissionStatus(422, userAddress, MessageEncoding.encodeCbor(unknownTeam));
        ObjectNode tooLarge = MessageEncoding.decodeCbor(job("job-2", "batch", 1)).put("cpus", 9.0);
        assertSubmissionStatus(422, userAddress, MessageEncoding.encodeCbor(tooLarge));
        assertSubmissionStatus(422, userAddress, job("job-2", "ensemble", 9));
        assertEquals(404, callWithRetry(userAddress, "GET", "/work/job-2", null).statusCode());
        assertEquals(
                404, callWithRetry(userAddress, "POST", "/work/job-2/cancel", null).statusCode());
    }

    /** A job that depends on an unknown job, or on a service, which never ends, gets status 422. */
    @Test
    void rejectsImpossibleDependencies() throws Exception {
        String userAddress = userAddresses.get(0);
        assertSubmissionStatus(201, userAddress, job("job-1", "batch", 1));
        HttpResponse<byte[]> rejected =
                callWithRetry(
                        userAddress, "POST", "/work", job("job-2", "batch", 1, "job-1", "job-404"));
        assertEquals(422, rejected.statusCode());
        assertTrue(
                MessageEncoding.decodeCbor(rejected.body())
                        .path("error")
                        .asText()
                        .contains("job-404"),
                "expected an error that names the unknown job job-404");
        assertSubmissionStatus(201, userAddress, job("job-93", "standing", 1));
        assertSubmissionStatus(422, userAddresses.get(1), job("job-2", "batch", 1, "job-93"));
    }
}
