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

    /** Sets where the machine's references are kept; must be called once, before other methods. */
    public void setLocations(ImageLocations<M> imageLocations) {
        locations = imageLocations;
    }

    /**
     * Adds one reference of the machine to the image: for an attempt that needs the image and may
     * be on the machine, or for the cached image.
     */
    public void addReference(int imageIndex) {
        locations.addReference(imageIndex, machine);
    }

    /**
     * Removes one reference of the machine to the image: for an attempt that is not on the machine
     * any more, or for an image that is not cached any more.
     */
    public void removeReference(int imageIndex) {
        locations.removeReference(imageIndex, machine);
    }

    /** Whether the image should be cached on the machine. */
    public boolean isCached(int imageIndex) {
        return cached.contains(imageIndex);
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
     * in the cache; the used image is kept even if it does not fit.
     *
     * @param sizeGb the size of the used image
     * @param sizes the sizes of the other cached images, which are needed when these are removed
     * @return true if the image is newly recorded as cached; false if it was cached before
     */
    public boolean recordUse(int imageIndex, double sizeGb, ImageSizes sizes) {
        int position = cached.indexOf(imageIndex);
        if (position >= 0) {
            cached.removeInt(position);
        } else {
            cachedGb += sizeGb;
            addReference(imageIndex);
        }
        cached.add(imageIndex);
        while (cachedGb > capacityGb && cached.size() > 1) {
            int evictedImage = cached.removeInt(0);
            cachedGb -= sizes.sizeGb(evictedImage);
            removeReference(evictedImage);
        }
        return position < 0;
    }

    /**
     * Called when the machine is terminated: removes all cached images and their references. The
     * cache must not be used after that.
     */
    public void onMachineTerminated() {
        cached.forEach(this::removeReference);
        cached.clear();
    }
}
