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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A worker. It executes the commands of a leader whose fencing token is not older than the newest
 * it has seen, reports its tasks in heartbeats, and stops all tasks when its lease expires.
 */
final class SimulatedWorker {
    /** The operations of the fleet that its workers use. */
    interface Fleet {
        /**
         * Whether all tasks of the gang run under this attempt and none of them is saving a
         * checkpoint.
         */
        boolean isGangComplete(String task, long attemptId);

        /** Called before a task starts. */
        void onTaskStarting(String task, SimulatedWorker worker);

        /** Called after a task has started to run. */
        void onTaskRunning();
    }

    /** A task of a gang waits this long for the other tasks to start. */
    private static final double GANG_WAIT_SECONDS = 8;

    /**
     * A task of a gang that was complete continues to run for this long without the other tasks.
     */
    static final double GANG_PEER_SECONDS = 3;

    private static final double FIRST_HEARTBEAT_SPACING_SECONDS = 0.3;

    /** A worker whose tasks have changed sends a heartbeat this long after the last one. */
    private static final double MIN_HEARTBEAT_SPACING_SECONDS = 0.5;

    private final String name;
    private final SimulationContext context;
    private final SimulatedTasks tasks;
    private final Fleet fleet;
    private final boolean scaledOut;

    /** The ids of running attempts by task. */
    private final Map<String, Long> attempts = new LinkedHashMap<>();

    private final ExitedAttempts exitedAttempts = new ExitedAttempts();
    private final Map<String, Double> startedAtSeconds = new HashMap<>();
    private final Map<String, Double> saveEndsAtSeconds = new HashMap<>();

    private long fencingToken;
    private long agentEpoch = 1;
    private long heartbeatSequence;
    private double leaseStartSeconds;
    private double nextHeartbeatAtSeconds;
    private double lastHeartbeatAtSeconds;
    private List<TaskStatus> lastReportedTasks = List.of();
    private boolean partitioned;
    private boolean inboundBlocked;
    private boolean outboundBlocked;
    private boolean refusesStarts;
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

    /**
     * Whether a leader scaled it out; otherwise it is one of the machines that exist for the whole
     * run.
     */
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

    /**
     * Sets whether no message reaches this worker or arrives from it. Requests to it remain in
     * flight and may be delivered later.
     */
    void setPartitioned(boolean partitioned) {
        this.partitioned = partitioned;
    }

    boolean isPartitioned() {
        return partitioned;
    }

    /**
     * Sets whether no message reaches this worker while its heartbeats arrive. Responses to them
     * are lost; requests to it remain in flight and may be delivered later.
     */
    void setInboundBlocked(boolean blocked) {
        inboundBlocked = blocked;
    }

    boolean isInboundBlocked() {
        return inboundBlocked;
    }

    /** Sets whether this worker's heartbeats are lost while messages to it arrive. */
    void setOutboundBlocked(boolean blocked) {
        outboundBlocked = blocked;
    }

    boolean isOutboundBlocked() {
        return outboundBlocked;
    }

    /** Sets whether all starts are refused for lack of resources. */
    void setRefusesStarts(boolean refuses) {
        refusesStarts = refuses;
    }

    /**
     * The cloud terminates the machine at this time. The worker reports the termination notice in
     * its heartbeats.
     */
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

