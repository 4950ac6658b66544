package io.kelphoist.model;

import java.util.BitSet;

/**
 * The done tasks in a range of a job's tasks, as stored.
 *
 * @param firstTask index of the first task of the range
 * @param doneTasks the done tasks: bit 0 is the task with index {@code firstTask}
 */
public record TaskProgress(String jobId, int firstTask, BitSet doneTasks) {}
