package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.config.PlatformSettings;
import io.kelphoist.wire.MessageEncoding;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Failover, restart and messages between two controllers. The tests wait for events of the emulated
 * state store and worker; the timeout only ends a test whose event never comes.
 */
@Timeout(90)
class EndToEndFailoverTest extends LocalClusterFixture {
    /**
     * A leader of the previous version requests grants and lists its running tasks; it gets the
     * answer fields it expects.
     */
    @Test
    void answersGrantRequestOfPreviousVersion() throws Exception {
        assertSubmissionStatus(201, serving.get(0), job("job-65", "batch", 1));
        state.awaitValue("j/job-65", value -> value.path("status").asText().equals("done"));
        byte[] request =
                "{\"jobs\":{\"job-66\":[1,2]},\"term\":1,\"from\":\"b\",\"state_ok\":true}"
                        .getBytes(StandardCharsets.UTF_8);
        for (PlatformSettings controllerSettings : settings) {
            HttpResponse<byte[]> response =
                    call(controllerSettings.peerListenAddress(), "POST", "/peer/grant", request);
            assertEquals(200, response.statusCode());
            ObjectNode answer = MessageEncoding.decodeJson(response.body());
            assertTrue(
                    answer.path("granted").isBoolean() && answer.path("state_ok").asBoolean(),
                    answer.toString());
        }
    }

    @Test
    void keepsAndCancelsJobsAcrossFailover() throws Exception {
        assertSubmissionStatus(201, serving.get(0), job("job-91", "standing", 2));
        taskLog.awaitRunning("job-91/0", true);
        taskLog.awaitRunning("job-91/1", true);
        int oldLeader = leader().equals("a") ? 0 : 1;
        controllers.get(oldLeader).stop();
        controllers.remove(oldLeader);
        String other = oldLeader == 0 ? "b" : "a";
        state.awaitValue("k/leader", value -> value.path("node").asText().equals(other));
        String node = serving.get(1 - oldLeader);
        assertSubmissionStatus(201, node, job("job-92", "standing", 1));
        taskLog.awaitRunning("job-92/0", true);
        // Running tasks stay where they are.
        assertEquals(1, taskLog.startCount("job-91/0"));
        HttpResponse<byte[]> cancelled = callWithRetry(node, "POST", "/work/job-91/cancel", null);
        assertEquals("aborted", MessageEncoding.decodeCbor(cancelled.body()).path("sway").asText());
        taskLog.awaitRunning("job-91/0", false);
        taskLog.awaitRunning("job-91/1", false);
        assertEquals("aborted", status(node, "job-91"));
        assertSubmissionStatus(200, node, job("job-91", "standing", 2));
        assertNull(taskLog.duplicateExecution());
    }

    /**
     * The leader has stopped and the state store is down: no leader can be elected, but the other
     * controller renews the workers' leases.
     */
    @Test
    void renewsWorkerLeasesWithoutLeader() throws Exception {
        assertSubmissionStatus(201, serving.get(0), job("job-99", "standing", 1));
        taskLog.awaitRunning("job-99/0", true);
        int leader = leader().equals("a") ? 0 : 1;
        String other = serving.get(1 - leader);
        // Lease delegations are sent with grant requests; the worker must have seen this term's
        // token.
        awaitMetric(other, "kelphoist_mandate 1.0");
        state.setUnavailable(true);
        controllers.get(leader).stop();
        controllers.remove(leader);
        awaitMetric(other, "kelphoist_reports_cared_total [1-9]");
        state.setUnavailable(false);
        state.awaitValue(
                "k/leader", value -> value.path("node").asText().equals(leader == 0 ? "b" : "a"));
        assertEquals(
                "aborted",
                MessageEncoding.decodeCbor(
                                callWithRetry(other, "POST", "/work/job-99/cancel", null).body())
                        .path("sway")
                        .asText());
        taskLog.awaitRunning("job-99/0", false);
        assertEquals(1, taskLog.startCount("job-99/0"));
        assertNull(taskLog.duplicateExecution());
    }

    @Test
    void recoversAfterRestartOfAllControllers() throws Exception {
        assertSubmissionStatus(201, serving.get(0), job("job-95", "standing", 1));
        assertSubmissionStatus(201, serving.get(1), job("job-12", "batch", 2));
        taskLog.awaitRunning("job-95/0", true);
        state.awaitValue("j/job-12", value -> value.path("status").asText().equals("done"));
        long term = state.awaitValue("k/term", value -> true).path("term").asLong();
        controllers.forEach(ControllerProcess::stop);
        controllers.clear();
        startAll();
        state.awaitValue("k/term", value -> value.path("term").asLong() > term);
        assertEquals("done", status(serving.get(0), "job-12"));
        assertSubmissionStatus(201, serving.get(1), job("job-96", "standing", 1));
        taskLog.awaitRunning("job-96/0", true);
        assertEquals(1, taskLog.startCount("job-95/0"));
        assertNull(taskLog.duplicateExecution());
    }
}
