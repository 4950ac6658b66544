package io.kelphoist.failover;

import io.kelphoist.failover.SimulationCounters.Counter;
import io.kelphoist.model.ExitReason;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.TaskStatus;
import io.kelphoist.model.WorkerCommand;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * A worker's agent: it executes commands of leaders whose fencing token is not older than the
 * newest it has seen, reports in heartbeats, and stops all tasks when its lease expires.
 */
final class SimulatedWorker {
    /** The rest of the fleet, as its workers see it. */
    interface Fleet {
        /** Whether all tasks of the gang run under this attempt, none of them saving. */
        boolean isGangComplete(String task, long attemptId);

        /** Called before a task starts. */
        void onTaskStarting(String task, SimulatedWorker worker);

        /** Called when a task has been started and runs. */
        void onTaskRunning();
    }

    /** A gang's task waits this long for the others. */
    private static final double GANG_WAIT_SECONDS = 8;

    /** A gang's task runs on for this long without the others. */
    static final double GANG_PEER_SECONDS = 3;

    private static final double FIRST_HEARTBEAT_SPACING_SECONDS = 0.3;

    private final String name;
    private final SimulationContext context;
    private final SimulatedTasks tasks;
    private final Fleet fleet;
    private final boolean scaledOut;

    /** Attempts that run here, by task. */
    private final Map<String, Long> attempts = new LinkedHashMap<>();

    private final Map<String, ExitReason> exitReasonsByAttempt = new LinkedHashMap<>();
    private final Map<String, Double> startedAtSeconds = new HashMap<>();
    private final Map<String, Double> saveEndsAtSeconds = new HashMap<>();

    /** Exited attempts whose checkpoint was saved. */
    private final Set<String> savedAttempts = new HashSet<>();

    private long fencingToken;
    private long agentEpoch = 1;
    private long heartbeatSequence;
    private double leaseStartSeconds;
    private double nextHeartbeatAtSeconds;
    private boolean partitioned;
    private boolean inboundBlocked;
    private boolean outboundBlocked;
    private double lastHeartbeatReceivedAtSeconds;
    private boolean terminated;
    private double terminatesAtSeconds = Double.POSITIVE_INFINITY;

    SimulatedWorker(
            int number,
            boolean scaledOut,
            SimulationContext context,
            SimulatedTasks tasks,
            Fleet fleet) {
        this.name = "vm-" + number;
        this.scaledOut = scaledOut;
        this.context = context;
        this.tasks = tasks;
        this.fleet = fleet;
        leaseStartSeconds = context.nowSeconds();
        lastHeartbeatReceivedAtSeconds = context.nowSeconds();
        nextHeartbeatAtSeconds =
                scaledOut ? context.nowSeconds() : number * FIRST_HEARTBEAT_SPACING_SECONDS;
    }

    String name() {
        return name;
    }

    String address() {
        return name + ":1";
    }

    long agentEpoch() {
        return agentEpoch;
    }

    /** Whether a leader scaled it out, in addition to the machines that always exist. */
    boolean isScaledOut() {
        return scaledOut;
    }

    Map<String, Long> attempts() {
        return Collections.unmodifiableMap(attempts);
    }

    boolean isSaving(String task) {
        return saveEndsAtSeconds.containsKey(task);
    }

    // ---- faults ----

    /** Nothing reaches it, and nothing of it arrives anywhere. */
    void setPartitioned(boolean partitioned) {
        this.partitioned = partitioned;
    }

    boolean isPartitioned() {
        return partitioned;
    }

    /** Its heartbeats arrive, but nothing that is sent to it does. */
    void setInboundBlocked(boolean blocked) {
        inboundBlocked = blocked;
    }

    boolean isInboundBlocked() {
        return inboundBlocked;
    }

    /** What is sent to it arrives, but none of its heartbeats does. */
    void setOutboundBlocked(boolean blocked) {
        outboundBlocked = blocked;
    }

    boolean isOutboundBlocked() {
        return outboundBlocked;
    }

