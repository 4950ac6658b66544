package io.kelphoist.scheduler;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.TaskStatus;
import io.kelphoist.model.WorkerCommand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The workers of {@link SchedulerBenchmark}, whose tasks run until they are stopped. */
final class BenchmarkWorkers {
    static final String NAME_PREFIX = "vm-";

    /** The ids of running attempts by task, by machine. */
    private final Map<String, Map<String, Long>> running = new HashMap<>();

    private long sequenceNumber;

    void execute(String machineName, List<WorkerCommand> commands) {
        Map<String, Long> attemptIds =
                running.computeIfAbsent(machineName, name -> new LinkedHashMap<>());
        for (WorkerCommand command : commands) {
            String task = command.jobId() + "/" + command.taskIndex();
            if (command instanceof WorkerCommand.Start) {
                attemptIds.put(task, command.attemptId());
            } else {
                attemptIds.remove(task);
            }
        }
    }

    Heartbeat createHeartbeat(String machineName, long fencingToken) {
        int machineNumber = Integer.parseInt(machineName.substring(NAME_PREFIX.length()));
        List<TaskStatus> tasks = new ArrayList<>();
        running.getOrDefault(machineName, Map.of())
                .forEach((task, attemptId) -> tasks.add(status(task, attemptId)));
        return new Heartbeat(
                machineName,
                "10.0.0.1:9000",
                /* machineType= */ "m",
                /* zone= */ machineNumber % 2 == 0 ? "a" : "b",
                /* spot= */ false,
                /* agentEpoch= */ 1,
                ++sequenceNumber,
                fencingToken,
                /* terminationNoticeSeconds= */ null,
                tasks);
    }

    private static TaskStatus status(String task, long attemptId) {
        int separator = task.indexOf('/');
        return new TaskStatus(
                task.substring(0, separator),
                Integer.parseInt(task.substring(separator + 1)),
                attemptId,
                TaskPhase.RUNNING,
                /* exitReason= */ null,
                /* checkpointSaved= */ false);
    }
}
