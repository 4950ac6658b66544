package io.kelphoist.scheduler.records;

/**
 * The records that are packed into shared values of the state store, see {@link
 * io.kelphoist.records.PackedRecords}.
 *
 * @param starts starts of task attempts that may run on machines
 * @param progress done tasks of unfinished jobs
 * @param images images that machines should have cached
 */
public record SchedulerRecords(
        StartIntentLog starts, ProgressRecords progress, ImageCacheRecords images) {
    /** Requests the page writes that are due. */
    public void writeDuePages(double nowSeconds) {
        progress.writeDuePages(nowSeconds);
        starts.writeDuePages(nowSeconds);
        images.writeDuePages(nowSeconds);
    }
}
