package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.NameIndex;
import io.kelphoist.model.Priority;
import io.kelphoist.scheduler.images.ImageCatalog;

/**
 * A job that the leader schedules. It exists from when its record is received until its end (done
 * or cancelled) is stored and none of its attempts may be on a machine. Owns its state; parts of it
 * are in {@link JobTasks}, {@link JobUrgency}, {@link JobFailures}, {@link CapacityAcquisition} and
 * {@link JobRecordState}.
 */
public final class Job {
    /** The states of a job; {@link #transitionTo} is the only method that changes it. */
    public enum State {
        /** Waits for dependencies that are not stored as done; none of its tasks is placed. */
        WAITING,
        /** All dependencies are stored as done; tasks may start. */
        ACTIVE,
        /** All tasks are done; the state store has not confirmed the job as done yet. */
        FINISHING,
        /**
         * A dependency is cancelled, and this job with it; the state store has not confirmed yet
         * that this job is stored as cancelled.
         */
        CANCELLING,
        /** Stored as done. */
        DONE,
        /** Stored as cancelled. */
        CANCELLED
    }

    /** A job that is ready this long without starting a task is {@link #isAged aged}. */
    private static final double AGED_AFTER_SECONDS = 90;

    private final JobRecord record;
    private final JobSpec spec;
    private final TeamUsage team;
    private final int imageIndex;
    private final double acceptedAtSeconds;
    private final boolean[] allowedZones;
    private final JobTasks tasks;
    private final JobFailures failures = new JobFailures();
    private final CapacityAcquisition capacityAcquisition = new CapacityAcquisition();
    private final JobUrgency urgency;
    private final JobRecordState recordState;
    private State state = State.WAITING;

    /** When its last dependency was done; without dependencies, when the job was accepted. */
    private double readyAtSeconds;

    /** Number of dependencies for which no record as done was received. */
    private int unmetDependencyCount;

    private double waitingSinceSeconds;

    private boolean aged;
    private int runningTaskCount;

    /** The id of the gang attempt that is starting or running; 0: none. */
    private long gangAttemptId;

    /** A task was reported running; for a gang, a task of its current gang attempt. */
    private boolean hasRun;

    /**
     * Creates a job in state {@link State#WAITING}, to which no dependencies have been added.
     *
     * @param imageIndex the index of its image
     * @param acceptedAtSeconds when it was accepted, on the same clock as {@code nowSeconds}
     */
    public Job(
            JobRecord record,
            TeamUsage team,
            int imageIndex,
            NameIndex zones,
            double acceptedAtSeconds,
            double nowSeconds) {
        this.record = record;
        this.spec = record.spec();
        this.team = team;
        this.imageIndex = imageIndex;
        this.tasks = new JobTasks(spec.tasks(), zones.size());
        this.allowedZones = new boolean[zones.size()];
        for (int zone = 0; zone < allowedZones.length; zone++) {
            allowedZones[zone] = spec.zone() == null || spec.zone().equals(zones.name(zone));
        }
        this.acceptedAtSeconds = acceptedAtSeconds;
        this.readyAtSeconds = acceptedAtSeconds;
        this.recordState = new JobRecordState(record.version());
        this.urgency = new JobUrgency(spec, acceptedAtSeconds);
        this.waitingSinceSeconds = nowSeconds;
    }

    /** The record from which this job was created. */
    public JobRecord record() {
        return record;
    }

    /** The description that the user submitted. */
    public JobSpec spec() {
        return spec;
    }

    /** The usage of its team, to which its attempts are charged. */
    public TeamUsage team() {
        return team;
    }

    /** The index of its image, see {@link ImageCatalog}. */
    public int imageIndex() {
        return imageIndex;
    }

    /** When it was accepted. */
    public double acceptedAtSeconds() {
        return acceptedAtSeconds;
    }

    /** Its tasks and their attempts. */
    public JobTasks tasks() {
        return tasks;
    }

