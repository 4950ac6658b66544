package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.peer.PeerPaths;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests over the size limit at each route of a running controller. Guards against a connection
 * that is reset in place of the documented status.
 */
@Timeout(90)
class EndToEndRefusalTest extends LocalClusterFixture {
    private static final int USER_LIMIT_BYTES = 64 << 10;
    private static final int PEER_LIMIT_BYTES = 4 << 20;
    private static final int MAX_EXCESS_BYTES = 1 << 20;
    private static final int REPETITIONS = 100;

    private static final Pattern MALFORMED_MESSAGES =
            Pattern.compile("(?m)^kelphoist_messages_bad_total (\\S+)");

    private final Random random = new Random(47);

    /** Each refusal arrives, whichever route it is for. */
    @Test
    void respondsToRequestsOverTheLimitAtEachRoute() throws Exception {
        String userAddress = userAddresses.get(0);
        String peerAddress = settings.get(0).peerListenAddress();
        for (int i = 0; i < REPETITIONS; i++) {
            assertRefused(400, userAddress, "POST", "/work", USER_LIMIT_BYTES);
            assertRefused(400, userAddress, "POST", "/v1/report", USER_LIMIT_BYTES);
            assertRefused(400, userAddress, "POST", "/work/job-1/cancel", USER_LIMIT_BYTES);
            assertRefused(404, userAddress, "POST", "/unknown", USER_LIMIT_BYTES);
            assertRefused(405, userAddress, "PUT", "/work/job-1", USER_LIMIT_BYTES);
        }
        for (int i = 0; i < REPETITIONS / 10; i++) {
            assertRefused(400, peerAddress, "POST", PeerPaths.GRANT, PEER_LIMIT_BYTES);
            assertRefused(404, peerAddress, "POST", "/unknown", PEER_LIMIT_BYTES);
        }
    }

    /** A message of another controller above Undertow's default limit of 2 MiB is read. */
    @Test
    void readsMessagesOfOtherControllersUpToTheirLimit() throws Exception {
        byte[] message = new byte[PEER_LIMIT_BYTES];
        Arrays.fill(message, (byte) ' ');
        String peerAddress = settings.get(0).peerListenAddress();
        double before = malformedMessages();
        assertEquals(400, call(peerAddress, "POST", PeerPaths.GRANT, message).statusCode());
        // The message reached the codec, and was not refused because of its size.
        assertEquals(before + 1, malformedMessages());
    }

    private double malformedMessages() throws IOException, InterruptedException {
        String metrics =
                new String(
                        call(userAddresses.get(0), "GET", "/metrics", null).body(),
                        StandardCharsets.UTF_8);
        Matcher matcher = MALFORMED_MESSAGES.matcher(metrics);
        assertTrue(matcher.find(), metrics);
        return Double.parseDouble(matcher.group(1));
    }

    private void assertRefused(
            int status, String address, String method, String path, int limitBytes)
            throws IOException, InterruptedException {
        byte[] body = new byte[limitBytes + 1 + random.nextInt(MAX_EXCESS_BYTES)];
        assertEquals(
                status,
                call(address, method, path, body).statusCode(),
                () -> "HTTP status of " + method + " " + path);
    }
}
