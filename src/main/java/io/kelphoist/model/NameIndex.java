package io.kelphoist.model;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.List;

/**
 * Assigns names consecutive indices from 0, in the order in which they are added. Not thread-safe.
 */
public final class NameIndex {
    private final Object2IntOpenHashMap<String> indicesByName = new Object2IntOpenHashMap<>();
    private final List<String> names = new ArrayList<>();

    /** Creates an index without names. */
    public NameIndex() {
        indicesByName.defaultReturnValue(-1);
    }

    /** Returns the index of a name, and assigns the next one if the name is new. */
    public int getOrAssign(String name) {
        int index = indicesByName.getInt(name);
        if (index >= 0) {
            return index;
        }
        indicesByName.put(name, names.size());
        names.add(name);
        return names.size() - 1;
    }

    /** Returns the index of a name; -1 if it has none. */
    public int find(String name) {
        return indicesByName.getInt(name);
    }

    /**
     * Returns the name that has an index.
     *
     * @throws IndexOutOfBoundsException if no name has it
     */
    public String name(int index) {
        return names.get(index);
    }

    /** Returns the number of names. */
    public int size() {
        return names.size();
    }
}
