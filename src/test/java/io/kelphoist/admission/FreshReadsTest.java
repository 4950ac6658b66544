package io.kelphoist.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.statestore.StateStoreSimulation;
import io.kelphoist.statestore.StoredJobs;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Guards against read results that are older than the request, as could happen if several reads
 * share one request to the state store or are served from the cache, while the state store responds
 * late and out of order.
 */
class FreshReadsTest {
    private static final int JOBS = 6;

    /**
     * Ranks of read results: a job's later states have higher ranks. "Unavailable" has the highest,
     * since it is correct for any stored state.
     */
    private static final int RANK_ABSENT = 0;

    private static final int RANK_ACTIVE = 1;
    private static final int RANK_FINAL = 2;
    private static final int RANK_UNAVAILABLE = 3;

    private StateStoreSimulation store;
    private StoredJobs storedJobs;
    private JobLookup lookup;
    private int resultCount;

    /** Creates a new store and lookup for each try, since jqwik runs all tries on one instance. */
    private void reset(int seed) {
        store = new StateStoreSimulation(seed, /* startSeconds= */ 0);
        storedJobs = new StoredJobs(store);
        lookup = new JobLookup(store, store, /* maxRecentAgeSeconds= */ 1);
        resultCount = 0;
    }

    private static int rank(JobReadResult result) {
        if (result instanceof JobReadResult.Present present) {
            return present.record().status().isFinal() ? RANK_FINAL : RANK_ACTIVE;
        }
        return result instanceof JobReadResult.Absent ? RANK_ABSENT : RANK_UNAVAILABLE;
    }

    private int storedRank(String id) {
        return storedJobs
                .status(id)
                .map(status -> status == JobStatus.ACTIVE ? RANK_ACTIVE : RANK_FINAL)
                .orElse(RANK_ABSENT);
    }

    /** Runs one step of a try: the number determines the job and the action. */
    private void runStep(int step) {
        String id = "job-" + step % JOBS;
        switch (step / JOBS % 16) {
            case 0, 1, 2 -> acceptHere(id, step);
            case 3 -> acceptElsewhere(id);
            case 4 -> endJob(id, step % 2 == 0);
            case 5 -> {
                if (step % 3 == 0) {
                    store.setCompactedRevision(store.revision());
                }
            }
            case 6 -> {
                store.faults().setUnavailable(true);
                store.schedule(0.2, () -> store.faults().setUnavailable(false));
            }
            default -> readAndCheck(id);
        }
        store.advance(step % 23 / 200.0);
    }

    /**
     * This controller accepts the job. It receives the outcome of the transaction some time later,
     * possibly after many other events.
     */
    private void acceptHere(String id, int step) {
        if (storedRank(id) == RANK_ABSENT) {
            long revision = storedJobs.putActive(id);
            store.schedule(
                    step % 19 / 40.0,
                    () ->
                            lookup.onWritten(
                                    new JobRecord(
                                            id,
                                            StoredJobs.spec(id),
                                            JobStatus.ACTIVE,
                                            /* timestampMillis= */ 1,
                                            revision)));
        }
    }

    /** Another controller accepts the job, or writes its record again. */
    private void acceptElsewhere(String id) {
        if (storedRank(id) < RANK_FINAL) {
            storedJobs.putActive(id);
        }
    }

    private void endJob(String id, boolean done) {
        if (storedRank(id) == RANK_ACTIVE) {
            storeFinal(id, done);
        }
    }

    private void storeFinal(String id, boolean done) {
        if (done) {
            storedJobs.putDone(id);
        } else {
            storedJobs.putCancelled(id);
        }
    }

