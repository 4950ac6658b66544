package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.NameIndex;
import io.kelphoist.model.Priority;
import io.kelphoist.scheduler.images.ImageCatalog;

/**
 * A job that the leader works on, from its record until its end is stored and none of its attempts
 * is, or may be, on a machine. Owns its state; parts of it are in {@link JobTasks}, {@link
 * JobUrgency}, {@link JobFailures} and {@link CapacityAcquisition}.
 */
public final class Job {
    /** The states of a job; {@link #transitionTo} is the only method that changes it. */
    public enum State {
        /** Waits for dependencies that are not stored as done; gets no room. */
        WAITING,
        /** All dependencies are stored as done; tasks may start. */
        ACTIVE,
        /** All tasks are done, and the state service has not confirmed yet that the job is. */
        FINISHING,
        /**
         * A dependency is cancelled, and the state service has not confirmed yet that this job is
         * cancelled with it.
         */
        CANCELLING,
        /** Stored as done. */
        DONE,
        /** Stored as cancelled. */
        CANCELLED
    }

    /** A job of which nothing has begun for so long goes before later ones. */
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
    private State state = State.WAITING;

    /** The version of the newest record that was seen. */
    private long recordVersion;

    /** The job's end (done or cancelled) is being stored. */
    private boolean endBeingStored;

    /** When the last of its dependencies was done; without dependencies, when it was accepted. */
    private double readyAtSeconds;

    /** Dependencies that are not known to be done. */
    private int unmetDependencyCount;

    /** When its oldest pending task began to wait. */
    private double waitingSinceSeconds;

    private boolean aged;
    private int runningTaskCount;

    /** The id of the gang attempt that is being started or runs; 0: none. */
    private long gangAttemptId;

    /** A task of the present gang attempt was seen running. */
    private boolean hasRun;

    /**
     * Creates a job that waits for its dependencies and has none yet.
     *
     * @param imageIndex the index of its image
     * @param acceptedAtSeconds when it was accepted, on the clock of {@code nowSeconds}
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
        this.recordVersion = record.version();
        this.urgency = new JobUrgency(spec, acceptedAtSeconds);
        this.waitingSinceSeconds = nowSeconds;
    }

    /** The record as it was when the job became known. */
    public JobRecord record() {
        return record;
    }

    /** The job as its user described it. */
    public JobSpec spec() {
        return spec;
    }

    /** The usage of the team that it counts against. */
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

    /** Its tasks and the attempts at them. */
    public JobTasks tasks() {
        return tasks;
    }

    /** Its failures, and what follows from them. */
    public JobFailures failures() {
        return failures;
    }

    /** What was done to make room for it. */
    public CapacityAcquisition capacityAcquisition() {
        return capacityAcquisition;
    }

    // ---- state ----

    /** Its state. */
    public State state() {
        return state;
    }

