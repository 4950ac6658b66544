package io.kelphoist.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a candidate that does not wait for the end of its own grants because the last read
 * of the leadership keys had a leader but no last term.
 */
class LastTermTest {
    private static final double LEASE_SECONDS = 3;
    private static final double GRANT_SECONDS = 1.5;

    private final RecordingActions actions = new RecordingActions();
    private final Election election =
            new Election(
                    "a",
                    List.of("b", "c"),
                    LEASE_SECONDS,
                    GRANT_SECONDS,
                    /* startedAt= */ 0,
                    actions);

    /**
     * The leader of term 6 may act on this controller's grant while term 7, of which it has not
     * learned, is handed over.
     */
    @Test
    void handoverOfALaterTermDoesNotEndTheWaitForAnEarlierGrant() {
        election.onLeaderKeyRead("c", /* holderTerm= */ 5, /* lastTerm= */ 0, 9);
        assertTrue(election.onGrantRequested(/* requestedTerm= */ 6, 10));
        election.onTermEnded(/* endedTerm= */ 7, /* isPreferred= */ true, 10.1);
        tickUntil(10.1, 10 + GRANT_SECONDS);
        assertEquals(0, actions.acquisitions, "acquired while its grant for term 6 was valid");
        tickUntil(10 + GRANT_SECONDS, 10 + 2 * GRANT_SECONDS);
        assertEquals(1, actions.acquisitions, "acquired once after its grant had expired");
    }

    /** Before the first term there are no grants, and nothing to wait for. */
    @Test
    void firstTermIsAcquiredAtOnce() {
        election.onLeaderKeyRead(/* holder= */ null, 0, /* lastTerm= */ 0, 1);
        tickUntil(1, 1.2);
        assertEquals(1, actions.acquisitions);
    }

    private void tickUntil(double fromSeconds, double untilSeconds) {
        for (int i = 0; fromSeconds + i * 0.05 < untilSeconds; i++) {
            election.tick(fromSeconds + i * 0.05);
        }
    }

    /** Counts acquisitions; nothing else has an effect. */
    private static final class RecordingActions implements Election.Actions {
        private int acquisitions;

        @Override
        public void acquireLeadership() {
            acquisitions++;
        }

        @Override
        public void renewLease(long leaseId) {}

        @Override
        public void releaseLease(long leaseId) {}

        @Override
        public void handOverLeadership(long endedTerm, long leaseId) {}

        @Override
        public void requestGrant(String peer, long term, double sentAtSeconds) {}

        @Override
        public boolean isReplicaCurrent() {
            return true;
        }

        @Override
        public void onElected(long term) {}

        @Override
        public void onLeadershipEnded() {}
    }
}
