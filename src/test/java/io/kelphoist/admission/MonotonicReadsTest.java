package io.kelphoist.admission;

import static io.kelphoist.model.JobRecordFixtures.jobRecord;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against job states that are reported after a newer one: a read may end after a later read
 * whose result was reported already. Includes the eviction of entries by number and by age. Numbers
 * are job numbers, versions, and times in seconds.
 */
class MonotonicReadsTest {
    private MonotonicReads reads;

    private static JobReadResult active(int number, long version) {
        return new JobReadResult.Present(jobRecord(number, JobStatus.ACTIVE, version));
    }

    private JobReadResult ensureMonotonic(JobReadResult read, double requestedAtSeconds) {
        return reads.ensureMonotonic("job-1", read, requestedAtSeconds);
    }

    @BeforeEach
    void createReads() {
        reads = new MonotonicReads();
    }

    @Test
    void resultsAreNotOlderThanEarlierResponses() {
        assertEquals(active(1, 5), ensureMonotonic(active(1, 5), 0));
        assertEquals(new JobReadResult.Absent(), ensureMonotonic(new JobReadResult.Absent(), 0));
        reads.recordResponse(jobRecord(1, JobStatus.ACTIVE, 5), 1);
        assertEquals(active(1, 5), ensureMonotonic(new JobReadResult.Absent(), 0));
        assertEquals(active(1, 7), ensureMonotonic(active(1, 7), 0));
        // The result "unavailable" is not replaced: the last reported record may be outdated by
        // now.
        assertEquals(
                new JobReadResult.Unavailable(),
                ensureMonotonic(new JobReadResult.Unavailable(), 0));
        JobRecord cancelled = jobRecord(1, JobStatus.CANCELLED, 6);
        reads.recordResponse(cancelled, 2);
        reads.recordResponse(jobRecord(1, JobStatus.ACTIVE, 5), 3);
        assertEquals(new JobReadResult.Present(cancelled), ensureMonotonic(active(1, 5), 0));
    }

    @Test
    void evictionMakesOlderReadsUnavailable() {
        reads.recordResponse(jobRecord(1, JobStatus.ACTIVE, 5), 1);
        for (int i = 2; i <= MonotonicReads.MAX_ENTRIES; i++) {
            reads.recordResponse(jobRecord(i, JobStatus.ACTIVE, 5), 1 + i / 1000.0);
        }
        assertEquals(active(1, 5), ensureMonotonic(new JobReadResult.Absent(), 0.5));
        reads.recordResponse(jobRecord(MonotonicReads.MAX_ENTRIES + 1, JobStatus.ACTIVE, 5), 6);
        assertEquals(
                new JobReadResult.Unavailable(), ensureMonotonic(new JobReadResult.Absent(), 0.5));
        assertEquals(new JobReadResult.Unavailable(), ensureMonotonic(active(1, 4), 1));
        // A read that was sent after the newest evicted entry was reported keeps its result. A
        // final state is returned in any case.
        assertEquals(active(1, 5), ensureMonotonic(active(1, 5), 1.01));
        JobReadResult done = new JobReadResult.Present(jobRecord(1, JobStatus.DONE, 6));
        assertEquals(done, ensureMonotonic(done, 0.5));
    }

    @Test
    void entriesAreEvictedAfterTheRetentionTime() {
        reads.recordResponse(jobRecord(1, JobStatus.ACTIVE, 5), 1);
        reads.recordResponse(
                jobRecord(2, JobStatus.ACTIVE, 5), 1 + MonotonicReads.RETENTION_SECONDS);
        assertEquals(active(1, 5), ensureMonotonic(new JobReadResult.Absent(), 0.5));
        reads.recordResponse(
                jobRecord(2, JobStatus.ACTIVE, 6), 1.1 + MonotonicReads.RETENTION_SECONDS);
        assertEquals(
                new JobReadResult.Unavailable(), ensureMonotonic(new JobReadResult.Absent(), 0.5));
    }
}