    /**
     * Reads a job and checks that the result is not older than the record at the time of the
     * request, and not newer than the stored record at the time of the result.
     */
    private void readAndCheck(String id) {
        int minRank = storedRank(id);
        lookup.read(
                id,
                result -> {
                    resultCount++;
                    assertTrue(
                            rank(result) >= minRank,
                            () ->
                                    id
                                            + ": expected a result of rank "
                                            + minRank
                                            + " or higher, was "
                                            + result);
                    assertTrue(
                            rank(result) == RANK_UNAVAILABLE || rank(result) <= storedRank(id),
                            () -> id + ": expected no result newer than stored, was " + result);
                });
    }

    @Property(tries = 3000, seed = "20261202")
    void resultIsNeverOlderThanTheRequest(
            @ForAll @Size(min = 20, max = 200) List<@IntRange(min = 0, max = 9599) Integer> steps,
            @ForAll @IntRange(min = 0, max = 996) int seed) {
        reset(seed);
        steps.forEach(this::runStep);
        store.advance(30);
    }

    private String readStatus(int number) {
        String[] status = new String[1];
        lookup.read(
                "job-" + number,
                result ->
                        status[0] =
                                result instanceof JobReadResult.Present present
                                        ? present.record().status().toString()
                                        : result.toString());
        store.advance(5);
        return status[0];
    }

    /**
     * The cache of ended jobs is filled with one job more than it holds. The evicted job is read
     * from the state store again, and is unavailable while the state store is.
     */
    @Test
    void evictedFinalJobIsReadAgain() {
        reset(0);
        for (int i = 0; i <= JobLookup.MAX_CACHED_JOBS; i++) {
            storeFinal("job-" + i, i % 2 == 0);
            assertEquals(i % 2 == 0 ? "DONE" : "CANCELLED", readStatus(i));
        }
        store.faults().setUnavailable(true);
        assertEquals("Unavailable[]", readStatus(0));
        assertEquals("CANCELLED", readStatus(1));
        assertEquals("DONE", readStatus(JobLookup.MAX_CACHED_JOBS));
        store.faults().setUnavailable(false);
        assertEquals("DONE", readStatus(0));
    }

    /**
     * More unfinished jobs are read than the cache holds. Evicted jobs that have changed since are
     * read as stored.
     */
    @Test
    void evictedUnfinishedJobsAreReadAsStored() {
        reset(0);
        int jobs = JobRecordCache.MAX_CACHED_JOBS + 50;
        // given
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < jobs; i++) {
                if (round == 0) {
                    storedJobs.putActive("job-" + i);
                }
                readAndExpect("job-" + i, JobStatus.ACTIVE);
            }
            store.advance(5);
        }
        // when
        for (int i = 0; i < jobs; i += 7) {
            storedJobs.putDone("job-" + i);
        }
        // The state store also compacts its changes, so that the cache must be reset.
        store.setCompactedRevision(store.revision());
        // then
        for (int i = 0; i < jobs; i++) {
            readAndExpect("job-" + i, i % 7 == 0 ? JobStatus.DONE : JobStatus.ACTIVE);
        }
        store.advance(10);
    }

    private void readAndExpect(String id, JobStatus status) {
        lookup.read(
                id,
                result ->
                        assertTrue(
                                result instanceof JobReadResult.Present present
                                        && present.record().status() == status,
                                () -> id + ": expected " + status + ", was " + result));
    }

    /** A hundred concurrent reads of a cached job take at most two requests to the state store. */
    @Test
    void concurrentReadsShareRequests() {
        reset(0);
        storedJobs.putActive("job-1");
        for (int round = 0; round < 3; round++) {
            // The first reads load the store's revision and then the record into the cache.
            lookup.read("job-1", result -> resultCount++);
            store.advance(1);
        }
        int requestsBefore = store.requests().size();
        for (int i = 0; i < 100; i++) {
            lookup.read("job-1", result -> resultCount++);
        }
        store.advance(1);
        assertEquals(103, resultCount);
        assertTrue(
                store.requests().size() - requestsBefore <= 2,
                () ->
                        "expected at most 2 requests after the first "
                                + requestsBefore
                                + ", was "
                                + store.requests());
    }
}
