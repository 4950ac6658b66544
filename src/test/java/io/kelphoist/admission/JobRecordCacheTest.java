package io.kelphoist.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.NullNode;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobRecordFixtures;
import io.kelphoist.model.JobStatus;
import io.kelphoist.statestore.StateStoreReader;
import io.kelphoist.statestore.StateStoreSimulation;
import io.kelphoist.statestore.protocol.RecordChange;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredChanges;
import io.kelphoist.statestore.protocol.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Guards against a record that is cached as current although the job changed while its read was in
 * flight, because that change was evicted by the changes of many other jobs; and against readers
 * that wait for ever.
 */
class JobRecordCacheTest {
    private static final int MANY_JOBS = 30_000;
    private static final long READ_VERSION = 5;

    private final StubStore store = new StubStore();
    private final JobRecordCache cache = new JobRecordCache(store, new ImmediateLoop(), job -> {});

    @Test
    void lateReadIsNotCachedAfterTheJobsChangeWasEvicted() {
        long epoch = startEpoch();
        JobRecord late = JobRecordFixtures.jobRecord(1, JobStatus.ACTIVE, READ_VERSION);
        changeManyJobs();
        cache.onRead(late, epoch);
        assertNull(cache.getIfPresent("job-1"), "an old record is cached as current");
    }

    @Test
    void lateOutcomeOfAWriteIsNotCachedAfterTheJobsChangeWasEvicted() {
        startEpoch();
        JobRecord late = JobRecordFixtures.jobRecord(1, JobStatus.ACTIVE, READ_VERSION);
        changeManyJobs();
        cache.onWritten(late);
        assertNull(cache.getIfPresent("job-1"), "an old record is cached as current");
    }

    /** A read that was sent after the evictions is cached, however old its record is. */
    @Test
    void laterReadIsCached() {
        startEpoch();
        changeManyJobs();
        long epoch = cache.epoch();
        cache.onRead(JobRecordFixtures.jobRecord(2 * MANY_JOBS, JobStatus.ACTIVE, 2), epoch);
        assertNotNull(cache.getIfPresent("job-" + 2 * MANY_JOBS));
    }

    /** Guards against readers that wait for ever because another reader's callback throws. */
    @Test
    void readerThatThrowsLeavesNoOtherReaderWaiting() {
        StateStoreSimulation loop = new StateStoreSimulation(/* seed= */ 1, /* startSeconds= */ 0);
        JobRecordCache sharedCache = new JobRecordCache(loop, loop, job -> {});
        sharedCache.epoch();
        loop.advance(1);
        List<JobRecordCache.RevalidationResult> results = new ArrayList<>();
        sharedCache.awaitRevalidation(
                result -> {
                    sharedCache.awaitRevalidation(results::add);
                    throw new StackOverflowError();
                });
        sharedCache.awaitRevalidation(results::add);
        assertThrows(StackOverflowError.class, () -> loop.advance(1));
        loop.advance(1);
        assertEquals(2, results.size(), "a reader of the same or of the next revalidation waits");
        sharedCache.awaitRevalidation(results::add);
        loop.advance(2);
        assertEquals(3, results.size(), "a later reader waits");
        assertEquals(0, sharedCache.revalidationWaitSeconds(loop.nowSeconds()));
    }

    /** The time that readers have waited is reported, as the only sign of a lost revalidation. */
    @Test
    void waitIsReportedUntilTheRevalidationHasEnded() {
        StateStoreSimulation loop = new StateStoreSimulation(/* seed= */ 1, /* startSeconds= */ 0);
        JobRecordCache unansweredCache = new JobRecordCache(new SilentStore(), loop, job -> {});
        unansweredCache.epoch();
        unansweredCache.awaitRevalidation(result -> {});
        loop.advance(7);
        assertEquals(7, unansweredCache.revalidationWaitSeconds(loop.nowSeconds()), 1e-9);
    }

    private long startEpoch() {
        cache.epoch();
        return cache.epoch();
    }

    /** Job 1 changes after the version that is being read, and many other jobs after it. */
    private void changeManyJobs() {
        for (int job = 1; job <= MANY_JOBS; job++) {
            String key = StateStoreKeys.JOBS_PREFIX + "job-" + job;
            store.changes.add(
                    new RecordChange(
                            new StoredRecord(key, NullNode.getInstance(), READ_VERSION + job),
                            /* deleted= */ false));
        }
        List<JobRecordCache.RevalidationResult> results = new ArrayList<>();
        cache.awaitRevalidation(results::add);
        assertEquals(List.of(JobRecordCache.RevalidationResult.CURRENT), results);
    }

    /** Returns a revision, and never responds to requests for changes. */
    private static final class SilentStore extends StubStore {
        @Override
        public void changesSince(
                String prefix,
                long afterRevision,
                Consumer<StateStoreResult<StoredChanges>> callback) {}
    }

    /** Runs tasks at once. */
    private static final class ImmediateLoop implements EventLoop {
        @Override
        public double nowSeconds() {
            return 0;
        }

        @Override
        public void schedule(double seconds, Runnable task) {
            task.run();
        }
    }

    /** Returns an empty snapshot of revision 1, and the given changes. */
    private static class StubStore implements StateStoreReader {
        private final List<RecordChange> changes = new ArrayList<>();

        @Override
        public void get(String key, Consumer<StateStoreResult<StoredRecord>> callback) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void readAll(String prefix, Consumer<Optional<StateSnapshot>> callback) {
            callback.accept(Optional.of(new StateSnapshot(List.of(), 1)));
        }

        @Override
        public void changesSince(
                String prefix,
                long afterRevision,
                Consumer<StateStoreResult<StoredChanges>> callback) {
            long revision = READ_VERSION + changes.size();
            callback.accept(new StateStoreResult.Success<>(new StoredChanges(changes, revision)));
        }
    }
}