    /**
     * The only method that changes the state. DONE and CANCELLED are final, and a job that is being
     * cancelled cannot become active. Returns whether the state changed.
     */
    public boolean transitionTo(State next) {
        boolean isFinal =
                state == State.DONE
                        || state == State.CANCELLED
                        || (state == State.CANCELLING && next == State.ACTIVE);
        if (state == next || isFinal) {
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

    /** Whether it has, or will have, tasks to run. */
    public boolean isOpen() {
        return state == State.ACTIVE || state == State.WAITING;
    }

    /** Whether its cancellation is stored, or being stored. */
    boolean isCancelled() {
        return state == State.CANCELLED || state == State.CANCELLING;
    }

    // ---- record ----

    /** The version of the newest record that was seen. */
    public long recordVersion() {
        return recordVersion;
    }

    /** A newer record was seen. */
    public void updateRecordVersion(long version) {
        recordVersion = version;
    }

    /** Whether its end was sent to the state service, and the outcome is not known. */
    public boolean endBeingStored() {
        return endBeingStored;
    }

    /** Its end is sent to the state service now. */
    public void beginStoringEnd() {
        endBeingStored = true;
    }

    /** The end could not be stored, or nobody knows whether it was: it is to be stored again. */
    public void onEndNotStored() {
        endBeingStored = false;
    }

    // ---- dependencies ----

    /** When it could start at the earliest. */
    public double readyAtSeconds() {
        return readyAtSeconds;
    }

    /** It depends on one more job that is not known to be done. */
    public void addUnmetDependency() {
        unmetDependencyCount++;
    }

    /** Whether it waits for a dependency. */
    public boolean hasUnmetDependencies() {
        return unmetDependencyCount > 0;
    }

    /** One of the dependencies that {@link #addUnmetDependency} counted is done. */
    public void onDependencyDone(double doneAtSeconds) {
        unmetDependencyCount--;
        postponeReadyTime(doneAtSeconds);
    }

    /** The job cannot have been ready before this time. */
    public void postponeReadyTime(double doneAtSeconds) {
        readyAtSeconds = Math.max(readyAtSeconds, doneAtSeconds);
    }

    // ---- urgency ----

    /** The highest of its own priority and those of its dependents. */
    public Priority priority() {
        return urgency.priority();
    }

    /** When it should be done, for itself and for its dependents; infinite: no deadline. */
    public double latestFinishAtSeconds() {
        return urgency.latestFinishAtSeconds();
    }

    /** Becomes at least as urgent as its dependent requires; returns whether that changed it. */
    public boolean inheritUrgency(Job dependent) {
        return urgency.inherit(dependent.urgency);
    }

    /** Becomes as urgent as its own description says. */
    public void resetUrgency() {
        urgency.reset();
    }

    // ---- waiting ----

    /** When its oldest pending task began to wait. */
    public double waitingSinceSeconds() {
        return waitingSinceSeconds;
    }

    /** Its pending tasks begin to wait for room now. */
    public void restartWait(double nowSeconds) {
        waitingSinceSeconds = nowSeconds;
    }

    /**
     * Whether nothing of it has begun for long: within its team and priority it goes before later
     * jobs, whatever their deadlines.
     */
    public boolean isAged() {
        return aged;
    }

    /** Updates what depends on how long it waits for room. */
    public void updateWaiting(double nowSeconds) {
        aged = !hasBegun() && nowSeconds > readyAtSeconds + AGED_AFTER_SECONDS;
        failures.updateAvoidance(nowSeconds);
    }

    /** Whether a task of it is, or may be, on a machine, or is done. */
    public boolean hasBegun() {
        return tasks.hasAttempts() || hasRun || tasks.hasDone();
    }

    /** Whether it fails on every machine, see {@link JobFailures#isSuspectedFaulty}. */
    public boolean isSuspectedFaulty() {
        return failures.isSuspectedFaulty();
    }

    /** Whether it is suspect and a task of it is tried: no other one starts meanwhile. */
    public boolean isOnTrial(double nowSeconds) {
        failures.endTrialIfPassed(runningTaskCount > 0, nowSeconds);
        return isSuspectedFaulty() && tasks.hasAttempts();
    }

    /** How many pending tasks may start now. */
    public int startableTaskCount() {
        return isSuspectedFaulty() && spec.kind() != JobKind.GANG
                ? Math.min(1, tasks.pendingCount())
                : tasks.pendingCount();
    }

    // ---- placement ----

    /** Whether its tasks may run in the zone. */
    public boolean isZoneAllowed(int zone) {
        return zone < allowedZones.length && allowedZones[zone];
    }

    /** The zone of its attempts, if all must share one; -1: any zone may be chosen. */
    public int commonZone() {
        return spec.singleZone() ? tasks.firstZoneWithAttempts() : -1;
    }

    // ---- attempts ----

    /** How many tasks are done. */
    public int doneTaskCount() {
        return tasks.doneCount();
    }

    /** How many attempts were seen running and have not ended. */
    public int runningTaskCount() {
        return runningTaskCount;
    }

    /** Counts an attempt that is, or may be, on its machine. */
    public void addAttempt(TaskAttempt attempt) {
        tasks.addAttempt(attempt);
    }

    /** The attempt occupies nothing any more; its task becomes pending again if it has to run. */
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

    /** A task of it began to run. */
    public void onTaskRunning(double nowSeconds) {
        runningTaskCount++;
        hasRun = true;
        failures.onTaskRunning(nowSeconds);
    }

    /** A task that was neither pending, done nor attempted waits again. */
    public void requeueLostTask(int taskIndex, double nowSeconds) {
        restartWait(nowSeconds);
        tasks.requeue(taskIndex);
    }

    /** All tasks start, or were seen to have been started, under this attempt id. */
    public void beginGangAttempt(long attemptId) {
        gangAttemptId = attemptId;
    }

    /** The id of the gang attempt that is being started or runs; 0: none. */
    public long gangAttemptId() {
        return gangAttemptId;
    }

    /** Whether a task of it, of a gang of the present attempt, was seen running. */
    public boolean hasRun() {
        return hasRun;
    }
}
