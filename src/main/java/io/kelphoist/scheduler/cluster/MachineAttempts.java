package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.Resources;
import io.kelphoist.model.TaskStatus;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The attempts that may be on one machine, and exited ones that its worker still lists. Only {@link
 * Machine} adds and removes attempts.
 */
public final class MachineAttempts implements Iterable<TaskAttempt> {
    private final List<TaskAttempt> attempts = new ArrayList<>();

    @Override
    public Iterator<TaskAttempt> iterator() {
        return attempts.iterator();
    }

    /** A copy, for loops that remove attempts. */
    public List<TaskAttempt> copy() {
        return new ArrayList<>(attempts);
    }

    /** Number of attempts. */
    public int size() {
        return attempts.size();
    }

    /** Whether there are no attempts. */
    public boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** Adds an attempt. */
    void add(TaskAttempt attempt) {
        attempts.add(attempt);
    }

    /** Removes an attempt; returns whether it was contained. */
    boolean remove(TaskAttempt attempt) {
        return attempts.remove(attempt);
    }

    /** The attempt that a heartbeat lists; null: it is not among the attempts of this machine. */
    public TaskAttempt find(TaskStatus taskStatus) {
        for (TaskAttempt attempt : attempts) {
            if (attempt.matches(taskStatus)) {
                return attempt;
            }
        }
        return null;
    }

    /**
     * The presumed attempt at a task, see {@link TaskAttempt#isPresumed}; null: this machine has
     * none.
     */
    public TaskAttempt findPresumed(Job job, int taskIndex) {
        for (TaskAttempt attempt : attempts) {
            if (attempt.isPresumed() && attempt.job() == job && attempt.taskIndex() == taskIndex) {
                return attempt;
            }
        }
        return null;
    }

    /** Whether an attempt is at a task of a service or a gang. */
    boolean hasGangOrService() {
        for (TaskAttempt attempt : attempts) {
            if (attempt.job().spec().kind() != JobKind.ARRAY) {
                return true;
            }
        }
        return false;
    }

    /** Whether a task of a cancelled job may be running on the machine. */
    public boolean hasAttemptOfCancelledJob() {
        for (TaskAttempt attempt : attempts) {
            if (attempt.state().occupiesResources() && attempt.job().isCancelled()) {
                return true;
            }
        }
        return false;
    }

    /** Whether the start of an attempt may be sent, and was not sent yet. */
    public boolean hasDueStart() {
        for (TaskAttempt attempt : attempts) {
            if (attempt.isStartDue()) {
                return true;
            }
        }
        return false;
    }

    /** Whether the start of an attempt was decided and is not stored yet. */
    public boolean hasUnrecordedStart() {
        for (TaskAttempt attempt : attempts) {
            if (attempt.state() == TaskAttempt.State.STARTING && !attempt.startRecorded()) {
                return true;
            }
        }
        return false;
    }

    /** Whether an attempt that may be on the machine is being stopped. */
    public boolean hasStopping() {
        for (TaskAttempt attempt : attempts) {
            if (attempt.isStopping() && attempt.state().occupiesResources()) {
                return true;
            }
        }
        return false;
    }

    /** Whether no heartbeat is expected to report a change: there are only running replicas. */
    public boolean areSteady() {
        for (TaskAttempt attempt : attempts) {
            if (attempt.job().spec().kind() != JobKind.SERVICE
                    || attempt.state() != TaskAttempt.State.RUNNING) {
                return false;
            }
        }
        return true;
    }

    /** Returns {@code free} plus the resources of the attempts that are being stopped. */
    Resources addResourcesOfStopping(Resources free) {
        Resources sum = free;
        for (TaskAttempt attempt : attempts) {
            if (attempt.isStopping() && attempt.state().occupiesResources()) {
                sum = sum.plus(attempt.job().spec().resourcesPerTask());
            }
        }
        return sum;
    }

    @Override
    public String toString() {
        return attempts.toString();
    }
}
