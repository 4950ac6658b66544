package io.kelphoist.scheduler.cluster;

import io.kelphoist.scheduler.images.ImageLocations;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.Collection;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The machines of one term, and the names of those whose termination is confirmed. Owns both, and
 * the index of image locations.
 */
public final class MachineRegistry {
    private final Object2ObjectOpenHashMap<String, Machine> machinesByName =
            new Object2ObjectOpenHashMap<>();

    /**
     * Names of machines whose termination is confirmed. The cloud never reuses a name, so delayed
     * messages of these machines are ignored.
     */
    private final Set<String> terminatedNames = new ObjectOpenHashSet<>();

    private final ImageLocations<Machine> imageLocations = new ImageLocations<>();
    private final Consumer<Machine> cachedImagesRestorer;

    /**
     * Creates a registry without machines.
     *
     * @param cachedImagesRestorer called with each machine that is added; restores the images that
     *     an earlier term stored as cached on it
     */
    public MachineRegistry(Consumer<Machine> cachedImagesRestorer) {
        this.cachedImagesRestorer = cachedImagesRestorer;
    }

    /** The machine with this name; null: the registry does not contain it. */
    public Machine get(String name) {
        return machinesByName.get(name);
    }

    /**
     * All machines whose termination is not confirmed, in no particular order; callers must not
     * change the collection.
     */
    public Collection<Machine> all() {
        return machinesByName.values();
    }

    /** Number of machines whose termination is not confirmed. */
    int size() {
        return machinesByName.size();
    }

    /** Whether the termination of the machine with this name is confirmed. */
    public boolean isTerminated(String name) {
        return terminatedNames.contains(name);
    }

    /** Index of the machines that reference each image. */
    public ImageLocations<Machine> imageLocations() {
        return imageLocations;
    }

    /** Adds a machine, and restores what an earlier term stored of its image cache. */
    public void add(Machine machine) {
        machinesByName.put(machine.name(), machine);
        machine.images().setLocations(imageLocations);
        cachedImagesRestorer.accept(machine);
    }

    /**
     * Removes a machine whose termination is confirmed.
     *
     * @return the machine; null: the registry did not contain it
     */
    public Machine remove(String name) {
        terminatedNames.add(name);
        return machinesByName.remove(name);
    }
}
