package io.kelphoist.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** One job whose queries are deferred each time, among others that are answered. */
class UnansweredJobsTest {
    private final UnansweredJobs unanswered = new UnansweredJobs();

    @Test
    void deferredJobIsDueForARecheckEveryTenSeconds() {
        assertFalse(unanswered.onQueryDeferred("job-1", 100));
        assertFalse(unanswered.onQueryDeferred("job-1", 105));
        assertTrue(unanswered.onQueryDeferred("job-1", 110));
        assertFalse(unanswered.onQueryDeferred("job-1", 115));
        assertTrue(unanswered.onQueryDeferred("job-1", 120));
        assertEquals(20, unanswered.longestDeferralSeconds(120), 1e-9);
        unanswered.onQueryAnswered("job-1");
        assertEquals(0, unanswered.size());
        assertFalse(unanswered.onQueryDeferred("job-1", 121));
        assertEquals(1, unanswered.longestDeferralSeconds(122), 1e-9);
    }

    /**
     * Some jobs are not queried any more: the number of remembered jobs is bounded, and the longest
     * wait is not that of a forgotten one.
     */
    @Test
    void jobsWithoutQueriesAreForgotten() {
        for (int i = 0; i < 3000; i++) {
            unanswered.onQueryDeferred("job-" + i, 100);
        }
        assertEquals(1000, unanswered.size());
        assertFalse(unanswered.onQueryDeferred("job-9999", 300));
        assertEquals(1, unanswered.size());
        assertEquals(0, unanswered.longestDeferralSeconds(300), 1e-9);
    }
}
