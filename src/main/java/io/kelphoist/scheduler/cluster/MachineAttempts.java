package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.Resources;
import io.kelphoist.model.TaskStatus;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The attempts that are, or may be, on one machine, and those whose end its worker still reports.
 * Only {@link Machine} adds and removes attempts.
 */
public final class MachineAttempts implements Iterable<TaskAttempt> {
    private final List<TaskAttempt> attempts = new ArrayList<>();

    @Override
    public Iterator<TaskAttempt> iterator() {
        return attempts.iterator();
    }

    /** For loops that end attempts. */
    public List<TaskAttempt> copy() {
        return new ArrayList<>(attempts);
    }

    /** How many attempts there are. */
    public int size() {
        return attempts.size();
    }

    /** Whether there are none. */
    public boolean isEmpty() {
        return attempts.isEmpty();
    }

    void add(TaskAttempt attempt) {
        attempts.add(attempt);
    }

    boolean remove(TaskAttempt attempt) {
        return attempts.remove(attempt);
    }

    /** The attempt that a heartbeat lists; null: it is not known on this machine. */
    public TaskAttempt find(TaskStatus taskStatus) {
        for (TaskAttempt attempt : attempts) {
            if (attempt.matches(taskStatus)) {
                return attempt;
            }
        }
        return null;
    }

    /** The attempt at a task that only a record of an earlier term names; null: there is none. */
    public TaskAttempt findPresumed(Job job, int taskIndex) {
        for (TaskAttempt attempt : attempts) {
            if (attempt.isPresumed() && attempt.job() == job && attempt.taskIndex() == taskIndex) {
                return attempt;
            }
        }
        return null;
    }

    /** Whether any is of a service or a gang. */
    boolean hasGangOrService() {
        for (TaskAttempt attempt : attempts) {
            if (attempt.job().spec().kind() != JobKind.ARRAY) {
                return true;
            }
        }
        return false;
    }

    /** Whether a task of a cancelled job may run here. */
    public boolean hasAttemptOfCancelledJob() {
        for (TaskAttempt attempt : attempts) {
            if (attempt.state().occupiesResources() && attempt.job().isCancelled()) {
                return true;
            }
        }
        return false;
    }

    /** Whether a direct command with a start got no response. */
    boolean hasStartWithUnknownOutcome() {
        for (TaskAttempt attempt : attempts) {
            if (attempt.startOutcomeUnknown()) {
                return true;
            }
        }
        return false;
    }

    /** What the attempts that are being stopped occupy, added to {@code free}. */
    Resources addStopping(Resources free) {
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
