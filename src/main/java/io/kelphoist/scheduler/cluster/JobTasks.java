package io.kelphoist.scheduler.cluster;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * The tasks of one job: which are pending, which are done, which are stored as done, and the
 * attempts that occupy resources. Owns this state. Each task of an active job must be pending, be
 * done, or have an attempt.
 */
public final class JobTasks {
    private final int taskCount;
    private final BitSet pending = new BitSet();
    private final BitSet done = new BitSet();

    /** Number of bits of {@link #done}: counted, as all jobs are checked for it every second. */
    private int doneCount;

    /** Done tasks whose completion is stored at the state store. */
    private final BitSet storedDone = new BitSet();

    /** One attempt for each task that may be on a machine. */
    private final Int2ObjectOpenHashMap<TaskAttempt> attemptsByTask = new Int2ObjectOpenHashMap<>();

    /**
     * Further attempts at tasks that have an entry in {@link #attemptsByTask}. All attempts at a
     * task must be removed before the task is started again.
     */
    private final List<TaskAttempt> duplicateAttempts = new ArrayList<>();

    /** Number of attempts in each zone, by zone index; includes duplicate attempts. */
    private final int[] attemptsPerZone;

    /** Creates the tasks of a job, all pending. */
    JobTasks(int taskCount, int zoneCount) {
        this.taskCount = taskCount;
        this.attemptsPerZone = new int[zoneCount];
        pending.set(0, taskCount);
    }

    // ---- pending tasks ----

    /** Whether a task is waiting to be started. */
    public boolean hasPending() {
        return !pending.isEmpty();
    }

    /** Number of tasks that are waiting to be started. */
    public int pendingCount() {
        return pending.cardinality();
    }

    /** The pending task with the lowest index; -1 if none is pending. */
    public int firstPending() {
        return pending.nextSetBit(0);
    }

    /** Makes a task pending again. */
    void requeue(int taskIndex) {
        pending.set(taskIndex);
    }

    /** Makes no task pending, so that none is started any more. */
    public void clearPending() {
        pending.clear();
    }

    /**
     * Whether each task is pending, is done or has an attempt. Compares only counts: a task that is
     * done and still has an attempt counts twice, and may hide one that is none of the three.
     */
    public boolean areAllTracked() {
        return pending.cardinality() + attemptsByTask.size() + doneCount >= taskCount;
    }

    /**
     * The first task at or after index {@code from} that is neither pending nor done and has no
     * attempt, so that it would never start; -1: there is no such task.
     */
    public int nextLost(int from) {
        for (int taskIndex = pending.nextClearBit(from);
                taskIndex < taskCount;
                taskIndex = pending.nextClearBit(taskIndex + 1)) {
            if (!done.get(taskIndex) && !attemptsByTask.containsKey(taskIndex)) {
                return taskIndex;
            }
        }
        return -1;
    }

    // ---- done tasks ----

    /** Whether the task is done. */
    public boolean isDone(int taskIndex) {
        return done.get(taskIndex);
    }

    /** Whether a task is done. */
    boolean hasDone() {
        return !done.isEmpty();
    }

    /** Number of tasks that are done. */
    int doneCount() {
        return doneCount;
    }

    /** Whether all tasks are done. */
    public boolean areAllDone() {
        return doneCount == taskCount;
    }

    /** Marks a task as done, so that it is not started again. */
    public void markDone(int taskIndex) {
        if (!done.get(taskIndex)) {
            done.set(taskIndex);
            doneCount++;
        }
        pending.clear(taskIndex);
    }

    /** Marks all tasks as done. */
    public void markAllDone() {
        done.set(0, taskCount);
        doneCount = taskCount;
        pending.clear();
    }

    /** A copy of the done bits from {@code from} (inclusive) to {@code to} (exclusive). */
    public BitSet copyOfDone(int from, int to) {
        return done.get(from, to);
    }

    /** Whether the task's completion is stored at the state store. */
    public boolean isDoneStored(int taskIndex) {
        return storedDone.get(taskIndex);
    }

    /**
     * Called when the completion of these tasks was stored; {@code tasks} are offsets from {@code
     * firstTask}.
     */
    public void onDoneStored(int firstTask, BitSet tasks) {
        tasks.stream().forEach(offset -> storedDone.set(firstTask + offset));
    }

    /**
     * Restores done tasks from a record of an earlier term; {@code tasks} are offsets from {@code
     * firstTask}.
     */
    public void restoreDone(int firstTask, BitSet tasks) {
        tasks.stream().forEach(offset -> done.set(firstTask + offset));
        doneCount = done.cardinality();
        pending.andNot(done);
        storedDone.or(done);
    }

    // ---- attempts ----

    /** Whether an attempt at any task may be on a machine. */
    public boolean hasAttempts() {
        return !attemptsByTask.isEmpty();
    }

    /** Number of tasks that have an attempt. */
    public int attemptCount() {
        return attemptsByTask.size();
    }

    /** Whether the task has an attempt. */
    public boolean hasAttemptAt(int taskIndex) {
        return attemptsByTask.containsKey(taskIndex);
    }

    /** One attempt at the task; null: it has none. */
    public TaskAttempt attemptAt(int taskIndex) {
        return attemptsByTask.get(taskIndex);
    }

    /** One attempt for each task that has attempts. */
    public Iterable<TaskAttempt> attempts() {
        return attemptsByTask.values();
    }

    /** A copy of {@link #attempts}, for loops that remove attempts. */
    public List<TaskAttempt> copyOfAttempts() {
        return new ArrayList<>(attemptsByTask.values());
    }

    /** Number of attempts in the zone with this index. */
    public int attemptsInZone(int zone) {
        return attemptsPerZone[zone];
    }

    /** Number of attempts in each zone, by zone index. */
    public int[] copyOfAttemptsPerZone() {
        return attemptsPerZone.clone();
    }

    /** Number of zones that had an index when this job was created. */
    public int zoneCount() {
        return attemptsPerZone.length;
    }

    /** The lowest index of a zone with an attempt; -1: no zone has one. */
    int firstZoneWithAttempts() {
        for (int zone = 0; zone < attemptsPerZone.length; zone++) {
            if (attemptsPerZone[zone] > 0) {
                return zone;
            }
        }
        return -1;
    }

    /** Adds an attempt that may be on its machine; its task is no longer pending. */
    void addAttempt(TaskAttempt attempt) {
        attemptsPerZone[attempt.machine().zone()]++;
        if (!attemptsByTask.containsKey(attempt.taskIndex())) {
            attemptsByTask.put(attempt.taskIndex(), attempt);
            pending.clear(attempt.taskIndex());
        } else {
            duplicateAttempts.add(attempt);
        }
    }

    /** Removes an attempt; returns whether it was the last attempt at its task. */
    boolean removeAttempt(TaskAttempt attempt) {
        attemptsPerZone[attempt.machine().zone()]--;
        if (attemptsByTask.get(attempt.taskIndex()) != attempt) {
            duplicateAttempts.remove(attempt);
            return false;
        }
        attemptsByTask.remove(attempt.taskIndex());
        TaskAttempt duplicate = findDuplicate(attempt.taskIndex());
        if (duplicate == null) {
            return true;
        }
        duplicateAttempts.remove(duplicate);
        attemptsByTask.put(attempt.taskIndex(), duplicate);
        return false;
    }

    private TaskAttempt findDuplicate(int taskIndex) {
        for (TaskAttempt attempt : duplicateAttempts) {
            if (attempt.taskIndex() == taskIndex) {
                return attempt;
            }
        }
        return null;
    }
}
