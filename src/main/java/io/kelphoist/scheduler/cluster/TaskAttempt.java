package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.ExitReason;
import io.kelphoist.model.TaskStatus;

/**
 * One attempt at a task on one machine. It is charged to the machine's capacity, the team's quota
 * and the job's zones from before its start is sent until a message of its worker lists it as
 * exited or proves that it is not on the machine, or the machine's lease has expired, or the
 * machine is terminated. Owns its state, and whether its start and stop were sent.
 */
public final class TaskAttempt {
    /** The states of an attempt; {@link #transitionTo} is the only method that changes it. */
    public enum State {
        /** Its start was decided and may have been sent; its worker has not listed it yet. */
        STARTING,
        /** Its image is not on the machine yet. */
        FETCHING,
        /** Of a gang: waits for the other tasks of the gang attempt. */
        WAITING,
        /** The task is running. */
        RUNNING,
        /** It received a stop and is saving a checkpoint. */
        SAVING,
        /**
         * Its worker listed it as exited: it occupies no resources. It is kept until the worker,
         * which lists it until it gets a forget command, no longer does so.
         */
        EXITED,
        /** Proven not to be on the machine, and removed from it. */
        REMOVED;

        /** Whether an attempt in this state may be on its machine. */
        public boolean occupiesResources() {
            return this != EXITED && this != REMOVED;
        }
    }

    /** The value of {@link #stopGraceSeconds} while no stop is requested. */
    static final double NOT_STOPPING = -1;

    /**
     * The id of all attempts that were restored from starts that earlier terms stored. Such an
     * attempt is removed, or replaced by the listed one, when its machine sends a heartbeat under
     * this term, and removed when another machine lists the task.
     */
    static final long PRESUMED_ATTEMPT_ID = -1;

    private final Job job;
    private final int taskIndex;
    private final long attemptId;
    private final Machine machine;
    private final long agentEpoch;
    private State state = State.STARTING;
    private ExitReason exitReason;

    /** Its start is stored at the state store. */
    private boolean startRecorded;

    /** Its start was sent at least once, in a response to a heartbeat. */
    private boolean startSent;

    /** Its stop was sent since it was last requested. */
    private boolean stopSent;

    private double stopGraceSeconds = NOT_STOPPING;
    private double stopRequestedAtSeconds;
    private final double createdAtSeconds;
    private double runningSinceSeconds = Double.NaN;

    /** It is charged to the machine, the team's quota and the job's zones. */
    private boolean allocated;

    private boolean startedWhenOverdue;

    /**
     * Creates an attempt in state {@link State#STARTING}.
     *
     * @param agentEpoch the agent epoch of the worker that is to start it
     */
    public TaskAttempt(
            Job job,
            int taskIndex,
            long attemptId,
            Machine machine,
            long agentEpoch,
            double nowSeconds) {
        this.job = job;
        this.taskIndex = taskIndex;
        this.attemptId = attemptId;
        this.machine = machine;
        this.agentEpoch = agentEpoch;
        this.createdAtSeconds = nowSeconds;
        this.startRecorded = attemptId == PRESUMED_ATTEMPT_ID;
    }

    /** Restores the attempt of a start that an earlier term stored, see {@link #isPresumed}. */
    public static TaskAttempt presumed(Job job, int taskIndex, Machine machine, double nowSeconds) {
        return new TaskAttempt(
                job, taskIndex, PRESUMED_ATTEMPT_ID, machine, /* agentEpoch= */ 0, nowSeconds);
    }

    /**
     * Whether it was restored from a start that an earlier term stored: until the machine sends a
     * heartbeat under this term, or its lease expires, the task is presumed to be on the machine.
     */
    public boolean isPresumed() {
        return attemptId == PRESUMED_ATTEMPT_ID;
    }

    /** Its state. */
    public State state() {
        return state;
    }

    /** Why it exited; null: it has not exited. */
    public ExitReason exitReason() {
        return exitReason;
    }

    /**
     * The only method that changes the state. From EXITED only REMOVED can follow, and REMOVED is
     * final. Returns whether the state changed.
     */
    public boolean transitionTo(State next, ExitReason reason, double nowSeconds) {
        if (next == state
                || state == State.REMOVED
                || (state == State.EXITED && next != State.REMOVED)) {
            return false;
        }
        state = next;
        exitReason = reason;
        if (next == State.RUNNING && Double.isNaN(runningSinceSeconds)) {
            runningSinceSeconds = nowSeconds;
        }
        return true;
    }

