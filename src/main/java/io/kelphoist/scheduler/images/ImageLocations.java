package io.kelphoist.scheduler.images;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2IntLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2IntMap;
import it.unimi.dsi.fastutil.objects.Reference2IntMaps;

/**
 * Index of the machines that are related to an image: the image is cached there, or a task is or
 * was there that needs it. For any other machine, only its load decides what fetching the image
 * costs.
 *
 * @param <M> the machines, which are told apart by identity
 */
public final class ImageLocations<M> {
    /**
     * By image, how many reasons each machine has to be related to it. In the order in which the
     * machines became related, so that choices among them are deterministic.
     */
    private final Int2ObjectOpenHashMap<Reference2IntLinkedOpenHashMap<M>> referenceCountsByImage =
            new Int2ObjectOpenHashMap<>();

    /** The machines that are related to an image, each with the number of reasons. */
    public Reference2IntMap<M> machinesReferencing(int image) {
        Reference2IntMap<M> machines = referenceCountsByImage.get(image);
        return machines == null ? Reference2IntMaps.emptyMap() : machines;
    }

    /** Whether the machine is related to the image. */
    public boolean isReferencedBy(int image, M machine) {
        return machinesReferencing(image).containsKey(machine);
    }

    /** The machine has one more reason to be related to the image. */
    void addReference(int image, M machine) {
        referenceCountsByImage
                .computeIfAbsent(image, i -> new Reference2IntLinkedOpenHashMap<>())
                .addTo(machine, 1);
    }

    /** The machine has one reason less to be related to the image. */
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
