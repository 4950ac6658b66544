package io.kelphoist.statestore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.statestore.protocol.RecordChange;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Guards against a watch that ends without a sign because its listener throws: the controller then
 * receives no further records for as long as its process lives.
 */
class RecordWatcherTest {
    private static final int HOLD_MILLIS = 1000;
    private static final double PAUSE_SECONDS = 0.5;

    private final StateStoreSimulation store =
            new StateStoreSimulation(/* seed= */ 1, /* startSeconds= */ 0);
    private final StoredJobs storedJobs = new StoredJobs(store);
    private final FailingListener listener = new FailingListener();
    private final RecordWatcher watcher =
            new RecordWatcher(store, store, StateStoreKeys.JOBS_PREFIX, HOLD_MILLIS, listener);

    /** Fails on one delivery, after the first record of it, if told so. */
    private static final class FailingListener implements RecordWatcher.Listener {
        private final Set<String> receivedKeys = new TreeSet<>();
        private boolean failsNext;
        private int staleCount;

        @Override
        public void onSnapshot(StateSnapshot snapshot, double requestedAtSeconds) {
            receivedKeys.clear();
            receive(snapshot.records());
        }

        @Override
        public void onChanges(
                List<RecordChange> changes, long revision, double requestedAtSeconds) {
            receive(changes.stream().map(RecordChange::record).toList());
        }

        @Override
        public void onStale() {
            staleCount++;
        }

        private void receive(List<StoredRecord> records) {
            for (StoredRecord record : records) {
                receivedKeys.add(record.key());
                if (failsNext) {
                    failsNext = false;
                    throw new StackOverflowError();
                }
            }
        }
    }

    private static Set<String> keys(int count) {
        Set<String> keys = new TreeSet<>();
        for (int i = 0; i < count; i++) {
            keys.add(StateStoreKeys.jobKey("job-" + i));
        }
        return keys;
    }

    @Test
    void changesAreDeliveredAgainAfterTheListenerHasThrown() {
        watcher.watch(PAUSE_SECONDS);
        store.advance(5);
        listener.failsNext = true;
        storedJobs.putActive("job-0");
        storedJobs.putActive("job-1");
        store.advance(10);
        storedJobs.putActive("job-2");
        store.advance(10);
        assertEquals(keys(3), listener.receivedKeys);
        assertEquals(1, listener.staleCount);
    }

    @Test
    void snapshotIsDeliveredAgainAfterTheListenerHasThrown() {
        storedJobs.putActive("job-0");
        storedJobs.putActive("job-1");
        listener.failsNext = true;
        watcher.watch(PAUSE_SECONDS);
        store.advance(10);
        assertEquals(keys(2), listener.receivedKeys);
    }

    /** A new leader waits for this call back before it schedules. */
    @Test
    void catchUpEndsAfterTheListenerHasThrown() {
        watcher.watch(PAUSE_SECONDS);
        store.advance(5);
        watcher.stop();
        storedJobs.putActive("job-0");
        storedJobs.putActive("job-1");
        listener.failsNext = true;
        List<Set<String>> receivedWhenCaughtUp = new ArrayList<>();
        watcher.catchUp(() -> receivedWhenCaughtUp.add(new TreeSet<>(listener.receivedKeys)));
        store.advance(10);
        assertEquals(List.of(keys(2)), receivedWhenCaughtUp);
    }

    /** The pause keeps a listener that fails again and again from being called without end. */
    @Test
    void deliveryIsRepeatedAfterAPause() {
        watcher.watch(/* pauseSeconds= */ 0);
        store.advance(5);
        int requestsBefore = store.requests().size();
        for (int i = 0; i < 8; i++) {
            listener.failsNext = true;
            storedJobs.putActive("job-" + i);
            store.advance(0.25);
        }
        assertTrue(store.requests().size() - requestsBefore <= 8);
    }
}
