package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.MachineType;
import io.kelphoist.model.NameIndex;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The machine types that the cloud offers, and the zones. Owns both; entries are added or replaced,
 * and never removed.
 */
public final class MachineCatalog {
    private final NameIndex zones = new NameIndex();
    private final Map<String, MachineType> typesByName = new LinkedHashMap<>();
    private double maxFetchGbPerSecond;

    /** Creates a catalog with these zones and without machine types. */
    public MachineCatalog(Collection<String> zoneNames) {
        zoneNames.forEach(zones::getOrAssign);
    }

    /** Adds machine types, or replaces those of the same name, and adds their zones. */
    public void addTypes(Collection<MachineType> machineTypes) {
        for (MachineType machineType : machineTypes) {
            typesByName.put(machineType.name(), machineType);
            maxFetchGbPerSecond = Math.max(maxFetchGbPerSecond, machineType.fetchGbPerSecond());
            machineType.zones().forEach(zones::getOrAssign);
        }
    }

    /** The machine type with this name; null: the catalog does not contain it. */
    public MachineType type(String name) {
        return typesByName.get(name);
    }

    /** A read-only view of all machine types by name. */
    public Map<String, MachineType> typesByName() {
        return Collections.unmodifiableMap(typesByName);
    }

    /** The zones and their indices. */
    public NameIndex zones() {
        return zones;
    }

    /** The highest image fetch rate of all machine types added so far, in GB per second. */
    public double maxFetchGbPerSecond() {
        return maxFetchGbPerSecond;
    }
}
