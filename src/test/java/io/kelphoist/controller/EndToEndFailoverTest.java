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
 * Failover, restart and messages between two controllers. Guards against tasks that are started
 * again or lost when the leader changes, and against messages that one of two versions does not
 * understand. The tests wait for events of the emulated state store and workers; the timeout only
 * ends a test whose event never occurs.
 */
@Timeout(90)
class EndToEndFailoverTest extends LocalClusterFixture {
    /**
     * A leader of the previous version lists its running tasks in its grant requests. The request
     * is accepted, and the response has the fields that this version expects.
     */
    @Test
    void respondsToGrantRequestOfPreviousVersion() throws Exception {
        assertSubmissionStatus(201, userAddresses.get(0), job("job-65", "batch", 1));
        stateStore.awaitValue("j/job-65", value -> value.path("status").asText().equals("done"));
        byte[] request =
                "{\"jobs\":{\"job-66\":[1,2]},\"term\":1,\"from\":\"b\",\"state_ok\":true}"
                        .getBytes(StandardCharsets.UTF_8);
        for (PlatformSettings controllerSettings : settings) {
            HttpResponse<byte[]> response =
                    call(controllerSettings.peerListenAddress(), "POST", "/peer/grant", request);
            assertEquals(200, response.statusCode());
            ObjectNode grantResponse = MessageEncoding.decodeJson(response.body());
            assertTrue(
                    grantResponse.path("granted").isBoolean()
                            && grantResponse.path("state_ok").asBoolean(),
                    "expected a boolean granted and state_ok=true: " + grantResponse);
        }
    }

    /**
     * The leader stops without a handover. The other controller takes over without starting the
     * running tasks again, and cancels a job that the first leader accepted.
     */
    @Test
    void keepsAndCancelsJobsAcrossFailover() throws Exception {
        assertSubmissionStatus(201, userAddresses.get(0), job("job-91", "standing", 2));
        taskLog.awaitRunning("job-91/0", /* isRunning= */ true);
        taskLog.awaitRunning("job-91/1", /* isRunning= */ true);
        int oldLeader = storedLeader().equals("a") ? 0 : 1;
        controllers.get(oldLeader).stop();
        controllers.remove(oldLeader);
        String other = oldLeader == 0 ? "b" : "a";
        stateStore.awaitValue("k/leader", value -> value.path("node").asText().equals(other));
        String userAddress = userAddresses.get(1 - oldLeader);
        assertSubmissionStatus(201, userAddress, job("job-92", "standing", 1));
        taskLog.awaitRunning("job-92/0", /* isRunning= */ true);
        // Running tasks are not started again.
        assertEquals(1, taskLog.startCount("job-91/0"));
        HttpResponse<byte[]> cancelled =
                callWithRetry(userAddress, "POST", "/work/job-91/cancel", null);
        assertEquals("aborted", MessageEncoding.decodeCbor(cancelled.body()).path("sway").asText());
        taskLog.awaitRunning("job-91/0", /* isRunning= */ false);
        taskLog.awaitRunning("job-91/1", /* isRunning= */ false);
        assertEquals("aborted", jobStatus(userAddress, "job-91"));
        assertSubmissionStatus(200, userAddress, job("job-91", "standing", 2));
        assertNull(taskLog.duplicateExecution());
    }

    /**
     * The leader has stopped and the state store is unavailable, so that no leader can be elected.
     * The other controller renews the workers' leases under its delegation; otherwise the tasks
     * would stop.
     */
    @Test
    void renewsWorkerLeasesWithoutLeader() throws Exception {
        assertSubmissionStatus(201, userAddresses.get(0), job("job-99", "standing", 1));
        taskLog.awaitRunning("job-99/0", /* isRunning= */ true);
        int leader = storedLeader().equals("a") ? 0 : 1;
        String other = userAddresses.get(1 - leader);
        // Lease delegations are sent with grant requests. A lease can be renewed only after the
        // worker has received the fencing token of this term.
        awaitMetric(other, "kelphoist_mandate 1.0");
        stateStore.setUnavailable(true);
        controllers.get(leader).stop();
        controllers.remove(leader);
        awaitMetric(other, "kelphoist_reports_cared_total [1-9]");
        stateStore.setUnavailable(false);
        stateStore.awaitValue(
                "k/leader", value -> value.path("node").asText().equals(leader == 0 ? "b" : "a"));
        assertEquals(
                "aborted",
                MessageEncoding.decodeCbor(
                                callWithRetry(other, "POST", "/work/job-99/cancel", null).body())
                        .path("sway")
                        .asText());
        taskLog.awaitRunning("job-99/0", /* isRunning= */ false);
        assertEquals(1, taskLog.startCount("job-99/0"));
        assertNull(taskLog.duplicateExecution());
    }

    /** All controllers restart: a new term begins, and no task that still runs is started again. */
    @Test
    void recoversAfterRestartOfAllControllers() throws Exception {
        assertSubmissionStatus(201, userAddresses.get(0), job("job-95", "standing", 1));
        assertSubmissionStatus(201, userAddresses.get(1), job("job-12", "batch", 2));
        taskLog.awaitRunning("job-95/0", /* isRunning= */ true);
        stateStore.awaitValue("j/job-12", value -> value.path("status").asText().equals("done"));
        long term = stateStore.awaitValue("k/term", value -> true).path("term").asLong();
        controllers.forEach(ControllerProcess::stop);
        controllers.clear();
        startAll();
        stateStore.awaitValue("k/term", value -> value.path("term").asLong() > term);
        assertEquals("done", jobStatus(userAddresses.get(0), "job-12"));
        assertSubmissionStatus(201, userAddresses.get(1), job("job-96", "standing", 1));
        taskLog.awaitRunning("job-96/0", /* isRunning= */ true);
        assertEquals(1, taskLog.startCount("job-95/0"));
        assertNull(taskLog.duplicateExecution());
    }
}
