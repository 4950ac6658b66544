package io.kelphoist.scheduler.images;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2IntLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2IntMap;
import it.unimi.dsi.fastutil.objects.Reference2IntMaps;

/**
 * The machines that reference each image: the image should be cached on the machine, or the machine
 * has an attempt, possibly an exited one, that needs it. Images are given by their index in {@link
 * ImageCatalog}. On all other machines, the time to fetch the image depends only on the machine's
 * type and the fetches in progress, not on the image's location.
 *
 * @param <M> the type of machines, which are compared by identity
 */
public final class ImageLocations<M> {
    /**
     * By image index, the number of references of each machine. Machines are in the order in which
     * they first referenced the image, so that choices among them are deterministic.
     */
    private final Int2ObjectOpenHashMap<Reference2IntLinkedOpenHashMap<M>> referenceCountsByImage =
            new Int2ObjectOpenHashMap<>();

    /**
     * The machines that reference an image, each with its number of references; empty if there are
     * none. Callers must not change the map.
     */
    public Reference2IntMap<M> machinesReferencing(int imageIndex) {
        Reference2IntMap<M> machines = referenceCountsByImage.get(imageIndex);
        return machines == null ? Reference2IntMaps.emptyMap() : machines;
    }

    /** Whether the machine references the image. */
    public boolean isReferencedBy(int imageIndex, M machine) {
        return machinesReferencing(imageIndex).containsKey(machine);
    }

    /** Adds a reference of the machine to the image. */
    void addReference(int imageIndex, M machine) {
        referenceCountsByImage
                .computeIfAbsent(imageIndex, i -> new Reference2IntLinkedOpenHashMap<>())
                .addTo(machine, 1);
    }

    /** Removes a reference of the machine to the image; no effect if there is none. */
    void removeReference(int imageIndex, M machine) {
        Reference2IntLinkedOpenHashMap<M> machines = referenceCountsByImage.get(imageIndex);
        if (machines != null && machines.addTo(machine, -1) <= 1) {
            machines.removeInt(machine);
            if (machines.isEmpty()) {
                referenceCountsByImage.remove(imageIndex);
            }
        }
    }
}
