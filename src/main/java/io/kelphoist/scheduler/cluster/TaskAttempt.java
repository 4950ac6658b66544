package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.ExitReason;
import io.kelphoist.model.TaskStatus;

/**
 * One attempt at a task on one machine. It counts against the machine's room, the team's quota and
 * the job's zones from before its start is sent until a heartbeat proves that it is not there, or
 * the machine's lease has expired. Owns its state, and what of its start and stop was sent.
 */
public final class TaskAttempt {
    /** The states of an attempt; {@link #transitionTo} is the only method that changes it. */
    public enum State {
        /** Its start is decided and perhaps sent; no heartbeat has listed it yet. */
        STARTING,
        /** Waits for its image. */
        FETCHING,
        /** Of a gang: waits for the other tasks of its attempt. */
        WAITING,
        /** Runs. */
        RUNNING,
        /** Was told to stop and saves a checkpoint. */
        SAVING,
        /**
         * Its worker says that it ended: occupies nothing, and stays until the worker may forget
         * it.
         */
        EXITED,
        /** Proven not to be on the machine. */
        REMOVED;

        /** Whether an attempt in this state is, or may be, on its machine. */
        public boolean occupiesResources() {
            return this != EXITED && this != REMOVED;
        }
    }

    /** The value of {@link #stopGraceSeconds} while the task is not to be stopped. */
    static final double NOT_STOPPING = -1;

    /**
     * The id of an attempt that only a record of an earlier term names, as long as its machine has
     * not sent a heartbeat.
     */
    static final long PRESUMED_ATTEMPT_ID = -1;

    private final Job job;
    private final int taskIndex;
    private final long attemptId;
    private final Machine machine;
    private final long agentEpoch;
    private State state = State.STARTING;
    private ExitReason exitReason;

    /** A command with its start had no response, so it may be executed minutes later. */
    private boolean startOutcomeUnknown;

    /** A command with its start was sent and has not ended. */
    private boolean startInFlight;

    /** Its start is stored at the state service. */
    private boolean startRecorded;

    /** Its start was sent at least once, in a command or an answer to a heartbeat. */
    private boolean startSent;

    private boolean stopSent;
    private double stopGraceSeconds = NOT_STOPPING;
    private double stopRequestedAtSeconds;
    private final double createdAtSeconds;
    private double runningSinceSeconds = Double.NaN;
    private boolean allocated;

    /**
     * Creates an attempt whose start is decided now.
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

    /** The attempt at a task that a record of an earlier term names. */
    public static TaskAttempt presumed(Job job, int taskIndex, Machine machine, double nowSeconds) {
        return new TaskAttempt(job, taskIndex, PRESUMED_ATTEMPT_ID, machine, 0, nowSeconds);
    }

    /** Whether only a record of an earlier term names it. */
    public boolean isPresumed() {
        return attemptId == PRESUMED_ATTEMPT_ID;
    }

    /** Its state. */
    public State state() {
        return state;
    }

    /** Why it exited; null: it has not. */
    public ExitReason exitReason() {
        return exitReason;
    }

    /**
     * The only method that changes the state. An attempt that ended does not come back. Returns
     * whether the state changed.
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

    /** Whether the task is to be stopped. */
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

    /** The machine that it is, or may be, on. */
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
                + (startOutcomeUnknown ? " dangling" : "")
                + (isStopping() ? " stopping" : "");
    }

    /** Whether this is the attempt that a worker lists. */
    public boolean matches(TaskStatus taskStatus) {
        return attemptId == taskStatus.attemptId()
                && taskIndex == taskStatus.taskIndex()
                && job.spec().id().equals(taskStatus.jobId());
    }

    /** Run time that would be lost if it were stopped now, in seconds. */
    public double workAtRiskSeconds(double nowSeconds) {
        if (Double.isNaN(runningSinceSeconds)) {
            return 0;
        }
        double runSeconds = nowSeconds - runningSinceSeconds;
        return job.spec().isCheckpointed()
                ? Math.min(runSeconds, job.spec().checkpointSaveSeconds())
                : runSeconds;
    }

    /** Its id, which no other term uses; {@link #isPresumed} attempts share one. */
    public long attemptId() {
        return attemptId;
    }

    /** The agent epoch of the worker that its start was decided for. */
    public long agentEpoch() {
        return agentEpoch;
    }

    /** When its start was decided or, if an earlier term did that, it became known. */
    public double createdAtSeconds() {
        return createdAtSeconds;
    }

    /** When the task was first seen running; NaN: it was not. */
    double runningSinceSeconds() {
        return runningSinceSeconds;
    }

    /** Whether the task was ever seen running. */
    public boolean hasRun() {
        return !Double.isNaN(runningSinceSeconds);
    }

    // ---- accounting ----

    /** Whether it counts against the machine, the team's quota and the zone. */
    public boolean allocated() {
        return allocated;
    }

    /** It counts from now on. */
    public void markAllocated() {
        allocated = true;
    }

    /** It counts no longer. */
    public void markDeallocated() {
        allocated = false;
    }

    /** Whether the attempt is counted and its task was seen running. */
    public boolean isRunningAllocated() {
        return allocated && hasRun();
    }

    // ---- the start ----

    /** Whether the state service holds the start, so that it may be sent. */
    public boolean startRecorded() {
        return startRecorded;
    }

    /** The state service holds the start. */
    public void markStartRecorded() {
        startRecorded = true;
    }

    /** Whether its start was sent at least once. */
    public boolean startSent() {
        return startSent;
    }

    /** The start goes out in the response to a heartbeat. */
    public void onStartSentInResponse() {
        startSent = true;
    }

    /** The start goes out in a direct command, whose outcome {@link #onStartOutcome} reports. */
    public void onStartDispatched() {
        startSent = true;
        startInFlight = true;
    }

    /** A direct command that may have had the start in it was answered, or got no response. */
    public void onStartOutcome(boolean answered) {
        if (startInFlight) {
            startInFlight = false;
            startOutcomeUnknown |= !answered;
        }
    }

    /** The worker lists a task that an earlier term started. */
    public void onAdopted() {
        startRecorded = true;
        startSent = true;
    }

    /** Whether a direct command with the start got no answer: it may be executed minutes later. */
    boolean startOutcomeUnknown() {
        return startOutcomeUnknown;
    }

    /** Whether a direct command with the start may still reach the worker. */
    public boolean mayStartArrive() {
        return startOutcomeUnknown || startInFlight;
    }

    // ---- the stop ----

    /** Wants the task stopped; it gets {@code graceSeconds} to save a checkpoint. */
    public void requestStop(double graceSeconds, double nowSeconds) {
        stopGraceSeconds = graceSeconds;
        stopRequestedAtSeconds = nowSeconds;
        stopSent = false;
    }

    /** How long the task may save a checkpoint; negative if it is not to be stopped. */
    public double stopGraceSeconds() {
        return stopGraceSeconds;
    }

    /** When its stop was requested last. */
    public double stopRequestedAtSeconds() {
        return stopRequestedAtSeconds;
    }

    /** Whether its stop was sent since it was requested last. */
    public boolean stopSent() {
        return stopSent;
    }

    /** Its stop is sent now. */
    public void onStopSent() {
        stopSent = true;
    }
}
