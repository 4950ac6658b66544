package io.kelphoist.scheduler.cluster;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * The tasks of one job: which are pending, which are done, which are recorded as done, and the
 * attempts that occupy resources. Owns all of these; every task of an open job is pending, done or
 * has an attempt.
 */
public final class JobTasks {
    private final int taskCount;
    private final BitSet pending = new BitSet();
    private final BitSet done = new BitSet();

    /** Done tasks whose completion is stored at the state service. */
    private final BitSet storedDone = new BitSet();

    /** The attempt at each task that is, or may be, on a machine. */
    private final Int2ObjectOpenHashMap<TaskAttempt> attemptsByTask = new Int2ObjectOpenHashMap<>();

    /**
     * Further attempts at tasks that have an entry in {@link #attemptsByTask}. All attempts at a
     * task must be gone before it is started again.
     */
    private final List<TaskAttempt> duplicateAttempts = new ArrayList<>();

    private final int[] attemptsPerZone;

    JobTasks(int taskCount, int zoneCount) {
        this.taskCount = taskCount;
        this.attemptsPerZone = new int[zoneCount];
        pending.set(0, taskCount);
    }

    // ---- pending tasks ----

    /** Whether a task waits for its start. */
    public boolean hasPending() {
        return !pending.isEmpty();
    }

    /** How many tasks wait for their start. */
    public int pendingCount() {
        return pending.cardinality();
    }

    /** The pending task with the lowest index; -1 if none is pending. */
    public int firstPending() {
        return pending.nextSetBit(0);
    }

    void requeue(int taskIndex) {
        pending.set(taskIndex);
    }

    /** No task is to be started any more. */
    public void clearPending() {
        pending.clear();
    }

    /** Whether every task is pending, done or attempted. */
    public boolean areAllTracked() {
        return pending.cardinality() + attemptsByTask.size() + done.cardinality() >= taskCount;
    }

    /**
     * The first task at or after {@code from} that is neither pending, done nor attempted; -1 if
     * there is none.
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

    boolean hasDone() {
        return !done.isEmpty();
    }

    int doneCount() {
        return done.cardinality();
    }

    /** Whether all tasks are done. */
    public boolean areAllDone() {
        return done.cardinality() == taskCount;
    }

    /** The task is done and need not start again. */
    public void markDone(int taskIndex) {
        done.set(taskIndex);
        pending.clear(taskIndex);
    }

    /** All tasks are done. */
    public void markAllDone() {
        done.set(0, taskCount);
        pending.clear();
    }

    /** A copy of the done bits from {@code from} (inclusive) to {@code to} (exclusive). */
    public BitSet copyOfDone(int from, int to) {
        return done.get(from, to);
    }

    /** Whether the task's completion is stored. */
    public boolean isDoneStored(int taskIndex) {
        return storedDone.get(taskIndex);
    }

    /** The completion of tasks is stored; {@code tasks} are offsets from {@code firstTask}. */
    public void onDoneStored(int firstTask, BitSet tasks) {
        tasks.stream().forEach(offset -> storedDone.set(firstTask + offset));
    }

    /**
     * Restores done tasks from a record of an earlier term; {@code tasks} are offsets from {@code
     * firstTask}.
     */
    public void restoreDone(int firstTask, BitSet tasks) {
        tasks.stream().forEach(offset -> done.set(firstTask + offset));
        pending.andNot(done);
        storedDone.or(done);
    }

    // ---- attempts ----

    /** Whether an attempt at any task is, or may be, on a machine. */
    public boolean hasAttempts() {
        return !attemptsByTask.isEmpty();
    }

    /** How many tasks have an attempt. */
    public int attemptCount() {
        return attemptsByTask.size();
    }

    /** Whether the task has an attempt. */
    public boolean hasAttemptAt(int taskIndex) {
        return attemptsByTask.containsKey(taskIndex);
    }

    /** The attempt at a task; null if there is none. */
    public TaskAttempt attemptAt(int taskIndex) {
        return attemptsByTask.get(taskIndex);
    }

    /** One attempt for each task that has any. */
    public Iterable<TaskAttempt> attempts() {
        return attemptsByTask.values();
    }

    /** As {@link #attempts}, for loops that end attempts. */
    public List<TaskAttempt> copyOfAttempts() {
        return new ArrayList<>(attemptsByTask.values());
    }

    /** How many attempts are in the zone. */
    public int attemptsInZone(int zone) {
        return attemptsPerZone[zone];
    }

    /** How many attempts are in each zone, by its index. */
    public int[] copyOfAttemptsPerZone() {
        return attemptsPerZone.clone();
    }

    /** How many zones were known when the job became known. */
    public int zoneCount() {
        return attemptsPerZone.length;
    }

    /** The lowest zone with an attempt; -1 if there is none. */
    int firstZoneWithAttempts() {
        for (int zone = 0; zone < attemptsPerZone.length; zone++) {
            if (attemptsPerZone[zone] > 0) {
                return zone;
            }
        }
        return -1;
    }

    void addAttempt(TaskAttempt attempt) {
        attemptsPerZone[attempt.machine().zone()]++;
        if (!attemptsByTask.containsKey(attempt.taskIndex())) {
            attemptsByTask.put(attempt.taskIndex(), attempt);
            pending.clear(attempt.taskIndex());
        } else {
            duplicateAttempts.add(attempt);
        }
    }

    /** Returns whether the task has no other attempt left. */
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