    /** The cloud terminates it at this instant; the worker announces that in its heartbeats. */
    void terminateAt(double atSeconds) {
        terminatesAtSeconds = atSeconds;
    }

    boolean isTerminationDue() {
        return context.nowSeconds() >= terminatesAtSeconds;
    }

    void terminate() {
        terminated = true;
    }

    boolean isTerminated() {
        return terminated;
    }

    /** The machine is back at once, without anything that its agent knew. */
    void restart() {
        removeAllTasks();
        fencingToken = 0;
        agentEpoch = 1;
        heartbeatSequence = 0;
        leaseStartSeconds = context.nowSeconds();
        context.counters().increment(Counter.WORKER_RESTARTS);
    }

    // ---- heartbeats and leases ----

    boolean isHeartbeatDue() {
        return !partitioned && context.nowSeconds() >= nextHeartbeatAtSeconds;
    }

    void scheduleHeartbeat(double atSeconds) {
        nextHeartbeatAtSeconds = atSeconds;
    }

    /** A heartbeat of this worker, or a copy of one, reached a leader. */
    void onHeartbeatReceived() {
        lastHeartbeatReceivedAtSeconds = context.nowSeconds();
    }

    double lastHeartbeatReceivedAtSeconds() {
        return lastHeartbeatReceivedAtSeconds;
    }

    void renewLease(double heartbeatSentAtSeconds) {
        leaseStartSeconds = Math.max(leaseStartSeconds, heartbeatSentAtSeconds);
    }

    void expireLease() {
        if (context.nowSeconds() > leaseStartSeconds + SimulationContext.LEASE_SECONDS) {
            removeAllTasks();
            agentEpoch++;
            leaseStartSeconds = context.nowSeconds();
            context.counters().increment(Counter.LEASES_EXPIRED);
        }
    }

    Heartbeat createHeartbeat() {
        List<TaskStatus> statuses = new ArrayList<>();
        attempts.forEach(
                (task, attempt) -> statuses.add(status(task, attempt, phase(task, attempt), null)));
        exitReasonsByAttempt.forEach((key, reason) -> statuses.add(exitStatus(key, reason)));
        Double notice =
                terminatesAtSeconds == Double.POSITIVE_INFINITY
                        ? null
                        : Double.valueOf(terminatesAtSeconds - context.nowSeconds());
        return new Heartbeat(
                name,
                address(),
                "m",
                "a",
                false,
                agentEpoch,
                ++heartbeatSequence,
                fencingToken,
                notice,
                statuses);
    }

    private TaskStatus exitStatus(String attemptKey, ExitReason reason) {
        int separator = attemptKey.indexOf('@');
        return status(
                attemptKey.substring(0, separator),
                Long.parseLong(attemptKey.substring(separator + 1)),
                TaskPhase.EXITED,
                reason);
    }

    private TaskStatus status(String task, long attempt, TaskPhase phase, ExitReason reason) {
        return new TaskStatus(
                SimulatedTasks.jobOf(task),
                SimulatedTasks.indexOf(task),
                attempt,
                phase,
                reason,
                savedAttempts.contains(SimulatedTasks.attemptKey(task, attempt)));
    }

    private TaskPhase phase(String task, long attempt) {
        if (isSaving(task)) {
            return TaskPhase.SAVING;
        }
        return SimulatedTasks.isGangTask(task) && !tasks.wasGangComplete(attempt)
                ? TaskPhase.WAITING
                : TaskPhase.RUNNING;
    }

    // ---- tasks ----

    /** Lets tasks end, gangs begin or give up, and checkpoints complete, as time passes. */
    void runTasks() {
        for (Map.Entry<String, Long> attempt : List.copyOf(attempts.entrySet())) {
            runTask(attempt.getKey(), attempt.getValue());
        }
    }

