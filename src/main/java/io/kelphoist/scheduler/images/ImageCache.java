package io.kelphoist.scheduler.images;

import io.kelphoist.model.MachineType;
import it.unimi.dsi.fastutil.ints.IntArrayList;

/**
 * The images that should be cached on one machine, given that its worker evicts the least recently
 * used ones. Also maintains the machine's references in {@link ImageLocations}: one for each cached
 * image, and one for each attempt that needs an image.
 *
 * @param <M> the type of machines in {@link ImageLocations}
 */
public final class ImageCache<M> {
    private final M machine;
    private final double capacityGb;
    private ImageLocations<M> locations;

    /** The indices of the cached images, least recently used first. */
    private final IntArrayList cached = new IntArrayList();

    private double cachedGb;

    /** Creates the cache of a machine, with no images. */
    public ImageCache(M machine, MachineType type) {
        this.machine = machine;
        this.capacityGb = type.cacheGb();
    }

    /** Sets the index in which references are kept; must be called once, before other methods. */
    public void setLocations(ImageLocations<M> imageLocations) {
        locations = imageLocations;
    }

    /** Adds the reference of an attempt that needs the image and may be on the machine. */
    public void addReference(int image) {
        locations.addReference(image, machine);
    }

    /** Removes the reference of an attempt that is not on the machine any more. */
    public void removeReference(int image) {
        locations.removeReference(image, machine);
    }

    /** Whether the image should be cached on the machine. */
    public boolean isCached(int image) {
        return cached.contains(image);
    }

    /**
     * The indices of the cached images, least recently used first; callers must not change the
     * list.
     */
    public IntArrayList cached() {
        return cached;
    }

    /**
     * Records that an image was used, and removes the least recently used images that no longer fit
     * in the cache; the used image is kept even if it does not fit. Returns whether the image was
     * not recorded as cached before.
     */
    public boolean recordUse(int image, double sizeGb, ImageSizes sizes) {
        int position = cached.indexOf(image);
        if (position >= 0) {
            cached.removeInt(position);
        } else {
            cachedGb += sizeGb;
            addReference(image);
        }
        cached.add(image);
        while (cachedGb > capacityGb && cached.size() > 1) {
            int evictedImage = cached.removeInt(0);
            cachedGb -= sizes.sizeGb(evictedImage);
            removeReference(evictedImage);
        }
        return position < 0;
    }

    /** Removes all images, as the machine and its cache are terminated. */
    public void onMachineTerminated() {
        cached.forEach(this::removeReference);
        cached.clear();
    }
}