    /** Its failures, and the backoff and avoidance that follow from them. */
    public JobFailures failures() {
        return failures;
    }

    /**
     * Measures taken to obtain resources for it: reservations, machine holds, preemption checks.
     */
    public CapacityAcquisition capacityAcquisition() {
        return capacityAcquisition;
    }

    // ---- state ----

    /** Its state. */
    public State state() {
        return state;
    }

    /**
     * The only method that changes the state. DONE and CANCELLED are final, and a job that is
     * finishing or being cancelled cannot become active. Once the job is no longer open, no task is
     * pending. Returns whether the state changed.
     */
    public boolean transitionTo(State next) {
        boolean isReopened = next == State.ACTIVE && !isOpen();
        if (state == next || hasEnded() || isReopened) {
            return false;
        }
        state = next;
        if (!isOpen()) {
            tasks.clearPending();
        }
        return true;
    }

    /** Whether it may start tasks. */
    public boolean isActive() {
        return state == State.ACTIVE;
    }

    /** Whether its tasks may start, now or once its dependencies are done. */
    public boolean isOpen() {
        return state == State.ACTIVE || state == State.WAITING;
    }

    /** Whether its end (done or cancelled) is stored. */
    public boolean hasEnded() {
        return state == State.DONE || state == State.CANCELLED;
    }

    /** Whether its cancellation is stored or is being stored. */
    boolean isCancelled() {
        return state == State.CANCELLED || state == State.CANCELLING;
    }

    // ---- record ----

    /** What is known of its record at the state store. */
    public JobRecordState recordState() {
        return recordState;
    }

    // ---- dependencies ----

    /** When it was, or will at the earliest be, ready to start. */
    public double readyAtSeconds() {
        return readyAtSeconds;
    }

    /** Adds a dependency for which no record as done was received. */
    public void addUnmetDependency() {
        unmetDependencyCount++;
    }

    /** Whether a dependency was added that is not done. */
    public boolean hasUnmetDependencies() {
        return unmetDependencyCount > 0;
    }

    /** Called when a dependency that {@link #addUnmetDependency} added is done. */
    public void onDependencyDone(double doneAtSeconds) {
        unmetDependencyCount--;
        postponeReadyTime(doneAtSeconds);
    }

    /** Moves the ready time to the end of a dependency, if that is later. */
    public void postponeReadyTime(double doneAtSeconds) {
        readyAtSeconds = Math.max(readyAtSeconds, doneAtSeconds);
    }

    // ---- urgency ----

    /** The highest of its own priority and the priorities of its dependents. */
    public Priority priority() {
        return urgency.priority();
    }

    /** The latest finish that meets its and its dependents' deadlines; infinite: no deadline. */
    public double latestFinishAtSeconds() {
        return urgency.latestFinishAtSeconds();
    }

    /** Raises the urgency to what a dependent requires; returns whether that changed it. */
    public boolean inheritUrgency(Job dependent) {
        return urgency.inherit(dependent.urgency);
    }

    /** Sets the urgency to the priority and deadline of its own description. */
    public void resetUrgency() {
        urgency.reset();
    }

    // ---- waiting ----

    /** When the wait of its pending tasks for placement began or was last restarted. */
    public double waitingSinceSeconds() {
        return waitingSinceSeconds;
    }

    /** Restarts the wait of its pending tasks at the given time. */
    public void restartWait(double nowSeconds) {
        waitingSinceSeconds = nowSeconds;
    }

    /**
     * Whether, as of the last {@link #updateWaiting}, it had been ready for more than {@link
     * #AGED_AFTER_SECONDS} without starting a task. Within its team and priority an aged job is
     * placed before jobs that are not aged, whatever their deadlines.
     */
    public boolean isAged() {
        return aged;
    }

