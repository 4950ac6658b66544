package io.kelphoist.scheduler.images;

/** Looks up the sizes of images by their index. */
@FunctionalInterface
public interface ImageSizes {
    /** The size of an image, in GB. */
    double sizeGb(int imageIndex);
}
