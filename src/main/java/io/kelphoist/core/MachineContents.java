package io.kelphoist.core;

import java.util.List;

/** What may be on a machine: tasks, and images in its cache, least recently used first. */
public record MachineContents(List<TaskRef> tasks, List<Image> images) {
    /** An image and its size. */
    public record Image(String name, double gb) { }
}
