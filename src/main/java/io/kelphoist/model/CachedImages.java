package io.kelphoist.model;

import java.util.List;

/** Images that a machine is expected to have in its cache, least recently used first. */
public record CachedImages(String machineName, List<Image> images) {
    /** An image and its size. */
    public record Image(String name, double sizeGb) {}
}