    /** Updates aging and the avoidance of machines where it failed, which depend on the time. */
    public void updateWaiting(double nowSeconds) {
        aged = !hasBegun() && nowSeconds > readyAtSeconds + AGED_AFTER_SECONDS;
        failures.updateAvoidance(nowSeconds);
        capacityAcquisition.limitWait().update(this, nowSeconds);
    }

    /** Whether a task of it may be on a machine, has run or is done. */
    public boolean hasBegun() {
        return tasks.hasAttempts() || hasRun || tasks.hasDone();
    }

    /** Whether the job itself is suspected faulty, see {@link JobFailures#isSuspectedFaulty}. */
    public boolean isSuspectedFaulty() {
        return failures.isSuspectedFaulty();
    }

    /**
     * Whether it is suspected faulty and a task, or a gang, is being tried: no other task starts
     * meanwhile. First ends the suspicion if a task has run for long enough.
     */
    public boolean isOnTrial(double nowSeconds) {
        failures.endTrialIfPassed(runningTaskCount > 0, nowSeconds);
        return isSuspectedFaulty() && tasks.hasAttempts();
    }

    /**
     * Number of pending tasks that may start now: at most one if the job is suspected faulty,
     * unless it is a gang, whose tasks start together.
     */
    public int startableTaskCount() {
        return isSuspectedFaulty() && spec.kind() != JobKind.GANG
                ? Math.min(1, tasks.pendingCount())
                : tasks.pendingCount();
    }

    // ---- placement ----

    /** Whether its description allows the zone with this index. */
    public boolean isZoneAllowed(int zone) {
        return zone < allowedZones.length && allowedZones[zone];
    }

    /**
     * If all its tasks must run in one zone, the zone of its present attempts; -1: there are none,
     * or its tasks may run in different zones.
     */
    public int commonZone() {
        return spec.singleZone() ? tasks.firstZoneWithAttempts() : -1;
    }

    // ---- attempts ----

    /** Number of tasks that are done. */
    public int doneTaskCount() {
        return tasks.doneCount();
    }

    /** Number of attempts that were reported running and have not ended. */
    public int runningTaskCount() {
        return runningTaskCount;
    }

    /** Adds an attempt that may be on its machine. */
    public void addAttempt(TaskAttempt attempt) {
        tasks.addAttempt(attempt);
    }

    /**
     * Removes an attempt that no longer occupies resources. Its task becomes pending again if it is
     * not done, has no other attempt, and the job is open.
     */
    public void removeAttempt(TaskAttempt attempt, double nowSeconds) {
        boolean isLastOfTask = tasks.removeAttempt(attempt);
        if (isLastOfTask && isOpen() && !tasks.isDone(attempt.taskIndex())) {
            if (!tasks.hasPending()) {
                restartWait(nowSeconds);
            }
            tasks.requeue(attempt.taskIndex());
        }
        if (spec.kind() == JobKind.GANG && !tasks.hasAttempts()) {
            gangAttemptId = 0;
            hasRun = false;
        }
        if (runningTaskCount > 0 && attempt.hasRun()) {
            runningTaskCount--;
        }
    }

    /** Called when a worker reports for the first time that an attempt is running. */
    public void onTaskRunning(double nowSeconds) {
        runningTaskCount++;
        hasRun = true;
        failures.onTaskRunning(nowSeconds);
    }

    /** Makes a task pending again that was neither pending nor done and had no attempt. */
    public void requeueLostTask(int taskIndex, double nowSeconds) {
        restartWait(nowSeconds);
        tasks.requeue(taskIndex);
    }

    /** Sets the attempt id under which all tasks start, or were reported as started. */
    public void beginGangAttempt(long attemptId) {
        gangAttemptId = attemptId;
    }

    /** The id of the gang attempt that is starting or running; 0: none. */
    public long gangAttemptId() {
        return gangAttemptId;
    }

    /** Whether a task was reported running; for a gang, a task of its current gang attempt. */
    public boolean hasRun() {
        return hasRun;
    }
}
