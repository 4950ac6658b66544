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
 * Controllers on loopback that are shut down one after the other, and messages of unknown
 * controllers and of the previous version.
 */
@Timeout(90)
class PlannedHandoverTest extends LocalClusterFixture {
    @Test
    void handsOverToTheFollowerInSync() throws Exception {
        assertSubmissionStatus(201, serving.get(0), job("job-91", "standing", 2));
        taskLog.awaitRunning("job-91/0", true);
        taskLog.awaitRunning("job-91/1", true);
        int oldLeader = leaderIndex();
        String next = serving.get(1 - oldLeader);
        awaitMetric(next, "kelphoist_standby_state 2.0");
        awaitMetric(next, "kelphoist_standby_machines [1-9]");
        awaitMetric(next, "kelphoist_standby_jobs 1.0");
        long term = storedTerm();
        controllers.get(oldLeader).shutDown();
        // One election, won by the follower; running tasks go on, and new work starts.
        state.awaitValue(
                "k/leader",
                value -> value.path("node").asText().equals(oldLeader == 0 ? "b" : "a"));
        assertEquals(term + 1, storedTerm());
        assertSubmissionStatus(201, next, job("job-92", "standing", 1));
        taskLog.awaitRunning("job-92/0", true);
        assertEquals(1, taskLog.startCount("job-91/0"));
        assertEquals(1, taskLog.startCount("job-91/1"));
        for (String check : List.of("leadership", "records", "orders", "machines", "list")) {
            awaitMetric(next, "kelphoist_standby_check_seconds\\{check=\"" + check + "\"\\} [0-9]");
        }
        assertNull(taskLog.duplicateExecution());
    }

    /**
     * A controller that nobody knows says that a term has ended, and malformed messages say so: the
     * leader stays.
     */
    @Test
    void messageOfAnUnknownControllerEndsNoTerm() throws Exception {
        assertSubmissionStatus(201, serving.get(0), job("job-93", "standing", 1));
        taskLog.awaitRunning("job-93/0", true);
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
        assertSubmissionStatus(201, serving.get(1 - leader), job("job-94", "standing", 1));
        taskLog.awaitRunning("job-94/0", true);
        assertEquals(term, storedTerm());
    }

    /**
     * A leader of the previous version does not replicate its machines: a follower's response says
     * nothing of its replica.
     */
    @Test
    void respondsToGrantRequestsOfThePreviousVersion() throws Exception {
        assertSubmissionStatus(201, serving.get(0), job("job-95", "standing", 1));
        taskLog.awaitRunning("job-95/0", true);
        long term = storedTerm();
        int follower = 1 - leaderIndex();
        ObjectNode grantRequest =
                MessageEncoding.newObject()
                        .put("term", term)
                        .put("from", "b")
                        .put("state_ok", true);
        assertFalse(grantResponse(follower, grantRequest).has("follow"), "replica status");
        // A malformed field is treated as missing.
        grantRequest.set("follow", MessageEncoding.newObject().put("after", "x"));
        assertFalse(grantResponse(follower, grantRequest).has("follow"), "replica status");
    }

    private ObjectNode grantResponse(int controller, ObjectNode request) throws Exception {
        byte[] body = MessageEncoding.encodeJson(request);
        String address = settings.get(controller).peerListenAddress();
        return MessageEncoding.decodeJson(call(address, "POST", "/peer/grant", body).body());
    }
}