    private void runTask(String task, long attempt) {
        double now = context.nowSeconds();
        if (now >= startedAtSeconds.get(task) + tasks.durationSeconds(task)) {
            exit(task, ExitReason.DONE, false);
            tasks.onFinished(task);
        } else if (now >= saveEndsAtSeconds.getOrDefault(task, Double.POSITIVE_INFINITY)) {
            exit(task, ExitReason.STOPPED, true);
        } else if (SimulatedTasks.isGangTask(task)) {
            runGangTask(task, attempt);
        }
    }

    private void runGangTask(String task, long attempt) {
        double now = context.nowSeconds();
        boolean wasComplete = tasks.wasGangComplete(attempt);
        double patience = wasComplete ? GANG_PEER_SECONDS : GANG_WAIT_SECONDS;
        if (fleet.isGangComplete(task, attempt)) {
            tasks.onGangComplete(attempt);
            startedAtSeconds.put(task, now);
        } else if (!isSaving(task) && now > startedAtSeconds.get(task) + patience) {
            exit(task, wasComplete ? ExitReason.PEER_EXITED : ExitReason.PEERS_MISSING, false);
        }
    }

    void exit(String task, ExitReason reason, boolean withCheckpoint) {
        String key = SimulatedTasks.attemptKey(task, attempts.remove(task));
        exitReasonsByAttempt.put(key, reason);
        startedAtSeconds.remove(task);
        saveEndsAtSeconds.remove(task);
        if (withCheckpoint) {
            savedAttempts.add(key);
            context.counters().increment(Counter.CHECKPOINTS_SAVED);
        }
    }

    /** Returns false if the leader's term is older than the newest that the worker has seen. */
    boolean execute(long term, List<WorkerCommand> commands) {
        if (term < fencingToken) {
            return false;
        }
        fencingToken = term;
        commands.forEach(this::execute);
        return true;
    }

    private void execute(WorkerCommand command) {
        String task = SimulatedTasks.taskName(command.jobId(), command.taskIndex());
        String key = SimulatedTasks.attemptKey(task, command.attemptId());
        boolean runsHere = Objects.equals(attempts.get(task), command.attemptId());
        if (command instanceof WorkerCommand.Start) {
            if (!exitReasonsByAttempt.containsKey(key) && !runsHere) {
                start(task, command.attemptId());
            }
        } else if (command instanceof WorkerCommand.Stop stop) {
            if (runsHere) {
                stop(task, stop);
            }
        } else if (command instanceof WorkerCommand.Forget) {
            exitReasonsByAttempt.remove(key);
        }
    }

    private void start(String task, long attempt) {
        String key = SimulatedTasks.attemptKey(task, attempt);
        if (attempts.containsKey(task)) {
            exitReasonsByAttempt.put(key, ExitReason.BUSY);
            return;
        }
        fleet.onTaskStarting(task, this);
        if (tasks.isFinished(task)) {
            // Its result is kept: it exits as soon as it is started again.
            exitReasonsByAttempt.put(key, ExitReason.DONE);
        } else {
            attempts.put(task, attempt);
            startedAtSeconds.put(task, context.nowSeconds());
            fleet.onTaskRunning();
        }
        if (outboundBlocked) {
            context.counters().increment(Counter.TASKS_STARTED_WITHOUT_HEARTBEATS);
        }
    }

    private void stop(String task, WorkerCommand.Stop command) {
        boolean maySave =
                command.graceSeconds() >= SimulatedJobs.CHECKPOINT_SAVE_SECONDS
                        && SimulatedTasks.isGangTask(task)
                        && tasks.wasGangComplete(command.attemptId());
        if (maySave) {
            saveEndsAtSeconds.putIfAbsent(
                    task, context.nowSeconds() + SimulatedJobs.CHECKPOINT_SAVE_SECONDS);
        } else if (!isSaving(task) || command.graceSeconds() == 0) {
            exit(task, ExitReason.STOPPED, false);
        }
    }

    private void removeAllTasks() {
        attempts.clear();
        exitReasonsByAttempt.clear();
        startedAtSeconds.clear();
        saveEndsAtSeconds.clear();
    }

    @Override
    public String toString() {
        return name + " " + agentEpoch + "." + heartbeatSequence + attempts;
    }
}
