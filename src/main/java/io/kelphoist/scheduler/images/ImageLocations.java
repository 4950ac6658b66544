package io.kelphoist.scheduler.images;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2IntLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2IntMap;
import it.unimi.dsi.fastutil.objects.Reference2IntMaps;

/**
 * Index of the machines that reference an image: it should be cached on the machine, or the machine
 * has an attempt, possibly an exited one, that needs it. On all other machines, the time to fetch
 * the image depends only on the machine's type and the fetches in progress, not on the image's
 * location.
 *
 * @param <M> the type of machines, which are compared by identity
 */
public final class ImageLocations<M> {
    /**
     * By image, the number of references of each machine. Machines are in the order in which they
     * first referenced the image, so that choices among them are deterministic.
     */
    private final Int2ObjectOpenHashMap<Reference2IntLinkedOpenHashMap<M>> referenceCountsByImage =
            new Int2ObjectOpenHashMap<>();

    /** The machines that reference an image, each with its number of references. */
    public Reference2IntMap<M> machinesReferencing(int image) {
        Reference2IntMap<M> machines = referenceCountsByImage.get(image);
        return machines == null ? Reference2IntMaps.emptyMap() : machines;
    }

    /** Whether the machine references the image. */
    public boolean isReferencedBy(int image, M machine) {
        return machinesReferencing(image).containsKey(machine);
    }

    /** Adds a reference of the machine to the image. */
    void addReference(int image, M machine) {
        referenceCountsByImage
                .computeIfAbsent(image, i -> new Reference2IntLinkedOpenHashMap<>())
                .addTo(machine, 1);
    }

    /** Removes a reference of the machine to the image. */
    void removeReference(int image, M machine) {
        Reference2IntLinkedOpenHashMap<M> machines = referenceCountsByImage.get(image);
        if (machines != null && machines.addTo(machine, -1) <= 1) {
            machines.removeInt(machine);
            if (machines.isEmpty()) {
                referenceCountsByImage.remove(image);
            }
        }
    }
}
