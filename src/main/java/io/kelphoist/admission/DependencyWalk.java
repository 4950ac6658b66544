package io.kelphoist.admission;

import io.kelphoist.model.JobStatus;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Visits the jobs that a job depends on, breadth first, until one is found cancelled. A walk is
 * used once; it owns the set of jobs that it has seen.
 */
final class DependencyWalk {
    /** Bounds the reads for one response; the leader follows longer chains. */
    private static final int MAX_JOBS_VISITED = 64;

    private final JobLookup lookup;
    private final Consumer<DependencyStatus> callback;
    private final Deque<String> unvisited;
    private final Set<String> seen;

    private DependencyWalk(
            JobLookup lookup, List<String> dependencies, Consumer<DependencyStatus> callback) {
        this.lookup = lookup;
        this.callback = callback;
        this.unvisited = new ArrayDeque<>(dependencies);
        this.seen = new HashSet<>(dependencies);
    }

    /**
     * Checks whether a job must be cancelled because one that it depends on is. The leader cancels
     * such jobs; this check is for times without a leader or without a connection to it, so that no
     * job is reported as queued long after the cancellation of a dependency was reported.
     *
     * @param callback called once, with a status that may be as old as {@link JobLookup#readRecent}
     *     permits
     */
    static void start(
            JobLookup lookup, List<String> dependencies, Consumer<DependencyStatus> callback) {
        new DependencyWalk(lookup, dependencies, callback).visitNext();
    }

    private void visitNext() {
        if (unvisited.isEmpty()) {
            callback.accept(DependencyStatus.NONE_CANCELLED);
            return;
        }
        lookup.readRecent(unvisited.poll(), this::onRead);
    }

    private void onRead(JobReadResult result) {
        if (result instanceof JobReadResult.Unavailable) {
            callback.accept(DependencyStatus.UNAVAILABLE);
            return;
        }
        if (result instanceof JobReadResult.Present present) {
            JobStatus status = present.record().status();
            if (status == JobStatus.CANCELLED) {
                callback.accept(DependencyStatus.CANCELLED);
                return;
            }
            if (status == JobStatus.ACTIVE && seen.size() < MAX_JOBS_VISITED) {
                enqueueUnseen(present.record().spec().dependencies());
            }
        }
        visitNext();
    }

    private void enqueueUnseen(List<String> dependencies) {
        for (String dependency : dependencies) {
            if (seen.add(dependency)) {
                unvisited.add(dependency);
            }
        }
    }
}
