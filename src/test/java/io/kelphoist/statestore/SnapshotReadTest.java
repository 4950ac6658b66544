package io.kelphoist.statestore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.NullNode;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreResponses.Page;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against a read that counts as complete, or never ends, when the state store returns a page
 * without records although there are more.
 */
class SnapshotReadTest {
    private static final Page EMPTY_WITH_MORE = new Page(List.of(), 7, /* hasNext= */ true);
    private static final Page FIRST = page(/* hasNext= */ true, "j/1", "j/2");
    private static final Page LAST = page(/* hasNext= */ false, "j/3");
    private static final int MAX_REQUESTS = 100;

    private final List<String> requestedAfterKeys = new ArrayList<>();

    @Test
    void anEmptyFirstPageWithMoreToComeFailsTheRead() {
        assertTrue(read(List.of(EMPTY_WITH_MORE, LAST)).isEmpty());
    }

    @Test
    void anEmptyLaterPageWithMoreToComeFailsTheRead() {
        List<Page> pages = new ArrayList<>(List.of(FIRST));
        for (int i = 0; i < MAX_REQUESTS; i++) {
            pages.add(EMPTY_WITH_MORE);
        }
        assertTrue(read(pages).isEmpty());
        assertEquals(List.of("", "j/2"), requestedAfterKeys);
    }

    @Test
    void readsAllPages() {
        Optional<StateSnapshot> snapshot = read(List.of(FIRST, LAST));
        assertEquals(3, snapshot.orElseThrow().records().size());
        assertEquals(List.of("", "j/2"), requestedAfterKeys);
    }

    private Optional<StateSnapshot> read(List<Page> pages) {
        List<Optional<StateSnapshot>> results = new ArrayList<>();
        new SnapshotRead(
                        (afterKey, callback) -> {
                            Page page = pages.get(requestedAfterKeys.size());
                            requestedAfterKeys.add(afterKey);
                            callback.accept(new StateStoreResult.Success<>(Optional.of(page)));
                        },
                        results::add)
                .start();
        assertEquals(1, results.size());
        return results.get(0);
    }

    private static Page page(boolean hasNext, String... keys) {
        List<StoredRecord> records = new ArrayList<>();
        for (String key : keys) {
            records.add(new StoredRecord(key, NullNode.getInstance(), 1));
        }
        return new Page(records, 7, hasNext);
    }
}