    /** Whether a stop was requested. */
    public boolean isStopping() {
        return stopGraceSeconds != NOT_STOPPING;
    }

    /** The job of its task. */
    public Job job() {
        return job;
    }

    /** The index of its task in the job. */
    public int taskIndex() {
        return taskIndex;
    }

    /** The machine that it was started on. */
    public Machine machine() {
        return machine;
    }

    @Override
    public String toString() {
        return job.spec().id()
                + "/"
                + taskIndex
                + "@"
                + attemptId
                + " "
                + state
                + (isStopping() ? " stopping" : "");
    }

    /** Whether a worker's task status is about this attempt. */
    public boolean matches(TaskStatus taskStatus) {
        return attemptId == taskStatus.attemptId()
                && taskIndex == taskStatus.taskIndex()
                && job.spec().id().equals(taskStatus.jobId());
    }

    /**
     * Run time that would be lost if it were stopped now, in seconds; with checkpoints, at most the
     * time that saving one takes.
     */
    public double workAtRiskSeconds(double nowSeconds) {
        if (Double.isNaN(runningSinceSeconds)) {
            return 0;
        }
        double runSeconds = nowSeconds - runningSinceSeconds;
        return job.spec().isCheckpointed()
                ? Math.min(runSeconds, job.spec().checkpointSaveSeconds())
                : runSeconds;
    }

    /**
     * Its id; no two terms assign the same one. The tasks of a gang attempt share an id, and so do
     * all presumed attempts.
     */
    public long attemptId() {
        return attemptId;
    }

    /** The agent epoch of the worker when the start was decided. */
    public long agentEpoch() {
        return agentEpoch;
    }

    /**
     * When its start was decided or, if an earlier term decided it, when this leader created the
     * attempt.
     */
    public double createdAtSeconds() {
        return createdAtSeconds;
    }

    /** When the task was first reported running; NaN: it was not. */
    double runningSinceSeconds() {
        return runningSinceSeconds;
    }

    /** Whether the task was ever reported running. */
    public boolean hasRun() {
        return !Double.isNaN(runningSinceSeconds);
    }

    /** Whether it was started because its job was overdue at its team's limit. */
    public boolean startedWhenOverdue() {
        return startedWhenOverdue;
    }

    /** Marks it as started because its job was overdue at its team's limit. */
    public void markStartedWhenOverdue() {
        startedWhenOverdue = true;
    }

    // ---- accounting ----

    /** Whether it is charged to the machine, the team's quota and the job's zones. */
    public boolean allocated() {
        return allocated;
    }

    /** Marks it as charged to the machine, the team's quota and the job's zones. */
    public void markAllocated() {
        allocated = true;
    }

    /** Marks it as charged no longer. */
    public void markDeallocated() {
        allocated = false;
    }

    /** Whether it is allocated and its task was reported running. */
    public boolean isRunningAllocated() {
        return allocated && hasRun();
    }

    // ---- the start ----

    /** Whether its start is stored at the state store, so that it may be sent. */
    public boolean startRecorded() {
        return startRecorded;
    }

    /** Called when its start is stored at the state store. */
    public void markStartRecorded() {
        startRecorded = true;
    }

    /** Whether its start was sent at least once. */
    public boolean startSent() {
        return startSent;
    }

    /** Called when the start is sent in the response to a heartbeat. */
    public void onStartSent() {
        startSent = true;
    }

    /** Whether its start may be sent, and was not sent yet. */
    public boolean isStartDue() {
        return state == State.STARTING
                && startRecorded
                && !startSent
                && !isStopping()
                && !isPresumed();
    }

    /** Called when a worker lists the attempt and an earlier term started it. */
    public void onAdopted() {
        startRecorded = true;
        startSent = true;
    }

    // ---- the stop ----

    /** Requests a stop, with {@code graceSeconds} to save a checkpoint. */
    public void requestStop(double graceSeconds, double nowSeconds) {
        stopGraceSeconds = graceSeconds;
        stopRequestedAtSeconds = nowSeconds;
        stopSent = false;
    }

    /** The time that the task gets to save a checkpoint; negative: no stop is requested. */
    public double stopGraceSeconds() {
        return stopGraceSeconds;
    }

    /** When its stop was last requested. */
    public double stopRequestedAtSeconds() {
        return stopRequestedAtSeconds;
    }

    /** Whether its stop was sent since it was last requested. */
    public boolean stopSent() {
        return stopSent;
    }

    /** Called when its stop is sent. */
    public void onStopSent() {
        stopSent = true;
    }
}
