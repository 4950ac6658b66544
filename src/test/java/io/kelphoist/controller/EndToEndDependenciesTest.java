package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MessageEncoding;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Jobs that depend on other jobs, with two controllers. Guards against a job that never starts or
 * is never cancelled after its dependencies have ended, and against a status that was reported
 * without reading them. The tests wait for events of the emulated state store and workers; the
 * timeout only ends a test whose event never occurs.
 */
@Timeout(90)
class EndToEndDependenciesTest extends LocalClusterFixture {
    /**
     * A submission may be retried at any time. Once the job is stored, the response to a retry must
     * not depend on the dependencies: their records may be unreadable or missing by then.
     */
    @Test
    void retryIsIndependentOfDependencyStatus() throws Exception {
        assertSubmissionStatus(201, userAddresses.get(0), job("job-51", "batch", 1));
        assertSubmissionStatus(
                201, userAddresses.get(0), job("job-52", "batch", 1, "job-51", "job-51"));
        stateStore.awaitValue("j/job-52", value -> value.path("status").asText().equals("done"));
        controllers.forEach(ControllerProcess::stop);
        controllers.clear();
        stateStore.put("j/job-51", MessageEncoding.newObject().put("status", "lost"));
        startAll();
        HttpResponse<byte[]> retried =
                callWithRetry(
                        userAddresses.get(1), "POST", "/work", job("job-52", "batch", 1, "job-51"));
        assertEquals(200, retried.statusCode());
        assertEquals("done", MessageEncoding.decodeCbor(retried.body()).path("sway").asText());
        assertSubmissionStatus(200, userAddresses.get(1), job("job-52", "batch", 1, "job-404"));
        assertEquals(
                503,
                call(userAddresses.get(1), "POST", "/work", job("job-53", "batch", 1, "job-51"))
                        .statusCode());
        ObjectNode queued = MessageEncoding.newObject().put("status", "active").put("at", 1);
        queued.set("spec", MessageEncoding.decodeCbor(job("job-54", "batch", 1, "job-51")));
        stateStore.put("j/job-54", queued);
        assertEquals("queued", jobStatus(userAddresses.get(0), "job-54"));
    }

    /**
     * A job with dependencies is done after them, also if they were done before its submission. The
     * order of the starts is not checked.
     */
    @Test
    void runsJobsWithDependencies() throws Exception {
        assertSubmissionStatus(201, userAddresses.get(0), job("job-62", "batch", 3));
        assertSubmissionStatus(201, userAddresses.get(1), job("job-61", "batch", 2, "job-62"));
        assertSubmissionStatus(
                201, userAddresses.get(0), job("job-63", "batch", 1, "job-61", "job-62"));
        stateStore.awaitValue("j/job-63", value -> value.path("status").asText().equals("done"));
        assertEquals("done", jobStatus(userAddresses.get(0), "job-61"));
        assertSubmissionStatus(201, userAddresses.get(1), job("job-64", "batch", 1, "job-63"));
        stateStore.awaitValue("j/job-64", value -> value.path("status").asText().equals("done"));
        assertNull(taskLog.duplicateExecution());
    }

    /**
     * The cancellation of a job cancels all jobs that depend on it, directly or not, and those that
     * are submitted afterwards.
     */
    @Test
    void cancelsDependentJobs() throws Exception {
        // The service uses all 8 GPUs of the team's limit, so that the other jobs stay queued.
        assertSubmissionStatus(201, userAddresses.get(0), job("job-970", "standing", 8));
        taskLog.awaitRunning("job-970/7", /* isRunning= */ true);
        assertSubmissionStatus(201, userAddresses.get(0), job("job-71", "batch", 1));
        assertSubmissionStatus(201, userAddresses.get(1), job("job-72", "batch", 1, "job-71"));
        assertSubmissionStatus(201, userAddresses.get(0), job("job-73", "batch", 1, "job-72"));
        assertEquals("queued", jobStatus(userAddresses.get(1), "job-73"));
        assertEquals(
                "aborted",
                MessageEncoding.decodeCbor(
                                callWithRetry(
                                                userAddresses.get(1),
                                                "POST",
                                                "/work/job-71/cancel",
                                                null)
                                        .body())
                        .path("sway")
                        .asText());
        stateStore.awaitValue(
                "j/job-73", value -> value.path("status").asText().equals("cancelled"));
        assertEquals("aborted", jobStatus(userAddresses.get(0), "job-73"));
        assertEquals("aborted", jobStatus(userAddresses.get(1), "job-72"));
        HttpResponse<byte[]> submittedAfterwards =
                callWithRetry(
                        userAddresses.get(1), "POST", "/work", job("job-74", "batch", 1, "job-72"));
        assertEquals(201, submittedAfterwards.statusCode());
        assertEquals(
                "aborted",
                MessageEncoding.decodeCbor(submittedAfterwards.body()).path("sway").asText());
        assertEquals("aborted", jobStatus(userAddresses.get(0), "job-74"));
        assertEquals(1, taskLog.startCount("job-970/0"));
        assertEquals(0, taskLog.startCount("job-73/0"));
    }

    /**
     * A job is stored as active although an ancestor was cancelled, and the leader has stopped. The
     * other controller must read the dependencies before it reports a status: the job is aborted,
     * not queued.
     */
    @Test
    void checksAncestorsBeforeReportingQueued() throws Exception {
        assertSubmissionStatus(201, userAddresses.get(0), job("job-81", "batch", 1));
        stateStore.awaitValue("j/job-81", value -> value.path("status").asText().equals("done"));
        int leader = storedLeader().equals("a") ? 0 : 1;
        controllers.get(leader).stop();
        controllers.remove(leader);
        String userAddress = userAddresses.get(1 - leader);
        ObjectNode dependent = MessageEncoding.newObject().put("status", "active").put("at", 1);
        dependent.set("spec", MessageEncoding.decodeCbor(job("job-83", "batch", 1, "job-82")));
        stateStore.put("j/job-83", dependent);
        stateStore.put(
                "j/job-82",
                MessageEncoding.newObject()
                        .put("status", "cancelled")
                        .put("at", 1)
                        .set(
                                "spec",
                                MessageEncoding.decodeCbor(job("job-82", "batch", 1, "job-81"))));
        assertEquals("aborted", jobStatus(userAddress, "job-83"));
        stateStore.awaitValue(
                "j/job-83", value -> value.path("status").asText().equals("cancelled"));
    }
}
