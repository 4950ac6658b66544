package io.kelphoist.scheduler.records;

import io.kelphoist.model.NameIndex;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.records.PackedRecords;
import io.kelphoist.records.PageWriteOutcome;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.spi.SchedulerOutput;

/**
 * Write-ahead log of task starts: a start command is sent only after the start is stored in the
 * state store, so that the next leader can read every task attempt that may run. Starts that are
 * decided at about the same time share a write.
 */
public final class StartIntentLog {
    /**
     * Bytes of the quotes, commas and brackets of an entry that is the only one of its machine on a
     * page. Further entries of the same machine take less, because the machine is stored once.
     */
    private static final int ENTRY_OVERHEAD_BYTES = 24;

    /** An upper bound of the digits of a task index. */
    private static final int MAX_TASK_DIGITS = 6;

    private final NameIndex zones;
    private final PackedRecords<TaskAttempt> pages;

    /** Creates a log without entries. */
    public StartIntentLog(SchedulingPolicy policy, NameIndex zones, SchedulerOutput output) {
        this.zones = zones;
        pages =
                new PackedRecords<>(
                        policy.maxRecordBytes(),
                        policy.startWriteIntervalSeconds(),
                        this::encodedBytes,
                        StartIntentLog::mayRun,
                        output::storeStarts);
    }

    private int encodedBytes(TaskAttempt attempt) {
        Machine machine = attempt.machine();
        return machine.name().length()
                + machine.type().name().length()
                + zones.name(machine.zone()).length()
                + attempt.job().spec().id().length()
                + MAX_TASK_DIGITS
                + ENTRY_OVERHEAD_BYTES;
    }

    private static boolean mayRun(TaskAttempt attempt) {
        return attempt.state() != TaskAttempt.State.EXITED;
    }

    /** Adds an attempt whose start an earlier term stored. */
    public void restore(int pageNumber, TaskAttempt attempt) {
        pages.restore(pageNumber, attempt);
    }

    /** Adds an attempt whose start was decided, and marks its page to be written. */
    public void add(TaskAttempt attempt) {
        pages.put(attempt);
    }

    /**
     * Adds an attempt of an earlier term that a worker lists.
     *
     * @param presumed the attempt that represents its stored start, and that the listed attempt
     *     replaces; null if no stored start was read
     */
    public void adopt(TaskAttempt attempt, TaskAttempt presumed) {
        if (presumed == null) {
            pages.put(attempt);
        } else {
            pages.replace(presumed, attempt);
        }
    }

    /** Removes an attempt that is proven not to be on its machine. */
    public void onAttemptEnded(TaskAttempt attempt) {
        pages.remove(attempt);
    }

    /**
     * Requests that the pages with stored attempts of a machine are written again without them,
     * because nothing runs on the machine any more: otherwise the next leader would wait for the
     * machine. Its attempts must have been removed before, see {@link #onAttemptEnded}.
     */
    public void onNothingRunning(Machine machine) {
        pages.requestCompaction(attempt -> attempt.machine() == machine);
    }

    /** Requests the page writes that are due. */
    void writeDuePages(double nowSeconds) {
        pages.writeDuePages(nowSeconds);
    }

    /**
     * Handles the outcome of a page write: marks the attempts in it as recorded if it was stored.
     */
    public void onPageWritten(int pageNumber, PageWriteOutcome outcome) {
        for (TaskAttempt attempt : pages.onPageWritten(pageNumber, outcome)) {
            if (outcome == PageWriteOutcome.STORED) {
                attempt.markStartRecorded();
            }
        }
    }
}