    /** Restarts the machine at once. Its worker loses all state. */
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
        return !partitioned
                && (context.nowSeconds() >= nextHeartbeatAtSeconds || isChangeToReport());
    }

    private boolean isChangeToReport() {
        return context.nowSeconds() >= lastHeartbeatAtSeconds + MIN_HEARTBEAT_SPACING_SECONDS
                && !taskStatuses().equals(lastReportedTasks);
    }

    void scheduleHeartbeat(double atSeconds) {
        nextHeartbeatAtSeconds = atSeconds;
        lastHeartbeatAtSeconds = context.nowSeconds();
        lastReportedTasks = taskStatuses();
    }

    /** Renews the lease; its duration is measured from when the heartbeat was sent. */
    void renewLease(double heartbeatSentAtSeconds) {
        leaseStartSeconds = Math.max(leaseStartSeconds, heartbeatSentAtSeconds);
    }

    /** Stops all tasks and starts a new agent epoch if the lease has expired. */
    void expireLease() {
        if (context.nowSeconds() > leaseStartSeconds + SimulationContext.LEASE_SECONDS) {
            removeAllTasks();
            agentEpoch++;
            leaseStartSeconds = context.nowSeconds();
            context.counters().increment(Counter.LEASES_EXPIRED);
        }
    }

    Heartbeat createHeartbeat() {
        Double notice =
                terminatesAtSeconds == Double.POSITIVE_INFINITY
                        ? null
                        : Double.valueOf(terminatesAtSeconds - context.nowSeconds());
        return new Heartbeat(
                name,
                address(),
                /* machineType= */ "m",
                /* zone= */ "a",
                /* spot= */ false,
                agentEpoch,
                ++heartbeatSequence,
                fencingToken,
                notice,
                taskStatuses());
    }

    private List<TaskStatus> taskStatuses() {
        List<TaskStatus> statuses = new ArrayList<>();
        attempts.forEach((task, attempt) -> statuses.add(status(task, attempt)));
        statuses.addAll(exitedAttempts.statuses());
        return statuses;
    }

    private TaskStatus status(String task, long attempt) {
        return new TaskStatus(
                SimulatedTasks.jobOf(task),
                SimulatedTasks.indexOf(task),
                attempt,
                phase(task, attempt),
                /* exitReason= */ null,
                /* checkpointSaved= */ false);
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

    /**
     * Advances the running tasks: tasks finish, gangs start or time out, and checkpoints are
     * completed.
     */
    void runTasks() {
        for (Map.Entry<String, Long> attempt : List.copyOf(attempts.entrySet())) {
            runTask(attempt.getKey(), attempt.getValue());
        }
    }

    private void runTask(String task, long attempt) {
        double now = context.nowSeconds();
        if (now >= startedAtSeconds.get(task) + tasks.durationSeconds(task)) {
            exit(task, ExitReason.DONE, false);
            tasks.onDone(task);
        } else if (now >= saveEndsAtSeconds.getOrDefault(task, Double.POSITIVE_INFINITY)) {
            exit(task, ExitReason.STOPPED, true);
        } else if (SimulatedTasks.isGangTask(task)) {
            runGangTask(task, attempt);
        }
    }

    private void runGangTask(String task, long attempt) {
        double now = context.nowSeconds();
        boolean wasGangComplete = tasks.wasGangComplete(attempt);
        double timeoutSeconds = wasGangComplete ? GANG_PEER_SECONDS : GANG_WAIT_SECONDS;
        if (fleet.isGangComplete(task, attempt)) {
            tasks.onGangComplete(attempt);
            startedAtSeconds.put(task, now);
        } else if (!isSaving(task) && now > startedAtSeconds.get(task) + timeoutSeconds) {
            exit(task, wasGangComplete ? ExitReason.PEER_EXITED : ExitReason.PEERS_MISSING, false);
        }
    }

    /**
     * A running attempt exits; its exit reason is reported until the leader sends a forget command.
     */
    void exit(String task, ExitReason reason, boolean withCheckpoint) {
        exitedAttempts.add(task, attempts.remove(task), reason, withCheckpoint);
        startedAtSeconds.remove(task);
        saveEndsAtSeconds.remove(task);
        if (withCheckpoint) {
            context.counters().increment(Counter.CHECKPOINTS_SAVED);
        }
    }

    /**
     * Executes commands of a leader. Returns false if its term is older than the newest that the
     * worker has seen.
     */
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
        boolean isRunning = Objects.equals(attempts.get(task), command.attemptId());
        if (command instanceof WorkerCommand.Start) {
            if (!exitedAttempts.contains(task, command.attemptId()) && !isRunning) {
                start(task, command.attemptId());
            }
        } else if (command instanceof WorkerCommand.Stop stop) {
            if (isRunning) {
                stop(task, stop);
            }
        } else if (command instanceof WorkerCommand.Forget) {
            exitedAttempts.forget(task, command.attemptId());
        }
    }

    private void start(String task, long attempt) {
        if (attempts.containsKey(task)) {
            exitedAttempts.add(task, attempt, ExitReason.BUSY, false);
            return;
        }
        if (refusesStarts) {
            exitedAttempts.add(task, attempt, ExitReason.INSUFFICIENT_RESOURCES, false);
            return;
        }
        fleet.onTaskStarting(task, this);
        if (tasks.isDone(task)) {
            // The result of the earlier attempt still exists, so the new attempt exits at once.
            exitedAttempts.add(task, attempt, ExitReason.DONE, false);
        } else {
            attempts.put(task, attempt);
            startedAtSeconds.put(task, context.nowSeconds());
            fleet.onTaskRunning();
        }
    }

    private void stop(String task, WorkerCommand.Stop command) {
        boolean canSaveCheckpoint =
                command.graceSeconds() >= SimulatedJobs.CHECKPOINT_SAVE_SECONDS
                        && SimulatedTasks.isGangTask(task)
                        && tasks.wasGangComplete(command.attemptId());
        if (canSaveCheckpoint) {
            saveEndsAtSeconds.putIfAbsent(
                    task, context.nowSeconds() + SimulatedJobs.CHECKPOINT_SAVE_SECONDS);
        } else if (!isSaving(task) || command.graceSeconds() == 0) {
            exit(task, ExitReason.STOPPED, false);
        }
    }

    private void removeAllTasks() {
        attempts.clear();
        exitedAttempts.clear();
        startedAtSeconds.clear();
        saveEndsAtSeconds.clear();
    }

    @Override
    public String toString() {
        return name + " " + agentEpoch + "." + heartbeatSequence + attempts;
    }
}
