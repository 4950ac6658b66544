package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.kelphoist.config.OperatorSettings;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A leader on loopback that is killed and restarts before another controller notices. Guards
 * against a restarted leader that waits until the lease of its previous process expires: that lease
 * lasts longer than the timeout of the test.
 */
@Timeout(45)
class ImmediateRestartTest extends LocalClusterFixture {
    private static final int LEADER_LEASE_MILLIS = 60_000;

    @Override
    OperatorSettings operatorSettings() {
        return new OperatorSettings(
                /* leaderLeaseMillis= */ LEADER_LEASE_MILLIS,
                /* grantMillis= */ 500,
                /* machineHoldBackoffSeconds= */ 5,
                /* localityWaitSeconds= */ 1,
                /* machineHoldSeconds= */ 20,
                /* gangReservationSeconds= */ 15,
                /* headroom= */ 0.1,
                /* idleSeconds= */ 40,
                /* leaseDelegation= */ true,
                /* standby= */ true,
                /* grpc= */ Optional.empty(),
                /* traceCollector= */ Optional.empty());
    }

    @Test
    void acquiresLeadershipWithoutWaitingForItsOldLease() throws Exception {
        assertSubmissionStatus(201, userAddresses.get(0), job("job-96", "standing", 1));
        taskLog.awaitRunning("job-96/0", /* isRunning= */ true);
        int leader = leaderIndex();
        long term = storedTerm();
        controllers.get(leader).stop();
        controllers.set(
                leader,
                ControllerProcess.start(
                        settings.get(leader), operatorSettings(), System.nanoTime() * 1e-9));
        stateStore.awaitValue("k/term", value -> value.path("term").asLong() == term + 1);
        assertSubmissionStatus(201, userAddresses.get(leader), job("job-97", "standing", 1));
        taskLog.awaitRunning("job-97/0", /* isRunning= */ true);
        assertEquals(1, taskLog.startCount("job-96/0"));
        assertNull(taskLog.duplicateExecution());
    }
}
