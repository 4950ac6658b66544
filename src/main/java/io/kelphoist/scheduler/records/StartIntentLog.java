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
 * Write-ahead records of task starts: a start is sent only after it is on record at the state
 * store, so the next leader knows everything that may run. Starts that are decided at about the
 * same time share a write.
 */
public final class StartIntentLog {
    /** Quotes, commas and brackets around an entry that shares nothing with others. */
    private static final int ENTRY_OVERHEAD_BYTES = 24;

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

    /** An exited attempt may run again as long as a start of it may still be delivered. */
    private static boolean mayRun(TaskAttempt attempt) {
        return attempt.state() != TaskAttempt.State.EXITED || attempt.mayStartArrive();
    }

    /** Adds an attempt that an earlier term stored. */
    public void restore(int pageNumber, TaskAttempt attempt) {
        pages.restore(pageNumber, attempt);
    }

    /** Adds an attempt whose start was decided. */
    public void add(TaskAttempt attempt) {
        pages.put(attempt);
    }

    /**
     * Adds an attempt of an earlier term that a worker reported.
     *
     * @param presumed the attempt that stands for it on record; null if there is none
     */
    public void adopt(TaskAttempt attempt, TaskAttempt presumed) {
        if (presumed == null) {
            pages.put(attempt);
        } else {
            pages.replace(presumed, attempt);
        }
    }

    /** Removes an attempt that is gone. */
    public void onAttemptEnded(TaskAttempt attempt) {
        pages.remove(attempt);
    }

    /**
     * Nothing runs on the machine any more. Its stored attempts are to be removed from the record,
     * as the next leader would wait for the machine.
     */
    public void onNothingRunning(Machine machine) {
        pages.requestCompaction(attempt -> attempt.machine() == machine);
    }

    /** Starts the writes that are due. */
    void writeDuePages(double nowSeconds) {
        pages.writeDuePages(nowSeconds);
    }

    /** Takes in the outcome of a write; returns the machines of its attempts. */
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
