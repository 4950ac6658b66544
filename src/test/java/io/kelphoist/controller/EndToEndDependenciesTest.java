package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MessageEncoding;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Jobs that depend on other jobs, with two controllers. The tests wait for events of the emulated
 * state store and worker; the timeout only ends a test whose event never comes.
 */
@Timeout(90)
class EndToEndDependenciesTest extends LocalClusterFixture {
    /**
     * A retry may arrive at any time; its answer does not depend on the state of the dependencies.
     */
    @Test
    void answersRetryWhateverTheStateOfDependencies() throws Exception {
        assertSubmissionStatus(201, serving.get(0), job("job-51", "batch", 1));
        assertSubmissionStatus(201, serving.get(0), job("job-52", "batch", 1, "job-51", "job-51"));
        state.awaitValue("j/job-52", value -> value.path("status").asText().equals("done"));
        controllers.forEach(ControllerProcess::stop);
        controllers.clear();
        state.put("j/job-51", MessageEncoding.newObject().put("status", "lost"));
        startAll();
        HttpResponse<byte[]> retried =
                callWithRetry(serving.get(1), "POST", "/work", job("job-52", "batch", 1, "job-51"));
        assertEquals(200, retried.statusCode());
        assertEquals("done", MessageEncoding.decodeCbor(retried.body()).path("sway").asText());
        assertSubmissionStatus(200, serving.get(1), job("job-52", "batch", 1, "job-404"));
        assertEquals(
                503,
                call(serving.get(1), "POST", "/work", job("job-53", "batch", 1, "job-51"))
                        .statusCode());
        ObjectNode queued = MessageEncoding.newObject().put("status", "active").put("at", 1);
        queued.set("spec", MessageEncoding.decodeCbor(job("job-54", "batch", 1, "job-51")));
        state.put("j/job-54", queued);
        assertEquals("queued", status(serving.get(0), "job-54"));
    }

    @Test
    void runsDependentJobsInOrder() throws Exception {
        assertSubmissionStatus(201, serving.get(0), job("job-62", "batch", 3));
        assertSubmissionStatus(201, serving.get(1), job("job-61", "batch", 2, "job-62"));
        assertSubmissionStatus(201, serving.get(0), job("job-63", "batch", 1, "job-61", "job-62"));
        state.awaitValue("j/job-63", value -> value.path("status").asText().equals("done"));
        assertEquals("done", status(serving.get(0), "job-61"));
        assertSubmissionStatus(201, serving.get(1), job("job-64", "batch", 1, "job-63"));
        state.awaitValue("j/job-64", value -> value.path("status").asText().equals("done"));
        assertNull(taskLog.duplicateExecution());
    }

    @Test
    void cancelsDependentJobs() throws Exception {
        assertSubmissionStatus(201, serving.get(0), job("job-970", "standing", 8));
        taskLog.awaitRunning("job-970/7", true);
        assertSubmissionStatus(201, serving.get(0), job("job-71", "batch", 1));
        assertSubmissionStatus(201, serving.get(1), job("job-72", "batch", 1, "job-71"));
        assertSubmissionStatus(201, serving.get(0), job("job-73", "batch", 1, "job-72"));
        assertEquals("queued", status(serving.get(1), "job-73"));
        assertEquals(
                "aborted",
                MessageEncoding.decodeCbor(
                                callWithRetry(serving.get(1), "POST", "/work/job-71/cancel", null)
                                        .body())
                        .path("sway")
                        .asText());
        state.awaitValue("j/job-73", value -> value.path("status").asText().equals("cancelled"));
        assertEquals("aborted", status(serving.get(0), "job-73"));
        assertEquals("aborted", status(serving.get(1), "job-72"));
        HttpResponse<byte[]> late =
                callWithRetry(serving.get(1), "POST", "/work", job("job-74", "batch", 1, "job-72"));
        assertEquals(201, late.statusCode());
        assertEquals("aborted", MessageEncoding.decodeCbor(late.body()).path("sway").asText());
        assertEquals("aborted", status(serving.get(0), "job-74"));
        assertEquals(1, taskLog.startCount("job-970/0"));
        assertEquals(0, taskLog.startCount("job-73/0"));
    }

    /**
     * Without a leader: a job whose ancestor was cancelled is not reported as queued once a
     * controller has read the chain.
     */
    @Test
    void checksAncestorsBeforeReportingQueued() throws Exception {
        assertSubmissionStatus(201, serving.get(0), job("job-81", "batch", 1));
        state.awaitValue("j/job-81", value -> value.path("status").asText().equals("done"));
        int leader = leader().equals("a") ? 0 : 1;
        controllers.get(leader).stop();
        controllers.remove(leader);
        String node = serving.get(1 - leader);
        ObjectNode dependent = MessageEncoding.newObject().put("status", "active").put("at", 1);
        dependent.set("spec", MessageEncoding.decodeCbor(job("job-83", "batch", 1, "job-82")));
        state.put("j/job-83", dependent);
        state.put(
                "j/job-82",
                MessageEncoding.newObject()
                        .put("status", "cancelled")
                        .put("at", 1)
                        .set(
                                "spec",
                                MessageEncoding.decodeCbor(job("job-82", "batch", 1, "job-81"))));
        assertEquals("aborted", status(node, "job-83"));
        state.awaitValue("j/job-83", value -> value.path("status").asText().equals("cancelled"));
    }
}
