package io.kelphoist.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MessageEncoding;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The messages of a running follower that several classes assemble together, so that tests of
 * single codecs don't cover them. Guards against a field that is renamed, lost or added there. If
 * values depend on timing, only the names and types of the fields are compared.
 */
class FollowingControllerContractTest extends RunningControllerFixture {
    @BeforeEach
    void followThePeer() throws IOException {
        services.put("k/term", GoldenFiles.readJson("running/leader-record-of-peer"));
        services.put("k/leader", GoldenFiles.readJson("running/leader-record-of-peer"));
        startController();
        // Requests a grant repeatedly, as a leader does. Once the controller polls the peer for
        // events with the term, it has accepted the peer as the leader.
        await(
                () -> {
                    call(
                            "POST",
                            peerAddress,
                            "/peer/grant",
                            MessageEncoding.encodeJson(
                                    GoldenFiles.readJson("running/grant-request-of-peer")));
                    return receivedByPeer("/peer/events").stream()
                                    .anyMatch(message -> message.has("term"))
                            ? true
                            : null;
                });
    }

    @Test
    void followerPollsTheLeaderForEvents() {
        awaitShape("running/events-request.txt", () -> receivedByPeer("/peer/events"));
    }

    @Test
    void heartbeatIsRelayedUnchanged() {
        // when
        call("POST", address, "/v1/report", encodedHeartbeat());
        // then
        List<ObjectNode> relayed =
                await(
                        () ->
                                receivedByPeer("/peer/report").isEmpty()
                                        ? null
                                        : receivedByPeer("/peer/report"));
        assertEquals(heartbeat(), relayed.get(0));
    }

    @Test
    void usersGetTheTaskCountsReplicatedByTheLeader() {
        // given
        services.put("j/job-7", GoldenFiles.readJson("records/job-active-without-optional-fields"));
        // when
        HttpResponse<byte[]> response =
                await(() -> ifStatus(200, call("GET", address, "/work/job-7", null)));
        // then
        assertEquals(
                "{\"name_id\":\"job-7\",\"sway\":\"running\",\"done\":2,\"running\":3}",
                body(response));
    }

    @Test
    void grantResponseToTheLeaderHasTheSameFields() {
        HttpResponse<byte[]> response =
                call(
                        "POST",
                        peerAddress,
                        "/peer/grant",
                        MessageEncoding.encodeJson(
                                GoldenFiles.readJson("running/grant-request-of-peer")));
        GoldenFiles.assertSameText(
                "running/grant-answer-of-follower.txt",
                statusLine(response) + MessageShape.of(List.of(json(response))));
    }
}
