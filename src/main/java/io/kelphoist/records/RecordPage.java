package io.kelphoist.records;

import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * One page of {@link PackedRecords}: the entries assigned to it, the entries in its stored value,
 * and the write in flight.
 */
final class RecordPage<E> {
    private final int number;
    private final ReferenceLinkedOpenHashSet<E> entries = new ReferenceLinkedOpenHashSet<>();

    /**
     * Entries in the stored value, according to the last load or confirmed write. An entry that has
     * left this page is one of them until the next confirmed write. An entry that returns to this
     * page is not, see {@link #removeOutdatedStored}.
     */
    private final Set<E> storedEntries = new ReferenceLinkedOpenHashSet<>();

    /**
     * Entries that moved to other pages. Until they are stored there, only the stored value of this
     * page holds them, so this page is not written.
     */
    private final List<E> migratingEntries = new ArrayList<>();

    /** Entries in the write in flight; empty if no write is in flight, or if it has no entries. */
    private List<E> entriesInFlight = List.of();

    private boolean writeInFlight;
    private int bytes;

    /** A change is to be written. */
    private boolean dirty;

    /** The page is to be written again to remove entries from its stored value. */
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

    /**
     * Whether the page is to be written again only to remove entries from its stored value, see
     * {@link PackedRecords#requestCompaction}.
     */
    boolean needsCompaction() {
        return needsCompaction;
    }

    /**
     * Whether entries may be added. None may be added while a write of the page is in flight, or
     * while the page waits until entries that moved to other pages are stored there. Because of the
     * second condition no two pages ever wait for each other.
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

    /** Records that the entry was read from the stored value. */
    void addStored(E entry) {
        storedEntries.add(entry);
    }

    /**
     * Records that an entry has moved to this page from another one. If the stored value of this
     * page has the entry already, the entry's state there may be outdated; so the entry counts as
     * not stored on this page until the next confirmed write.
     */
    void removeOutdatedStored(E entry) {
        storedEntries.remove(entry);
    }

    /** Records that the entry moved to another page, which must be stored before this page. */
    void startMigration(E entry) {
        dirty = true;
        migratingEntries.add(entry);
    }

    /**
     * Forgets the entries that moved to other pages and for which {@code isComplete} holds; returns
     * whether none is left.
     */
    boolean removeCompleteMigrations(Predicate<E> isComplete) {
        migratingEntries.removeIf(isComplete);
        return migratingEntries.isEmpty();
    }

    /**
     * Records that the stored form of {@code entry} is also that of {@code replacement}: if {@code
     * entry} is stored, so is {@code replacement}. In the write in flight, {@code replacement}
     * takes the place of {@code entry}.
     */
    void addStoredReplacement(E entry, E replacement) {
        if (storedEntries.contains(entry)) {
            storedEntries.add(replacement);
        }
        if (writeInFlight) {
            entriesInFlight =
                    entriesInFlight.stream().map(e -> e == entry ? replacement : e).toList();
        }
    }

    /** Replaces an entry that moved to another page and is not known to be stored there. */
    void replaceMigrating(E entry, E replacement) {
        migratingEntries.replaceAll(e -> e == entry ? replacement : e);
    }

    /**
     * Requests that the page is written again if its stored value or the write in flight has an
     * entry for which {@code isObsolete} holds.
     */
    void requestCompaction(Predicate<E> isObsolete) {
        needsCompaction |=
                storedEntries.stream().anyMatch(isObsolete)
                        || entriesInFlight.stream().anyMatch(isObsolete);
    }

    /**
     * Marks a write as in flight; returns the entries to write. Entries for which {@code isNeeded}
     * does not hold are left out, and stay assigned to the page.
     */
    List<E> beginWrite(Predicate<E> isNeeded) {
        dirty = false;
        needsCompaction = false;
        writeInFlight = true;
        entriesInFlight = entries.stream().filter(isNeeded).toList();
        return entriesInFlight;
    }

    /** Ends the write in flight, whatever its outcome; returns the entries in it. */
    List<E> endWrite() {
        List<E> written = entriesInFlight;
        entriesInFlight = List.of();
        writeInFlight = false;
        return written;
    }

    /** Records that the stored value has these entries and no others. */
    void setStored(List<E> stored) {
        storedEntries.clear();
        storedEntries.addAll(stored);
    }
}
