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
 * Two controllers while the state store lowers its limits, delays a transaction or is down. The
 * tests wait for events of the emulated state store and worker; the timeout only ends a test whose
 * event never comes.
 */
@Timeout(90)
class EndToEndStateStoreTest extends LocalClusterFixture {
    /**
     * The state store lowers its limits without notice: a transaction that is too large is split
     * and not sent again unchanged.
     */
    @Test
    void splitsTransactionsWhenLimitsShrink() throws Exception {
        assertSubmissionStatus(201, serving.get(0), job("job-98", "standing", 1));
        taskLog.awaitRunning("job-98/0", true);
        state.setLimits(600, 2);
        for (int i = 0; i < 6; i++) {
            ObjectNode submission =
                    MessageEncoding.decodeCbor(job("job-4" + i, "batch", 20))
                            .put("accelerators", 0.0)
                            .put("cpus", 0.1)
                            .put("ram_gb", 0.1);
            assertSubmissionStatus(201, serving.get(i % 2), MessageEncoding.encodeCbor(submission));
        }
        for (int i = 0; i < 6; i++) {
            state.awaitValue("j/job-4" + i, value -> value.path("status").asText().equals("done"));
        }
        assertTrue(
                state.rejectedTransactionCount() < 20,
                "refused " + state.rejectedTransactionCount());
        assertEquals(1, taskLog.startCount("job-98/0"));
        assertNull(taskLog.duplicateExecution());
    }

    /**
     * A transaction without an answer may be applied minutes later: it must not restore an older
     * record.
     */
    @Test
    void delayedTransactionChangesNothing() throws Exception {
        state.holdNextTransaction("s/");
        assertSubmissionStatus(201, serving.get(0), job("job-97", "standing", 1));
        taskLog.awaitRunning("job-97/0", true);
        assertEquals(409, state.applyHeldTransaction());
        assertNull(taskLog.duplicateExecution());
    }

    @Test
    void answersUnavailableDuringStateStoreOutage() throws Exception {
        assertSubmissionStatus(201, serving.get(0), job("job-93", "standing", 1));
        taskLog.awaitRunning("job-93/0", true);
        state.setUnavailable(true);
        assertEquals(503, call(serving.get(0), "GET", "/work/job-93", null).statusCode());
        assertEquals(503, call(serving.get(1), "POST", "/work/job-93/cancel", null).statusCode());
        HttpResponse<byte[]> refused =
                call(serving.get(1), "POST", "/work", job("job-94", "standing", 1));
        assertEquals(503, refused.statusCode());
        assertEquals("1", refused.headers().firstValue("Retry-After").orElse(""));
        state.setUnavailable(false);
        assertEquals(
                "aborted",
                MessageEncoding.decodeCbor(
                                callWithRetry(serving.get(1), "POST", "/work/job-93/cancel", null)
                                        .body())
                        .path("sway")
                        .asText());
        taskLog.awaitRunning("job-93/0", false);
        assertNull(taskLog.duplicateExecution());
    }
}
