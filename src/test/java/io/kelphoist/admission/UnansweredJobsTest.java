package io.kelphoist.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against a job whose queries are deferred without end because its cached record is wrong:
 * the record must be invalidated at intervals. Numbers are virtual times in seconds.
 */
class UnansweredJobsTest {
    private final UnansweredJobs unansweredJobs = new UnansweredJobs();

    @Test
    void deferredJobIsDueForInvalidationEveryTenSeconds() {
        assertFalse(unansweredJobs.onQueryDeferred("job-1", 100));
        assertFalse(unansweredJobs.onQueryDeferred("job-1", 105));
        assertTrue(unansweredJobs.onQueryDeferred("job-1", 110));
        assertFalse(unansweredJobs.onQueryDeferred("job-1", 115));
        assertTrue(unansweredJobs.onQueryDeferred("job-1", 120));
        assertEquals(20, unansweredJobs.longestDeferralSeconds(120), 1e-9);
        unansweredJobs.onQueryAnswered("job-1");
        assertEquals(0, unansweredJobs.size());
        assertFalse(unansweredJobs.onQueryDeferred("job-1", 121));
        assertEquals(1, unansweredJobs.longestDeferralSeconds(122), 1e-9);
    }

    /**
     * The number of tracked jobs is bounded at 1000, and a job that is not queried any more is
     * evicted, so that it does not determine the longest deferral.
     */
    @Test
    void jobsWithoutQueriesAreEvicted() {
        for (int i = 0; i < 3000; i++) {
            unansweredJobs.onQueryDeferred("job-" + i, 100);
        }
        assertEquals(1000, unansweredJobs.size());
        assertFalse(unansweredJobs.onQueryDeferred("job-9999", 300));
        assertEquals(1, unansweredJobs.size());
        assertEquals(0, unansweredJobs.longestDeferralSeconds(300), 1e-9);
    }
}
