package io.kelphoist.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.statestore.StateStoreReader;
import io.kelphoist.statestore.StateStoreSimulation;
import io.kelphoist.statestore.StoredJobs;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredChanges;
import io.kelphoist.statestore.protocol.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Guards against reads that wait for ever because another read of the same job has failed. */
class JobLookupTest {
    private static final double MAX_RECENT_AGE_SECONDS = 1;

    private final StateStoreSimulation store =
            new StateStoreSimulation(/* seed= */ 1, /* startSeconds= */ 0);
    private final List<JobReadResult> results = new ArrayList<>();

    /** Guards against readers of a shared read that get no result as another reader throws. */
    @Test
    void readerOfASharedReadThatThrowsLeavesNoOtherReaderWaiting() {
        JobLookup lookup = new JobLookup(store, store, MAX_RECENT_AGE_SECONDS);
        new StoredJobs(store).putDone("job-1");
        lookup.readRecent(
                "job-1",
                result -> {
                    throw new StackOverflowError();
                });
        lookup.readRecent("job-1", results::add);
        assertThrows(StackOverflowError.class, () -> store.advance(2));
        assertEquals(1, results.size());
    }

    /** Guards against later readers that join a shared read whose request was never sent. */
    @Test
    void sharedReadThatCouldNotBeSentIsNotJoined() {
        FailingStore failingStore = new FailingStore(store);
        JobLookup lookup = new JobLookup(failingStore, store, MAX_RECENT_AGE_SECONDS);
        new StoredJobs(store).putDone("job-1");
        failingStore.isFailing = true;
        assertThrows(StackOverflowError.class, () -> lookup.readRecent("job-1", result -> {}));
        failingStore.isFailing = false;
        lookup.readRecent("job-1", results::add);
        store.advance(2);
        assertEquals(1, results.size());
        assertTrue(results.get(0) instanceof JobReadResult.Present);
    }

    /** Reads from another store, and throws from within the call while it is failing. */
    private static final class FailingStore implements StateStoreReader {
        private final StateStoreReader reader;
        private boolean isFailing;

        FailingStore(StateStoreReader reader) {
            this.reader = reader;
        }

        @Override
        public void get(String key, Consumer<StateStoreResult<StoredRecord>> callback) {
            if (isFailing) {
                throw new StackOverflowError();
            }
            reader.get(key, callback);
        }

        @Override
        public void readAll(String prefix, Consumer<Optional<StateSnapshot>> callback) {
            reader.readAll(prefix, callback);
        }

        @Override
        public void changesSince(
                String prefix,
                long afterRevision,
                Consumer<StateStoreResult<StoredChanges>> callback) {
            reader.changesSince(prefix, afterRevision, callback);
        }
    }
}
