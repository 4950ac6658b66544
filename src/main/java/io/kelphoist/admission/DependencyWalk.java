package io.kelphoist.admission;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Breadth-first traversal of the jobs that a job depends on, directly or through other jobs. It
 * ends at the first one that is cancelled or whose record is unavailable. An instance is used for
 * one traversal; it owns the jobs that were queued for a visit. Runs on the event loop.
 */
final class DependencyWalk {
    /**
     * The dependencies of a visited job are added only if fewer jobs than this were queued so far.
     * This bounds the number of reads for one response. The leader checks longer dependency chains.
     */
    private static final int MAX_QUEUED_BEFORE_ADDING = 64;

    private final JobLookup lookup;
    private final Consumer<DependencyStatus> callback;
    private final Deque<String> unvisited;
    private final Set<String> seen;

    /** Whether {@link #visitPending} runs, also if it is further up the stack. */
    private boolean isVisiting;

    private boolean isReadInFlight;
    private boolean isCompleted;

    private DependencyWalk(
            JobLookup lookup, List<String> dependencies, Consumer<DependencyStatus> callback) {
        this.lookup = lookup;
        this.callback = callback;
        this.unvisited = new ArrayDeque<>(dependencies);
        this.seen = new HashSet<>(dependencies);
    }

    /**
     * Checks whether a job must be cancelled because a job that it depends on is cancelled. The
     * leader cancels such jobs. This check covers times when there is no leader or the leader is
     * unreachable, so that no job is reported as queued long after the cancellation of a dependency
     * was reported.
     *
     * @param callback called once; the status may be as old as the results of {@link
     *     JobLookup#readRecent}
     */
    static void start(
            JobLookup lookup, List<String> dependencies, Consumer<DependencyStatus> callback) {
        new DependencyWalk(lookup, dependencies, callback).visitPending();
    }

    /**
     * Visits jobs until a read is in flight or the walk has completed. A read whose record is
     * cached calls back from within {@link JobLookup#readRecent}. The next job is then visited by
     * this loop and not by that callback, so that the depth of the stack does not depend on the
     * number of dependencies, which the user chooses.
     */
    private void visitPending() {
        isVisiting = true;
        while (!isCompleted && !isReadInFlight) {
            visitNext();
        }
        isVisiting = false;
    }

    private void visitNext() {
        if (unvisited.isEmpty()) {
            complete(DependencyStatus.NONE_CANCELLED);
            return;
        }
        isReadInFlight = true;
        lookup.readRecent(unvisited.poll(), this::onRead);
    }

    private void onRead(JobReadResult result) {
        isReadInFlight = false;
        if (result instanceof JobReadResult.Unavailable) {
            complete(DependencyStatus.UNAVAILABLE);
        } else if (result instanceof JobReadResult.Present present) {
            visit(present.record());
        }
        if (!isVisiting) {
            visitPending();
        }
    }

    private void visit(JobRecord dependency) {
        if (dependency.status() == JobStatus.CANCELLED) {
            complete(DependencyStatus.CANCELLED);
        } else if (dependency.status() == JobStatus.ACTIVE
                && seen.size() < MAX_QUEUED_BEFORE_ADDING) {
            enqueueUnseen(dependency.spec().dependencies());
        }
    }

    private void complete(DependencyStatus status) {
        isCompleted = true;
        callback.accept(status);
    }

    private void enqueueUnseen(List<String> dependencies) {
        for (String dependency : dependencies) {
            if (seen.add(dependency)) {
                unvisited.add(dependency);
            }
        }
    }
}
