package io.kelphoist.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobRecordFixtures;
import io.kelphoist.model.JobSpecBuilder;
import io.kelphoist.model.JobStatus;
import io.kelphoist.statestore.StateStoreSimulation;
import io.kelphoist.statestore.StoredJobs;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a check of dependencies that overflows the stack or visits too few jobs, depending
 * on which of their records are cached and so are passed on at once.
 */
class DependencyWalkTest {
    /** The stack of the event loop's thread with the command line of the deploy file. */
    private static final long EVENT_LOOP_STACK_BYTES = 256 << 10;

    private static final int MANY_JOBS = JobLookup.MAX_CACHED_JOBS;

    private final StateStoreSimulation store =
            new StateStoreSimulation(/* seed= */ 1, /* startSeconds= */ 0);
    private final StoredJobs storedJobs = new StoredJobs(store);
    private final JobLookup lookup = new JobLookup(store, store, /* maxRecentAgeSeconds= */ 100);
    private final List<DependencyStatus> results = new ArrayList<>();

    private static List<String> jobIds(int count) {
        return IntStream.range(0, count).mapToObj(i -> "job-" + i).toList();
    }

    private void start(List<String> dependencies) {
        DependencyWalk.start(lookup, dependencies, results::add);
    }

    /** Guards against a job that is never answered for because it needs many jobs that are done. */
    @Test
    void manyCachedEndedDependenciesDoNotOverflowTheStack() throws InterruptedException {
        for (int i = 0; i < MANY_JOBS; i++) {
            lookup.onWritten(JobRecordFixtures.jobRecord(i, JobStatus.DONE, /* version= */ i));
        }
        runWithEventLoopStack(() -> start(jobIds(MANY_JOBS)));
        assertEquals(List.of(DependencyStatus.NONE_CANCELLED), results);
    }

    /** Guards against the same overflow by unfinished jobs, whose records are cached elsewhere. */
    @Test
    void manyCachedUnfinishedDependenciesDoNotOverflowTheStack() throws InterruptedException {
        beginCaching();
        for (int i = 0; i < MANY_JOBS; i++) {
            lookup.onWritten(
                    JobRecordFixtures.jobRecord(i, JobStatus.ACTIVE, store.revision() + 1));
        }
        runWithEventLoopStack(() -> start(jobIds(MANY_JOBS)));
        assertEquals(List.of(DependencyStatus.NONE_CANCELLED), results);
    }

    /** Every second record is cached: the walk goes on after each read, and ends once. */
    @Test
    void cancelledDependencyIsFoundBehindCachedAndUncachedOnes() {
        int count = 100;
        for (int i = 0; i < count; i++) {
            if (i % 2 == 0) {
                lookup.onWritten(JobRecordFixtures.jobRecord(i, JobStatus.DONE, /* version= */ i));
            } else {
                storedJobs.putDone("job-" + i);
            }
        }
        start(jobIds(count));
        storedJobs.putCancelled("job-" + count);
        start(jobIds(count + 1));
        store.advance(200);
        assertEquals(List.of(DependencyStatus.NONE_CANCELLED, DependencyStatus.CANCELLED), results);
    }

    /** A cancelled job is found through a cached unfinished one that depends on it. */
    @Test
    void cancelledIndirectDependencyIsFound() {
        beginCaching();
        JobRecord dependent =
                new JobRecord(
                        "job-1",
                        new JobSpecBuilder("job-1").dependencies(List.of("job-2")).build(),
                        JobStatus.ACTIVE,
                        /* timestampMillis= */ 0,
                        store.revision() + 1);
        lookup.onWritten(dependent);
        storedJobs.putCancelled("job-2");
        start(List.of("job-1"));
        assertEquals(List.of(), results);
        store.advance(5);
        assertEquals(List.of(DependencyStatus.CANCELLED), results);
    }

    /** Unfinished jobs are cached once an initial revision has been read. */
    private void beginCaching() {
        lookup.read("job-0", result -> {});
        store.advance(5);
    }

    private static void runWithEventLoopStack(Runnable task) throws InterruptedException {
        AtomicReference<Throwable> failure = new AtomicReference<>();
        Thread thread = new Thread(null, task, "event loop", EVENT_LOOP_STACK_BYTES);
        thread.setUncaughtExceptionHandler((ignored, thrown) -> failure.set(thrown));
        thread.start();
        thread.join();
        assertEquals(null, failure.get());
    }
}
