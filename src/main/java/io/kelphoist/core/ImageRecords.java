package io.kelphoist.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which images machines should have cached, on record at the state service: workers don't say, and a leader that does
 * not know places work where it has to fetch first. A hint only, so it is written seldom.
 */
final class ImageRecords {
    private static final int FRAME_BYTES = 8;
    private static final int IMAGE_FRAME_BYTES = 4;

    /** What an earlier term wrote of a machine that was not heard of yet. */
    private record Found(int page, MachineImages images) { }

    private final Pages<Machine> pages;
    private final Effects effects;
    private final Map<String, Found> found = new HashMap<>();

    ImageRecords(Policy policy, Index images, Machine.ImageSizes sizes, Effects effects) {
        this.effects = effects;
        pages = new Pages<>(policy.recordBytes(), policy.progressEveryS(), m -> m.name.length() + FRAME_BYTES
                + m.images().intStream().map(i -> images.name(i).length() + Double.toString(sizes.gb(i)).length() + IMAGE_FRAME_BYTES).sum());
    }

    void found(int page, MachineImages images) {
        found.put(images.machine(), new Found(page, images));
    }

    /** What is on record of a machine that came to be known. */
    List<MachineImages.Image> recall(Machine m) {
        Found f = found.remove(m.name);
        if (f == null) {
            return List.of();
        }
        pages.restore(f.page, m);
        return f.images.images();
    }

    void changed(Machine m) {
        pages.put(m);
    }

    void gone(Machine m) {
        pages.remove(m);
    }

    void run(double now) {
        pages.run(now, m -> true, effects::storeImages);
    }

    void stored(int page, PageOutcome outcome) {
        pages.written(page, outcome);
    }
}
