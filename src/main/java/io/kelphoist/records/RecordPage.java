package io.kelphoist.records;

import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * One page of {@link PackedRecords}: the entries assigned to it, the entries that its stored value
 * holds according to the last load or confirmed write, and the write in flight.
 */
final class RecordPage<E> {
    private final int number;
    private final ReferenceLinkedOpenHashSet<E> entries = new ReferenceLinkedOpenHashSet<>();

    /** Entries that the stored value holds, according to the last load or confirmed write. */
    private final Set<E> storedEntries = new ReferenceLinkedOpenHashSet<>();

    /**
     * Entries that moved to other pages. Until they are stored there, only the stored value of this
     * page holds them, so this page is not written.
     */
    private final List<E> migratingEntries = new ArrayList<>();

    /** Entries in the write in flight; empty if no write is in flight. */
    private List<E> entriesInFlight = List.of();

    private boolean writeInFlight;
    private int bytes;
    private boolean dirty;
    private boolean needsCompaction;

    RecordPage(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    /** An upper bound of the bytes of the stored form of its entries. */
    int bytes() {
        return bytes;
    }

    int entryCount() {
        return entries.size();
    }

    /** The entry that was added last. */
    E lastEntry() {
        return entries.last();
    }

    boolean isWriteInFlight() {
        return writeInFlight;
    }

    /** Whether it has changes to be written and no write of it is in flight. */
    boolean isWriteDue() {
        return dirty && !writeInFlight;
    }

    boolean needsCompaction() {
        return needsCompaction;
    }

    /**
     * Whether new entries may be added. A page that waits until entries of it are stored on another
     * page accepts none, so that no two pages ever wait for each other.
     */
    boolean acceptsEntries() {
        return !writeInFlight && migratingEntries.isEmpty();
    }

    void add(E entry, int entryBytes) {
        entries.add(entry);
        bytes += entryBytes;
    }

    void remove(E entry, int entryBytes) {
        entries.remove(entry);
        bytes -= entryBytes;
    }

    void resizeEntry(int oldBytes, int newBytes) {
        bytes += newBytes - oldBytes;
    }

    void markDirty() {
        dirty = true;
    }

    void clearDirty() {
        dirty = false;
    }

    boolean isStored(E entry) {
        return storedEntries.contains(entry);
    }

    /** Records that the stored value holds the entry. */
    void addStored(E entry) {
        storedEntries.add(entry);
    }

    /** Records that the state of the entry in the stored value is outdated. */
    void removeStored(E entry) {
        storedEntries.remove(entry);
    }

    /** Records that the entry moved to another page, which must be stored before this page. */
    void startMigration(E entry) {
        dirty = true;
        migratingEntries.add(entry);
    }

    /** Removes the migrations that are complete; returns whether none is left. */
    boolean finishMigrations(Predicate<E> isComplete) {
        migratingEntries.removeIf(isComplete);
        return migratingEntries.isEmpty();
    }

    /** Makes {@code replacement} the entry that the stored form of {@code entry} represents. */
    void replaceStored(E entry, E replacement) {
        if (storedEntries.contains(entry)) {
            storedEntries.add(replacement);
        }
        if (writeInFlight) {
            entriesInFlight =
                    entriesInFlight.stream().map(e -> e == entry ? replacement : e).toList();
        }
    }

    void replaceMigrating(E entry, E replacement) {
        migratingEntries.replaceAll(e -> e == entry ? replacement : e);
    }

    /** Requests compaction if an obsolete entry is stored or is in the write in flight. */
    void requestCompaction(Predicate<E> isObsolete) {
        needsCompaction |=
                storedEntries.stream().anyMatch(isObsolete)
                        || entriesInFlight.stream().anyMatch(isObsolete);
    }

    /** Marks a write as in flight; returns the entries to write. */
    List<E> beginWrite(Predicate<E> isCurrent) {
        dirty = false;
        needsCompaction = false;
        writeInFlight = true;
        entriesInFlight = entries.stream().filter(isCurrent).toList();
        return entriesInFlight;
    }

    /** Ends the write in flight; returns the entries in it. */
    List<E> endWrite() {
        List<E> written = entriesInFlight;
        entriesInFlight = List.of();
        writeInFlight = false;
        return written;
    }

    /** Records that the stored value holds these entries and no others. */
    void setStored(List<E> stored) {
        storedEntries.clear();
        storedEntries.addAll(stored);
    }
}
