package io.kelphoist.scheduler.images;

import io.kelphoist.model.CachedImages;
import io.kelphoist.model.NameIndex;
import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import it.unimi.dsi.fastutil.ints.IntList;

/** The dense indices and the sizes of the images that jobs use. Entries are never removed. */
public final class ImageCatalog {
    private final NameIndex names = new NameIndex();
    private final DoubleArrayList sizesGb = new DoubleArrayList();

    /** The index of an image, which the first call assigns; the size of the first call is kept. */
    public int indexOf(String name, double sizeGb) {
        int index = names.getOrAssign(name);
        if (index == sizesGb.size()) {
            sizesGb.add(sizeGb);
        }
        return index;
    }

    /** The size of an image, in GB. */
    public double sizeGb(int imageIndex) {
        return sizesGb.getDouble(imageIndex);
    }

    /** The names of the images and their indices. */
    public NameIndex names() {
        return names;
    }

    /**
     * Describes the images that should be cached on a machine, in the form that is stored.
     *
     * @param cached the indices of the cached images, least recently used first
     */
    public CachedImages describeCached(String machineName, IntList cached) {
        return new CachedImages(
                machineName,
                cached.intStream()
                        .mapToObj(
                                imageIndex ->
                                        new CachedImages.Image(
                                                names.name(imageIndex), sizeGb(imageIndex)))
                        .toList());
    }
}
