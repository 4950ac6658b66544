package io.kelphoist.scheduler.records;

import io.kelphoist.model.NameIndex;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.records.PackedRecords;
import io.kelphoist.records.PageWriteOutcome;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.Set;

/**
 * Write-ahead log of task starts: a start command is sent only after the start is stored in the
 * state store, so that the next leader can read every task attempt that may run. Starts that are
 * decided at about the same time share a write.
 */
public final class StartIntentLog {
    /** Quotes, commas and brackets around an entry that shares nothing with other entries. */
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

    /** Whether the attempt may run: an exited one may run again if its start may still arrive. */
    private static boolean mayRun(TaskAttempt attempt) {
        return attempt.state() != TaskAttempt.State.EXITED || attempt.mayStartArrive();
    }

    /** Adds an attempt whose start an earlier term stored. */
    public void restore(int pageNumber, TaskAttempt attempt) {
        pages.restore(pageNumber, attempt);
    }

    /** Adds an attempt whose start was decided. */
    public void add(TaskAttempt attempt) {
        pages.put(attempt);
    }

    /**
     * Adds an attempt of an earlier term that a worker lists.
     *
     * @param presumed the attempt that represents its stored start; null if no start is stored
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
     * Requests that the stored attempts of a machine on which nothing runs any more are removed
     * from the record: otherwise the next leader would wait for the machine.
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
     * Returns the machines of these attempts, whatever the outcome.
     */
    public Set<Machine> onPageWritten(int pageNumber, PageWriteOutcome outcome) {
        Set<Machine> machines = new ReferenceLinkedOpenHashSet<>();
        for (TaskAttempt attempt : pages.onPageWritten(pageNumber, outcome)) {
            if (outcome == PageWriteOutcome.STORED) {
                attempt.markStartRecorded();
            }
            machines.add(attempt.machine());
        }
        return machines;
    }
}
