package io.kelphoist.statestore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.simulation.ScheduledEvents;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredChanges;
import io.kelphoist.statestore.protocol.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against users' reads that exceed the rate limit, stay without a result or wait for more
 * than half a second, when users send more reads than the limit allows.
 */
class RateLimitedReaderTest {
    private static final double READS_PER_SECOND = 20;

    /** A state store that responds to each read at once, with a virtual clock and timers. */
    private static final class ImmediateStore implements StateStoreReader, EventLoop {
        final ScheduledEvents timers = new ScheduledEvents();
        final List<Double> sentAtSeconds = new ArrayList<>();
        double nowSeconds;

        @Override
        public double nowSeconds() {
            return nowSeconds;
        }

        @Override
        public void schedule(double seconds, Runnable task) {
            timers.add(nowSeconds + seconds, task);
        }

        void advanceTo(double endSeconds) {
            timers.runUntil(endSeconds, atSeconds -> nowSeconds = Math.max(nowSeconds, atSeconds));
            nowSeconds = endSeconds;
        }

        @Override
        public void get(String key, Consumer<StateStoreResult<StoredRecord>> handler) {
            sentAtSeconds.add(nowSeconds);
            handler.accept(new StateStoreResult.OutcomeUnknown<>());
        }

        @Override
        public void readAll(String prefix, Consumer<Optional<StateSnapshot>> handler) {
            handler.accept(Optional.empty());
        }

        @Override
        public void changesSince(
                String prefix, long after, Consumer<StateStoreResult<StoredChanges>> handler) {
            handler.accept(new StateStoreResult.OutcomeUnknown<>());
        }
    }

    @Property(tries = 300, seed = "20261205")
    void readsAreRateLimitedAndEndWithinHalfASecond(
            @ForAll @Size(min = 10, max = 60) List<@IntRange(min = 0, max = 40) Integer> bursts,
            @ForAll @DoubleRange(min = 0.01, max = 0.4) double pause) {
        ImmediateStore store = new ImmediateStore();
        RateLimitedReader reader = new RateLimitedReader(store, store, READS_PER_SECOND);
        int[] requestedCount = {0};
        int[] resultCount = {0};
        for (int burst : bursts) {
            for (int i = 0; i < burst; i++) {
                requestedCount[0]++;
                double requestedAtSeconds = store.nowSeconds;
                reader.get(
                        "j/job-1",
                        result -> {
                            resultCount[0]++;
                            assertTrue(
                                    store.nowSeconds - requestedAtSeconds < 0.51,
                                    "a read must end within 0.5 s, but took "
                                            + (store.nowSeconds - requestedAtSeconds)
                                            + " s");
                        });
            }
            store.advanceTo(store.nowSeconds + pause);
        }
        store.advanceTo(store.nowSeconds + 1);
        assertEquals(requestedCount[0], resultCount[0], "each read must have exactly one result");
        for (int i = 0; i < store.sentAtSeconds.size(); i++) {
            double startSeconds = store.sentAtSeconds.get(i);
            long readsInASecond =
                    store.sentAtSeconds.stream()
                            .filter(
                                    atSeconds ->
                                            atSeconds >= startSeconds
                                                    && atSeconds < startSeconds + 1)
                            .count();
            // The reads of one second, a burst of the reads of another half second, and one.
            assertTrue(
                    readsInASecond <= READS_PER_SECOND * 1.5 + 1,
                    "expected at most 31 reads in one second, was " + readsInASecond);
        }
    }
}
