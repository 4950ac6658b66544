package io.kelphoist.statestore;

import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreResponses;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A read of all records below a prefix, one page after the other. Runs on the event loop. */
final class SnapshotRead {
    /** Requests pages of the records below the prefix. */
    interface PageSource {
        /**
         * Requests the records after a key.
         *
         * @param afterKey empty for the first page
         */
        void requestPage(
                String afterKey,
                Consumer<StateStoreResult<Optional<StateStoreResponses.Page>>> callback);
    }

    private static final Logger LOG = LoggerFactory.getLogger(SnapshotRead.class);

    private final PageSource pages;
    private final Consumer<Optional<StateSnapshot>> callback;
    private final List<StoredRecord> records = new ArrayList<>();

    /**
     * Revision of the first page, which becomes the revision of the snapshot. That of a later page
     * would be too high: the earlier pages do not include changes made after they were read.
     * Negative until the first page is read.
     */
    private long revision = -1;

    /**
     * @param callback receives the snapshot; empty if any page can't be read
     */
    SnapshotRead(PageSource pages, Consumer<Optional<StateSnapshot>> callback) {
        this.pages = pages;
        this.callback = callback;
    }

    /** Requests the first page. Called once. */
    void start() {
        pages.requestPage(/* afterKey= */ "", this::onPage);
    }

    private void onPage(StateStoreResult<Optional<StateStoreResponses.Page>> result) {
        // An empty value is a response without a list of records.
        if (!(result instanceof StateStoreResult.Success<Optional<StateStoreResponses.Page>> ok)
                || ok.value().isEmpty()) {
            callback.accept(Optional.empty());
            return;
        }
        StateStoreResponses.Page page = ok.value().get();
        if (page.hasNext() && page.records().isEmpty()) {
            // There is no key after which the next page could be requested.
            LOG.warn(
                    "state store returned no records but has more: recordsRead={}", records.size());
            callback.accept(Optional.empty());
            return;
        }
        records.addAll(page.records());
        if (revision < 0) {
            revision = page.revision();
        }
        if (page.hasNext()) {
            pages.requestPage(records.get(records.size() - 1).key(), this::onPage);
        } else {
            callback.accept(Optional.of(new StateSnapshot(records, revision)));
        }
    }
}
