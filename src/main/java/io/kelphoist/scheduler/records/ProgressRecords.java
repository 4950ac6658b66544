package io.kelphoist.scheduler.records;

import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.records.PackedRecords;
import io.kelphoist.records.PageWriteOutcome;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records in the state store of the done tasks of unfinished jobs. While a job is active, a worker
 * gets the forget command for a done task only after the task is stored in one of these records.
 */
public final class ProgressRecords {
    /**
     * The most tasks of a segment, which are one kilobyte of bits. If stored values must be
     * smaller, the number of tasks of a segment is a smaller power of two, so that a whole number
     * of segments covers one with the most tasks, see {@link #restore}.
     */
    private static final int MAX_TASKS_PER_SEGMENT = 8192;

    /** Done tasks are stored as bits in Base64, which encodes six bits in each byte. */
    private static final int TASKS_PER_ENCODED_BYTE = 6;

    /** Base64 encodes each group of 24 bits in 4 bytes. */
    private static final int TASKS_PER_BASE64_GROUP = 24;

    private static final int BYTES_PER_BASE64_GROUP = 4;

    /** Bytes of an entry besides its bits that are assumed when the segment size is chosen. */
    private static final int SEGMENT_OVERHEAD_BYTES = 80;

    /** Bytes of an entry besides its job id and its bits. */
    private static final int ENTRY_OVERHEAD_BYTES = 16;

    /** A range of a job's tasks that is stored as one entry. */
    private final class Segment {
        private final Job job;
        private final int firstTask;

        /**
         * The done tasks in the last write, as indexes relative to the segment's first task; null
         * before the first write.
         */
        private BitSet doneInLastWrite;

        Segment(Job job, int firstTask) {
            this.job = job;
            this.firstTask = firstTask;
        }

        int encodedBytes() {
            int tasks = Math.min(tasksPerSegment, job.spec().tasks() - firstTask);
            int groups = (tasks + TASKS_PER_BASE64_GROUP - 1) / TASKS_PER_BASE64_GROUP;
            return job.spec().id().length()
                    + ENTRY_OVERHEAD_BYTES
                    + groups * BYTES_PER_BASE64_GROUP;
        }

        /** Returns the entry to be written, with the tasks that are done now. */
        TaskProgress beginWrite() {
            doneInLastWrite = job.tasks().copyOfDone(firstTask, firstTask + tasksPerSegment);
            return new TaskProgress(job.spec().id(), firstTask, doneInLastWrite);
        }

        /** Marks the done tasks in the last write as stored. */
        void onStored() {
            job.tasks().onDoneStored(firstTask, doneInLastWrite);
        }
    }

    private final int tasksPerSegment;
    private final PackedRecords<Segment> pages;
    private final Map<Job, List<Segment>> segmentsByJob = new HashMap<>();

    /** Creates records without entries. */
    public ProgressRecords(SchedulingPolicy policy, SchedulerOutput output) {
        tasksPerSegment = tasksPerSegment(policy.maxRecordBytes());
        pages =
                new PackedRecords<>(
                        policy.maxRecordBytes(),
                        policy.progressWriteIntervalSeconds(),
                        Segment::encodedBytes,
                        /* isNeeded= */ segment -> true,
                        (pageNumber, segments) ->
                                output.storeProgress(
                                        pageNumber,
                                        segments.stream().map(Segment::beginWrite).toList()));
    }

    private static int tasksPerSegment(int maxRecordBytes) {
        int bytesForTasks = Math.max(1, maxRecordBytes - SEGMENT_OVERHEAD_BYTES);
        return Math.min(
                MAX_TASKS_PER_SEGMENT,
                Integer.highestOneBit(bytesForTasks * TASKS_PER_ENCODED_BYTE));
    }

    /**
     * Adds an entry that an earlier term stored. The segments of that term may have been larger, so
     * all segments are added that the largest possible segment from {@code firstTask} on covers.
     */
    public void restore(int pageNumber, Job job, int firstTask) {
        int endTask = Math.min(firstTask + MAX_TASKS_PER_SEGMENT, job.spec().tasks());
        for (int task = firstTask; task < endTask; task += tasksPerSegment) {
            Segment segment = getOrCreateSegment(job, task);
            if (!pages.contains(segment)) {
                pages.restore(pageNumber, segment);
            }
        }
    }

    /** Marks the segment of a task that is done now to be written. */
    public void onTaskDone(Job job, int task) {
        pages.put(getOrCreateSegment(job, task / tasksPerSegment * tasksPerSegment));
    }

    private Segment getOrCreateSegment(Job job, int firstTask) {
        List<Segment> segments = segmentsByJob.computeIfAbsent(job, j -> new ArrayList<>());
        for (Segment segment : segments) {
            if (segment.firstTask == firstTask) {
                return segment;
            }
        }
        Segment segment = new Segment(job, firstTask);
        segments.add(segment);
        return segment;
    }

    /** Removes the segments of a job whose end is stored. */
    public void onJobEnded(Job job) {
        List<Segment> segments = segmentsByJob.remove(job);
        if (segments != null) {
            segments.forEach(pages::remove);
        }
    }

    /** Requests the page writes that are due. */
    void writeDuePages(double nowSeconds) {
        pages.writeDuePages(nowSeconds);
    }

    /** Handles the outcome of a page write: marks the done tasks in it as stored if it was. */
    public void onPageWritten(int pageNumber, PageWriteOutcome outcome) {
        for (Segment segment : pages.onPageWritten(pageNumber, outcome)) {
            if (outcome == PageWriteOutcome.STORED) {
                segment.onStored();
            }
        }
    }
}
