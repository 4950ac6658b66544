package io.kelphoist.core;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.List;

/** Maps names to dense indices, once, where they come in. */
public final class Index {
    private final Object2IntOpenHashMap<String> numbers = new Object2IntOpenHashMap<>();
    private final List<String> names = new ArrayList<>();

    public Index() {
        numbers.defaultReturnValue(-1);
    }

    public int of(String name) {
        int known = numbers.getInt(name);
        if (known >= 0) {
            return known;
        }
        numbers.put(name, names.size());
        names.add(name);
        return names.size() - 1;
    }

    /** The index of a name, or -1 if it never came in. */
    public int find(String name) {
        return numbers.getInt(name);
    }

    public String name(int index) {
        return names.get(index);
    }

    public int size() {
        return names.size();
    }
}
