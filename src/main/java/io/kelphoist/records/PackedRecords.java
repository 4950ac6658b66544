package io.kelphoist.records;

import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Packs many small entries into few values of the state store, so that entries that change at about
 * the same time cost one write together instead of one each.
 *
 * <p>A page is written as a whole. A removed entry stays in the stored value until its page is
 * written again, for example when another entry of the page is put or moves to another page, or
 * after {@link #requestCompaction}.
 *
 * <p>An entry stays on its page until it is removed or no longer fits there. A page that an earlier
 * term wrote may be larger than the present limit for a value: entries that do not fit any more
 * move to other pages, and so does an entry that has outgrown its page. The page that an entry
 * leaves is written only after the entry is stored on the new page, so that an entry that was
 * stored once is always stored on at least one page until it is removed.
 *
 * <p>Not thread-safe: all methods are called on one thread. Entries are compared by identity.
 *
 * @param <E> the type of the entries
 */
public final class PackedRecords<E> {
    private static final Logger LOG = LoggerFactory.getLogger(PackedRecords.class);

    /** Writes pages to the state store; each outcome is passed to {@link #onPageWritten}. */
    public interface Writer<E> {
        /**
         * Starts the write of a page.
         *
         * @param pageNumber number of the page, from 0
         * @param entries all entries of the page's new value
         */
        void write(int pageNumber, List<E> entries);
    }

    /**
     * A page with a smaller fraction of free bytes is not chosen as {@link #openPage}, unless it
     * has no entries: each write of such a page would add only few new entries.
     */
    private static final double MIN_FREE_FRACTION = 0.25;

    /** Lower bound of the page byte limit, which shrinks when the state store rejects a value. */
    private static final int MIN_PAGE_BYTE_LIMIT = 256;

    private static final int MAX_WRITES_IN_FLIGHT = 4;

    /** Minimum number of write intervals between two writes for compaction. */
    private static final int COMPACTION_INTERVAL_FACTOR = 8;

    /** The page of an entry, and the entry's size in the byte count of that page. */
    private record EntryLocation<E>(RecordPage<E> page, int bytes) {}

    private final double writeIntervalSeconds;
    private final ToIntFunction<E> entryBytes;
    private final Predicate<E> isNeeded;
    private final Writer<E> writer;
    private final List<RecordPage<E>> pages = new ArrayList<>();
    private final Reference2ObjectOpenHashMap<E, EntryLocation<E>> locations =
            new Reference2ObjectOpenHashMap<>();
    private int pageByteLimit;

    /**
     * The page that was last chosen for new entries, and gets more while they fit; null if none.
     */
    private RecordPage<E> openPage;

    private int writesInFlight;

    /**
     * The page at which the next search for due pages starts: pages are searched in round-robin
     * order, so that each due page is written after a limited number of others.
     */
    private int nextPageNumber;

    private double nextWriteAtSeconds;
    private double nextCompactionAtSeconds;

    /**
     * Creates records without entries.
     *
     * @param pageByteLimit the most bytes of a page with more than one entry; shrinks when the
     *     state store rejects a page as too large
     * @param writeIntervalSeconds minimum seconds between two writes; after several pages were
     *     written at the same time, the next write follows after one interval for each of them
     * @param entryBytes returns an upper bound of the bytes of an entry's stored form
     * @param isNeeded whether an entry is needed in the stored value; each write of a page leaves
     *     out the entries that are not
     * @param writer writes the pages
     */
    public PackedRecords(
            int pageByteLimit,
            double writeIntervalSeconds,
            ToIntFunction<E> entryBytes,
            Predicate<E> isNeeded,
            Writer<E> writer) {
        this.pageByteLimit = pageByteLimit;
        this.writeIntervalSeconds = writeIntervalSeconds;
        this.entryBytes = entryBytes;
        this.isNeeded = isNeeded;
        this.writer = writer;
    }

    /**
     * Adds an entry that was read from a stored page, and does not mark the page to be written. An
     * entry that has a page already keeps that page, because an entry is on one page only.
     */
    public void restore(int pageNumber, E entry) {
        RecordPage<E> page = getOrCreatePage(pageNumber);
        page.addStored(entry);
        if (!locations.containsKey(entry)) {
            assign(entry, page, entryBytes.applyAsInt(entry));
        }
    }

    private RecordPage<E> getOrCreatePage(int pageNumber) {
        while (pages.size() <= pageNumber) {
            pages.add(new RecordPage<>(pages.size()));
        }
        return pages.get(pageNumber);
    }

    private void assign(E entry, RecordPage<E> page, int bytes) {
        locations.put(entry, new EntryLocation<>(page, bytes));
        page.add(entry, bytes);
    }

    /** Whether the entry has a page. */
    public boolean contains(E entry) {
        return locations.containsKey(entry);
    }

    /**
     * Adds a new entry or updates the size of a changed one, and marks its page to be written. A
     * changed entry with which its page would exceed the byte limit moves to another page, unless
     * it is the only entry of its page.
     */
    public void put(E entry) {
        EntryLocation<E> location = locations.get(entry);
        int bytes = entryBytes.applyAsInt(entry);
        if (location == null) {
            RecordPage<E> page = findPageWithRoom(bytes);
            assign(entry, page, bytes);
            page.markDirty();
            return;
        }
        RecordPage<E> page = location.page;
        if (page.bytes() - location.bytes + bytes > pageByteLimit && page.entryCount() > 1) {
            move(entry, page, bytes);
        } else {
            page.resizeEntry(location.bytes, bytes);
            locations.put(entry, new EntryLocation<>(page, bytes));
            page.markDirty();
        }
    }

    private void move(E entry, RecordPage<E> source, int bytes) {
        remove(entry);
        source.startMigration(entry);
        RecordPage<E> target = findPageWithRoom(bytes);
        assign(entry, target, entryBytes.applyAsInt(entry));
        target.removeOutdatedStored(entry);
        target.markDirty();
    }

    private RecordPage<E> findPageWithRoom(int bytes) {
        if (openPage != null
                && openPage.acceptsEntries()
                && openPage.bytes() + bytes <= pageByteLimit) {
            return openPage;
        }
        RecordPage<E> smallest = findSmallestPage();
        openPage = hasRoom(smallest, bytes) ? smallest : getOrCreatePage(pages.size());
        return openPage;
    }

    /** Returns the smallest page that accepts entries; null if none does. */
    private RecordPage<E> findSmallestPage() {
        RecordPage<E> smallest = null;
        for (RecordPage<E> page : pages) {
            if (page.acceptsEntries() && (smallest == null || page.bytes() < smallest.bytes())) {
                smallest = page;
            }
        }
        return smallest;
    }

    private boolean hasRoom(RecordPage<E> page, int bytes) {
        return page != null
                && (page.entryCount() == 0
                        || page.bytes() + Math.max(bytes, MIN_FREE_FRACTION * pageByteLimit)
                                <= pageByteLimit);
    }

    /**
     * Replaces {@code entry}, which must have a page, by {@code replacement}, which must have none.
     * Both must have the same stored form, so the page is not written because of that.
     */
    public void replace(E entry, E replacement) {
        RecordPage<E> page = locations.get(entry).page;
        remove(entry);
        assign(replacement, page, entryBytes.applyAsInt(replacement));
        page.addStoredReplacement(entry, replacement);
        for (RecordPage<E> otherPage : pages) {
            otherPage.replaceMigrating(entry, replacement);
        }
    }

    /** Removes an entry. Its page is not written because of that. */
    public void remove(E entry) {
        EntryLocation<E> location = locations.remove(entry);
        if (location != null) {
            location.page.remove(entry, location.bytes);
        }
    }

    /**
     * Requests that pages whose stored values hold obsolete entries are written again without them,
     * because the next leader would read these entries as current. Such writes start only when no
     * other write is due or in flight.
     *
     * @param isObsolete whether an entry is obsolete; the caller has removed all such entries, see
     *     {@link #remove}
     */
    public void requestCompaction(Predicate<E> isObsolete) {
        for (RecordPage<E> page : pages) {
            page.requestCompaction(isObsolete);
        }
    }

    /**
     * Starts the page writes that are due: those of changed pages or, if none started and none is
     * in flight, one for compaction. Starts none before the write interval has passed.
     *
     * @param nowSeconds the present time, on the same clock in each call
     */
    public void writeDuePages(double nowSeconds) {
        if (nowSeconds < nextWriteAtSeconds) {
            return;
        }
        int writesStarted = writeDirtyPages();
        if (writesStarted == 0 && writesInFlight == 0 && nowSeconds >= nextCompactionAtSeconds) {
            writesStarted = compactOnePage(nowSeconds);
        }
        if (writesStarted > 0) {
            nextWriteAtSeconds = nowSeconds + writeIntervalSeconds * writesStarted;
        }
    }

    /** Starts the writes of changed pages; returns how many it started. */
    private int writeDirtyPages() {
        int writesStarted = 0;
        int firstPageNumber = nextPageNumber;
        for (int i = 0; i < pages.size() && writesInFlight < MAX_WRITES_IN_FLIGHT; i++) {
            RecordPage<E> page = pages.get((firstPageNumber + i) % pages.size());
            if (page.isWriteDue() && prepareForWrite(page)) {
                nextPageNumber = page.number() + 1;
                writePage(page);
                writesStarted++;
            }
        }
        return writesStarted;
    }

    /** Starts the write of one page that needs compaction; returns 1, or 0 if none needs it. */
    private int compactOnePage(double nowSeconds) {
        // Iterates by index, because prepareForWrite may append pages to the list.
        for (int i = 0; i < pages.size(); i++) {
            RecordPage<E> page = pages.get(i);
            if (page.needsCompaction() && prepareForWrite(page)) {
                nextCompactionAtSeconds =
                        nowSeconds + writeIntervalSeconds * COMPACTION_INTERVAL_FACTOR;
                writePage(page);
                return 1;
            }
        }
        return 0;
    }

    /**
     * Moves entries to other pages until the page is within the byte limit. Returns whether the
     * page may be written, that is whether all entries that left it are removed or are stored on
     * other pages.
     */
    private boolean prepareForWrite(RecordPage<E> page) {
        while (page.bytes() > pageByteLimit && page.entryCount() > 1) {
            E lastEntry = page.lastEntry();
            move(lastEntry, page, locations.get(lastEntry).bytes);
        }
        return page.removeCompleteMigrations(this::isRemovedOrStored);
    }

    private boolean isRemovedOrStored(E entry) {
        EntryLocation<E> location = locations.get(entry);
        return location == null || location.page.isStored(entry);
    }

    private void writePage(RecordPage<E> page) {
        List<E> entries = page.beginWrite(isNeeded);
        writesInFlight++;
        writer.write(page.number(), entries);
    }

    /**
     * Handles the outcome of a page write. A page that is not known to be stored is written again,
     * except one that is too large and cannot be split.
     *
     * @return the entries of the write, whatever its outcome; empty if no write of this page was in
     *     flight
     */
    public List<E> onPageWritten(int pageNumber, PageWriteOutcome outcome) {
        RecordPage<E> page = pageNumber < pages.size() ? pages.get(pageNumber) : null;
        if (page == null || !page.isWriteInFlight()) {
            return List.of();
        }
        List<E> writtenEntries = page.endWrite();
        writesInFlight--;
        switch (outcome) {
            case STORED -> page.setStored(writtenEntries);
            case UNKNOWN -> page.markDirty();
            case TOO_LARGE -> reducePageByteLimit(page);
        }
        return writtenEntries;
    }

    /**
     * Reduces the byte limit of all pages, because the state store rejected a value of this page's
     * size. The page is written again unless it has at most one entry and so cannot be split.
     */
    private void reducePageByteLimit(RecordPage<E> page) {
        pageByteLimit =
                Math.max(MIN_PAGE_BYTE_LIMIT, Math.min(pageByteLimit, page.bytes()) * 3 / 4);
        if (page.entryCount() > 1) {
            page.markDirty();
        } else {
            page.clearDirty();
        }
        LOG.error(
                "record page rejected as too large by the state store: entries={}"
                        + " newPageLimitBytes={}",
                page.entryCount(),
                pageByteLimit);
    }
}
