package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.config.PlatformSettings;
import io.kelphoist.wire.MessageEncoding;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The handover of a leader on loopback that shuts down, and messages from unknown controllers and
 * from controllers of the previous version. Guards against a second election or restarted tasks
 * after a handover, and against a message that ends a term although its sender may not do so.
 */
@Timeout(90)
class PlannedHandoverTest extends LocalClusterFixture {
    /**
     * A leader that shuts down hands over to the follower whose replica is in sync: there is one
     * election, running tasks are not started again, and all promotion checks pass.
     */
    @Test
    void handsOverToTheFollowerInSync() throws Exception {
        assertSubmissionStatus(201, userAddresses.get(0), job("job-91", "standing", 2));
        taskLog.awaitRunning("job-91/0", /* isRunning= */ true);
        taskLog.awaitRunning("job-91/1", /* isRunning= */ true);
        int oldLeader = leaderIndex();
        String next = userAddresses.get(1 - oldLeader);
        // 2 is the state in sync.
        awaitMetric(next, "kelphoist_standby_state 2.0");
        awaitMetric(next, "kelphoist_standby_machines [1-9]");
        awaitMetric(next, "kelphoist_standby_jobs 1.0");
        long term = storedTerm();
        controllers.get(oldLeader).shutDown();
        // One election, won by the follower; running tasks go on, and new tasks start.
        stateStore.awaitValue(
                "k/leader",
                value -> value.path("node").asText().equals(oldLeader == 0 ? "b" : "a"));
        assertEquals(term + 1, storedTerm());
        assertSubmissionStatus(201, next, job("job-92", "standing", 1));
        taskLog.awaitRunning("job-92/0", /* isRunning= */ true);
        assertEquals(1, taskLog.startCount("job-91/0"));
        assertEquals(1, taskLog.startCount("job-91/1"));
        for (String check : List.of("leadership", "records", "orders", "machines", "list")) {
            awaitMetric(next, "kelphoist_standby_check_seconds\\{check=\"" + check + "\"\\} [0-9]");
        }
        assertNull(taskLog.duplicateExecution());
    }

    /**
     * A handover message from a controller that is not a configured peer, or one that is malformed,
     * must not end the term of the leader.
     */
    @Test
    void messageOfAnUnknownControllerEndsNoTerm() throws Exception {
        assertSubmissionStatus(201, userAddresses.get(0), job("job-93", "standing", 1));
        taskLog.awaitRunning("job-93/0", /* isRunning= */ true);
        int leader = leaderIndex();
        long term = storedTerm();
        ObjectNode termEnded =
                MessageEncoding.newObject().put("term", term - 1).put("from", "x").put("next", "x");
        for (PlatformSettings controller : settings) {
            assertEquals(
                    200,
                    call(
                                    controller.peerListenAddress(),
                                    "POST",
                                    "/peer/over",
                                    MessageEncoding.encodeJson(termEnded))
                            .statusCode());
            assertEquals(
                    400,
                    call(
                                    controller.peerListenAddress(),
                                    "POST",
                                    "/peer/over",
                                    "{".getBytes(StandardCharsets.UTF_8))
                            .statusCode());
        }
        assertSubmissionStatus(201, userAddresses.get(1 - leader), job("job-94", "standing", 1));
        taskLog.awaitRunning("job-94/0", /* isRunning= */ true);
        assertEquals(term, storedTerm());
    }

    /**
     * A leader of the previous version does not replicate its machines and does not know the
     * replica status: the response to its grant request must not contain it.
     */
    @Test
    void respondsToGrantRequestsOfThePreviousVersion() throws Exception {
        assertSubmissionStatus(201, userAddresses.get(0), job("job-95", "standing", 1));
        taskLog.awaitRunning("job-95/0", /* isRunning= */ true);
        long term = storedTerm();
        int follower = 1 - leaderIndex();
        ObjectNode grantRequest =
                MessageEncoding.newObject()
                        .put("term", term)
                        .put("from", "b")
                        .put("state_ok", true);
        assertFalse(
                grantResponse(follower, grantRequest).has("follow"),
                "no replica status in the response to a request without machine states");
        // A malformed field is treated as missing.
        grantRequest.set("follow", MessageEncoding.newObject().put("after", "x"));
        assertFalse(
                grantResponse(follower, grantRequest).has("follow"),
                "no replica status in the response to a request with malformed machine states");
    }

    private ObjectNode grantResponse(int controller, ObjectNode request) throws Exception {
        byte[] body = MessageEncoding.encodeJson(request);
        String address = settings.get(controller).peerListenAddress();
        return MessageEncoding.decodeJson(call(address, "POST", "/peer/grant", body).body());
    }
}
