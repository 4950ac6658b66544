package io.kelphoist.failover;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The properties of tasks that do not depend on the machine: their names, whether they belong to a
 * gang, their run time and whether they are done.
 *
 * <p>The name of a task consists of its job's id and its index, for example {@code job-3/1}.
 */
final class SimulatedTasks {
    /** Initial jobs from this number on, below {@link #INITIAL_JOBS}, are gangs. */
    static final int FIRST_GANG = 8;

    /**
     * Number of jobs that exist at the start of a run. Jobs that users submit have higher numbers.
     */
    static final int INITIAL_JOBS = 12;

    static final int GANG_SIZE = 2;

    /** Run times in seconds of tasks that finish by themselves, by task. */
    private final Map<String, Double> durationsSeconds = new HashMap<>();

    private final Set<String> doneTasks = new HashSet<>();

    /** Attempts of gangs whose tasks have all run at the same time. */
    private final Set<Long> completeGangAttempts = new HashSet<>();

    static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    static int indexOf(String task) {
        return Integer.parseInt(task.substring(task.indexOf('/') + 1));
    }

    static String taskName(String jobId, int taskIndex) {
        return jobId + "/" + taskIndex;
    }

    /** Returns a key that identifies an attempt of a task. */
    static String attemptKey(String task, long attemptId) {
        return task + "@" + attemptId;
    }

    static boolean isGangTask(String task) {
        int number = Integer.parseInt(task.substring(4, task.indexOf('/')));
        return number >= FIRST_GANG && number < INITIAL_JOBS;
    }

    void setDuration(String task, double seconds) {
        durationsSeconds.put(task, seconds);
    }

    /** Returns the run time of a task; infinite if it does not finish by itself. */
    double durationSeconds(String task) {
        return durationsSeconds.getOrDefault(task, Double.POSITIVE_INFINITY);
    }

    void onDone(String task) {
        doneTasks.add(task);
    }

    boolean isDone(String task) {
        return doneTasks.contains(task);
    }

    void onGangComplete(long attemptId) {
        completeGangAttempts.add(attemptId);
    }

    /** Whether all tasks of the gang attempt have run at the same time. */
    boolean wasGangComplete(long attemptId) {
        return completeGangAttempts.contains(attemptId);
    }
}
