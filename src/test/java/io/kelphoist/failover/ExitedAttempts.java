package io.kelphoist.failover;

import io.kelphoist.model.ExitReason;
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.TaskStatus;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The exited attempts that a worker reports until the leader sends a forget command for each. */
final class ExitedAttempts {
    private final Map<String, TaskStatus> statusesByAttempt = new LinkedHashMap<>();

    void add(String task, long attempt, ExitReason reason, boolean checkpointSaved) {
        statusesByAttempt.put(
                SimulatedTasks.attemptKey(task, attempt),
                new TaskStatus(
                        SimulatedTasks.jobOf(task),
                        SimulatedTasks.indexOf(task),
                        attempt,
                        TaskPhase.EXITED,
                        reason,
                        checkpointSaved));
    }

    boolean contains(String task, long attempt) {
        return statusesByAttempt.containsKey(SimulatedTasks.attemptKey(task, attempt));
    }

    void forget(String task, long attempt) {
        statusesByAttempt.remove(SimulatedTasks.attemptKey(task, attempt));
    }

    void clear() {
        statusesByAttempt.clear();
    }

    List<TaskStatus> statuses() {
        return List.copyOf(statusesByAttempt.values());
    }
}
