package io.kelphoist.scheduler.records;

import io.kelphoist.model.CachedImages;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.records.PackedRecords;
import io.kelphoist.records.PageWriteOutcome;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.images.ImageCatalog;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import java.util.HashMap;
import java.util.Map;

/**
 * Records in the state store of the images that each machine should have cached. Workers do not
 * report their cached images, and a leader without these records would place tasks on machines that
 * have to fetch the image first. The records are only a hint, so they are written no more often
 * than those of done tasks, see {@link SchedulingPolicy#progressWriteIntervalSeconds}.
 */
public final class ImageCacheRecords {
    /** Bytes of an entry besides the name of its machine and its images. */
    private static final int ENTRY_OVERHEAD_BYTES = 8;

    /** Bytes of an image in an entry besides its name and size. */
    private static final int IMAGE_OVERHEAD_BYTES = 4;

    /** The cached images that an earlier term stored for a machine that is not registered yet. */
    private record UnclaimedRecord(int pageNumber, CachedImages images) {}

    private final ImageCatalog imageCatalog;
    private final PackedRecords<Machine> pages;
    private final Map<String, UnclaimedRecord> unclaimedByMachine = new HashMap<>();

    /** Creates records without entries. */
    public ImageCacheRecords(
            SchedulingPolicy policy, ImageCatalog imageCatalog, SchedulerOutput output) {
        this.imageCatalog = imageCatalog;
        pages =
                new PackedRecords<>(
                        policy.maxRecordBytes(),
                        policy.progressWriteIntervalSeconds(),
                        this::encodedBytes,
                        /* isNeeded= */ machine -> true,
                        output::storeImages);
    }

    private int encodedBytes(Machine machine) {
        return machine.name().length()
                + ENTRY_OVERHEAD_BYTES
                + machine.images().cached().intStream().map(this::encodedImageBytes).sum();
    }

    private int encodedImageBytes(int image) {
        return imageCatalog.names().name(image).length()
                + Double.toString(imageCatalog.sizeGb(image)).length()
                + IMAGE_OVERHEAD_BYTES;
    }

    /** Keeps the images that an earlier term stored for a machine until it is registered. */
    public void addUnclaimed(int pageNumber, CachedImages images) {
        unclaimedByMachine.put(images.machineName(), new UnclaimedRecord(pageNumber, images));
    }

    /**
     * Restores the cached images that an earlier term stored for a machine, which is registered by
     * now. No effect if none were read, or if they are restored already.
     */
    public void restoreMachine(Machine machine) {
        UnclaimedRecord unclaimed = unclaimedByMachine.remove(machine.name());
        if (unclaimed != null) {
            unclaimed.images.images().forEach(image -> restoreImage(machine, image));
            boolean alreadyOnPage = pages.contains(machine);
            pages.restore(unclaimed.pageNumber, machine);
            if (alreadyOnPage) {
                // This term added an entry of the machine before the images of the earlier term
                // were read. The entry has grown by them and must be written with them.
                pages.put(machine);
            }
        }
    }

    private void restoreImage(Machine machine, CachedImages.Image image) {
        int index = imageCatalog.indexOf(image.name(), image.sizeGb());
        machine.images().recordUse(index, image.sizeGb(), imageCatalog::sizeGb);
    }

    /** Marks the record of a machine whose cached images have changed to be written. */
    public void onImagesChanged(Machine machine) {
        pages.put(machine);
    }

    /** Removes the record of a machine that is terminated. */
    public void onMachineTerminated(Machine machine) {
        pages.remove(machine);
    }

    /** Requests the page writes that are due. */
    void writeDuePages(double nowSeconds) {
        pages.writeDuePages(nowSeconds);
    }

    /** Handles the outcome of a page write. */
    public void onPageWritten(int pageNumber, PageWriteOutcome outcome) {
        pages.onPageWritten(pageNumber, outcome);
    }
}
