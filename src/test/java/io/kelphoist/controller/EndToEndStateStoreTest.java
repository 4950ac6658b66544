package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MessageEncoding;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Two controllers while the state store lowers its limits, delays a transaction or is unavailable.
 * The tests wait for events of the emulated state store and workers; the timeout only ends a test
 * whose event never occurs.
 */
@Timeout(90)
class EndToEndStateStoreTest extends LocalClusterFixture {
    /**
     * The state store lowers its limits without notice. A transaction that has become too large
     * must be split; sent again unchanged it would be rejected forever.
     */
    @Test
    void splitsTransactionsWhenLimitsShrink() throws Exception {
        // A running service, which must not be restarted.
        assertSubmissionStatus(201, userAddresses.get(0), job("job-98", "standing", 1));
        taskLog.awaitRunning("job-98/0", /* isRunning= */ true);
        stateStore.setLimits(/* valueByteLimit= */ 600, /* operationLimit= */ 2);
        for (int i = 0; i < 6; i++) {
            ObjectNode submission =
                    MessageEncoding.decodeCbor(job("job-4" + i, "batch", 20))
                            .put("accelerators", 0.0)
                            .put("cpus", 0.1)
                            .put("ram_gb", 0.1);
            assertSubmissionStatus(
                    201, userAddresses.get(i % 2), MessageEncoding.encodeCbor(submission));
        }
        for (int i = 0; i < 6; i++) {
            stateStore.awaitValue(
                    "j/job-4" + i, value -> value.path("status").asText().equals("done"));
        }
        assertTrue(
                stateStore.rejectedTransactionCount() < 20,
                "expected fewer than 20 rejected transactions, got "
                        + stateStore.rejectedTransactionCount());
        assertEquals(1, taskLog.startCount("job-98/0"));
        assertNull(taskLog.duplicateExecution());
    }

    /**
     * A transaction whose outcome is unknown may be applied minutes later. It must then fail and
     * not overwrite a newer record.
     */
    @Test
    void delayedTransactionChangesNothing() throws Exception {
        // The prefix of start records. The emulated store responds with an error, so that the
        // outcome is unknown; the leader then stores the start in another transaction.
        stateStore.holdNextTransaction("s/");
        assertSubmissionStatus(201, userAddresses.get(0), job("job-97", "standing", 1));
        taskLog.awaitRunning("job-97/0", /* isRunning= */ true);
        assertEquals(
                409,
                stateStore.applyHeldTransaction(),
                "status of the delayed transaction, expected a failed condition");
        assertNull(taskLog.duplicateExecution());
    }

    /**
     * While the state store is unavailable, requests get status 503 with a delay after which to
     * retry; afterwards the same requests succeed.
     */
    @Test
    void respondsUnavailableDuringStateStoreOutage() throws Exception {
        assertSubmissionStatus(201, userAddresses.get(0), job("job-93", "standing", 1));
        taskLog.awaitRunning("job-93/0", /* isRunning= */ true);
        stateStore.setUnavailable(true);
        assertEquals(503, call(userAddresses.get(0), "GET", "/work/job-93", null).statusCode());
        assertEquals(
                503, call(userAddresses.get(1), "POST", "/work/job-93/cancel", null).statusCode());
        HttpResponse<byte[]> response =
                call(userAddresses.get(1), "POST", "/work", job("job-94", "standing", 1));
        assertEquals(503, response.statusCode());
        assertEquals("1", response.headers().firstValue("Retry-After").orElse(""));
        stateStore.setUnavailable(false);
        assertEquals(
                "aborted",
                MessageEncoding.decodeCbor(
                                callWithRetry(
                                                userAddresses.get(1),
                                                "POST",
                                                "/work/job-93/cancel",
                                                null)
                                        .body())
                        .path("sway")
                        .asText());
        taskLog.awaitRunning("job-93/0", /* isRunning= */ false);
        assertNull(taskLog.duplicateExecution());
    }
}
