package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.ReplicatedMachine;
import io.kelphoist.model.Resources;
import io.kelphoist.scheduler.images.ImageCache;
import io.kelphoist.scheduler.reachability.MachineReachability;
import io.kelphoist.scheduler.reachability.WorkerContact;
import java.util.ArrayList;
import java.util.List;

/**
 * A cloud instance that runs a worker, from the request for it until its termination is confirmed.
 * Owns its state and resources; parts of it are in {@link WorkerContact}, {@link MachineAttempts},
 * {@link MachineHold} and {@link ImageCache}.
 */
public final class Machine {
    /** The states of a machine; {@link #transitionTo} is the only method that changes it. */
    public enum State {
        /** Requested from the cloud; its worker has not acknowledged this term yet. */
        BOOTING,
        /**
         * Adopted from a record, a replicated state, the instance list or a heartbeat; its worker
         * has not acknowledged this term yet.
         */
        JOINING,
        /** Its worker has sent a message with the fencing token of this term. */
        UP,
        /** As {@link #UP}, but no tasks are started on it. */
        DRAINING,
        /** Its lease has expired, so that its worker has stopped all tasks. */
        LOST,
        /** Its termination is requested, or about to be, and not confirmed. */
        TERMINATING,
        /** Its termination is confirmed. */
        TERMINATED;

        /** Whether its heartbeats renew its lease and commands are sent to its worker. */
        public boolean isReporting() {
            return this == UP || this == DRAINING;
        }
    }

    /**
     * The set of machines among which one run of the allocator chooses. A machine only stores which
     * set it entered last.
     */
    public interface CandidateSet {}

    private final MachineIdentity identity;
    private final WorkerContact contact;
    private final MachineResources resources;
    private final ImageCache<Machine> images;
    private final MachineHold hold = new MachineHold(this);
    private final MachineAttempts attempts = new MachineAttempts();

    /** Host and port of its worker; null: not received yet. */
    private String address;

    private State state;
    private final double launchedAtSeconds;
    private double idleSinceSeconds;
    private double lostAtSeconds;

    /** When the cloud terminates the machine; infinite: no termination notice was received. */
    private double terminationAtSeconds = Double.POSITIVE_INFINITY;

    /** Draining to be returned to the cloud; this is cancelled if its capacity is needed. */
    private boolean drainingForScaleIn;

    /** An earlier leader drained it because it was faulty. */
    private boolean drainedAsFaultyByPreviousLeader;

    /** Jobs with a task that failed on this machine. */
    private final List<Job> failedJobs = new ArrayList<>();

    /** The candidate set that it entered last, and its index there. */
    private CandidateSet candidateSet;

    private int candidateIndex;

    /**
     * Creates a machine without attempts.
     *
     * @param address host and port of its worker; null: not received yet
     * @param launchedAtSeconds see {@link #launchedAtSeconds()}
     */
    public Machine(
            MachineIdentity identity, String address, State state, double launchedAtSeconds) {
        this.identity = identity;
        this.address = address;
        this.state = state;
        this.resources = new MachineResources(identity.type().capacity());
        this.launchedAtSeconds = launchedAtSeconds;
        this.idleSinceSeconds = launchedAtSeconds;
        this.contact = new WorkerContact(launchedAtSeconds);
        this.images = new ImageCache<>(this, identity.type());
    }

    /** Its name, which is unique and never reused by the cloud. */
    public String name() {
        return identity.name();
    }

    /** Its type. */
    public MachineType type() {
        return identity.type();
    }

    /** The index of its zone, see {@code SchedulerState.zoneName}. */
    public int zone() {
        return identity.zone();
    }

    /** Whether it is a spot instance, which the cloud may terminate at short notice. */
    public boolean spot() {
        return identity.spot();
    }

    /** Host and port of its worker; null: not received yet. */
    public String address() {
        return address;
    }

    /** Sets the host and port of its worker. */
    public void updateAddress(String newAddress) {
        address = newAddress;
    }

    // ---- state ----

    /** Its state. */
    public State state() {
        return state;
    }

    /**
     * The only method that changes the state. From TERMINATING only TERMINATED can follow, and
     * TERMINATED is final. Returns whether the state changed.
     */
    public boolean transitionTo(State next, double nowSeconds) {
        if (state == next
                || state == State.TERMINATED
                || (state == State.TERMINATING && next != State.TERMINATED)) {
            return false;
        }
        state = next;
        if (next == State.UP) {
            idleSinceSeconds = nowSeconds;
        } else if (next == State.LOST) {
            lostAtSeconds = nowSeconds;
        }
        return true;
    }

    /** Whether tasks may start on it: it is up, connected, and has no termination notice. */
    public boolean acceptsWork(double nowSeconds) {
        return state == State.UP
                && terminationAtSeconds == Double.POSITIVE_INFINITY
                && !contact.isPossiblyDisconnected();
    }

    /** When it was requested or launched or, if both are unknown, adopted by this leader. */
    public double launchedAtSeconds() {
        return launchedAtSeconds;
    }

    /** When it last became {@link State#UP}, or its last attempt was removed. */
    public double idleSinceSeconds() {
        return idleSinceSeconds;
    }

    /** When it last became {@link State#LOST}; 0: it never did. */
    public double lostAtSeconds() {
        return lostAtSeconds;
    }

    /** When the cloud terminates the machine; infinite: no termination notice was received. */
    public double terminationAtSeconds() {
        return terminationAtSeconds;
    }

    /** Whether a termination notice was received. */
    public boolean hasTerminationNotice() {
        return terminationAtSeconds != Double.POSITIVE_INFINITY;
    }

    /** Called for a termination notice: the cloud terminates the machine at this time. */
    public void onTerminationNotice(double atSeconds) {
        terminationAtSeconds = atSeconds;
    }

    /** Whether it is drained to be returned to the cloud, not because it is faulty. */
    public boolean drainingForScaleIn() {
        return drainingForScaleIn;
    }

    /** Drains the machine, so that it can be returned to the cloud. */
    public void drainForScaleIn(double nowSeconds) {
        drainingForScaleIn = true;
        transitionTo(State.DRAINING, nowSeconds);
    }

    /** Ends {@link #drainForScaleIn}: tasks may start on the machine again. */
    public void cancelScaleIn(double nowSeconds) {
        drainingForScaleIn = false;
        transitionTo(State.UP, nowSeconds);
    }

    // ---- contact with its worker ----

    /** State of the communication with its worker. */
    public WorkerContact contact() {
        return contact;
    }

    /** Whether its worker receives what the leader sends. */
    public MachineReachability reachability() {
        return contact.reachability();
    }

    /** The agent epoch of the newest message of its worker; 0: none was received. */
    public long agentEpoch() {
        return contact.agentEpoch();
    }

    /** The newest agent epoch that this leader received or an earlier one replicated; 0: none. */
    public long agentEpochHint() {
        return contact.agentEpochHint();
    }

    /** Whether it was adopted, but its worker has not acknowledged this term. */
    public boolean awaitsFirstHeartbeat() {
        return state == State.JOINING;
    }

    /** Whether messages to its worker may be lost, although its heartbeats may arrive. */
    public boolean isSuspected() {
        return contact.reachability().isSuspected() && state.isReporting();
    }

    /** Applies the agent epoch, sequence number and address of the newest message. */
    public void updateFrom(Heartbeat heartbeat) {
        contact.updateNewestMessage(heartbeat);
        address = heartbeat.address();
    }

    // ---- earlier leaders ----

    /**
     * Applies what an earlier leader replicated of this machine. An address that is already set is
     * kept, and so is an earlier termination time.
     */
    public void applyReplicated(ReplicatedMachine replicated) {
        if (address == null) {
            address = replicated.address();
        }
        contact.applyReplicated(replicated, awaitsFirstHeartbeat());
        drainedAsFaultyByPreviousLeader = replicated.drainedAsFaulty();
        terminationAtSeconds = Math.min(terminationAtSeconds, replicated.terminationAtSeconds());
    }

    /** Whether it is joining, and an earlier leader drained it as faulty: it stays drained. */
    public boolean wasDrainedAsFaulty() {
        return drainedAsFaultyByPreviousLeader && state == State.JOINING;
    }

    /** Whether a command of an earlier leader may still be delivered. */
    public boolean isPreviousLeaderCommandOutcomeUnknown() {
        return contact.isPreviousLeaderCommandOutcomeUnknown();
    }

    // ---- resources ----

    /** How much of its capacity is used, reserved and free. */
    public MachineResources resources() {
        return resources;
    }

    /** Free resources: neither used nor reserved. */
    public Resources free() {
        return resources.free();
    }

    /** Resources that its attempts use. */
    public Resources used() {
        return resources.used();
    }

    /** Free resources once the attempts that are being stopped have ended. */
    public Resources freeAfterStops() {
        return attempts.addResourcesOfStopping(resources.free());
    }

    // ---- choice of machines ----

    /**
     * Increases with each change of its resources and each hold that ends: a placement cost that
     * was computed at a lower version may be out of date.
     */
    public int placementVersion() {
        return resources.version() + hold.version();
    }

    /** Enters a candidate set at an index, and leaves the one that it entered before. */
    public void enterCandidates(CandidateSet newCandidates, int index) {
        candidateSet = newCandidates;
        candidateIndex = index;
    }

    /** Whether this is the candidate set that it entered last. */
    public boolean isCandidateIn(CandidateSet candidates) {
        return candidateSet == candidates;
    }

    /** Its index in the candidate set that it entered last. */
    public int candidateIndex() {
        return candidateIndex;
    }

    /** The hold of this machine, which is for one job or for none. */
    public MachineHold hold() {
        return hold;
    }

    /** The images that should be cached on it. */
    public ImageCache<Machine> images() {
        return images;
    }

    // ---- attempts ----

    /** Attempts that may be on this machine, and exited ones that its worker still lists. */
    public MachineAttempts attempts() {
        return attempts;
    }

    /** Whether {@link #attempts} is not empty. */
    public boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    /** Whether {@link #attempts} contains a task of a service or a gang. */
    public boolean hasGangOrServiceTask() {
        return attempts.hasGangOrService();
    }

    /** Adds an attempt that may be on this machine from now on. */
    public void addAttempt(TaskAttempt attempt) {
        attempts.add(attempt);
        images.addReference(attempt.job().imageIndex());
    }

    /** Removes an attempt that is not on this machine, or exited and is no longer listed. */
    public void removeAttempt(TaskAttempt attempt, double nowSeconds) {
        if (attempts.remove(attempt)) {
            images.removeReference(attempt.job().imageIndex());
        }
        if (attempts.isEmpty()) {
            idleSinceSeconds = nowSeconds;
        }
    }

    // ---- failures ----

    /** Whether a task of the job failed on this machine. */
    public boolean hasFailed(Job job) {
        return failedJobs.contains(job);
    }

    /** Records that a task of the job failed here; returns whether it is the first of the job. */
    public boolean recordFailure(Job job) {
        return !failedJobs.contains(job) && failedJobs.add(job);
    }

    /** Number of jobs that failed here and are not suspected faulty themselves. */
    public int countAttributedFailures() {
        int count = 0;
        for (Job job : failedJobs) {
            count += job.isSuspectedFaulty() ? 0 : 1;
        }
        return count;
    }

    @Override
    public String toString() {
        return identity.name()
                + " "
                + contact.agentEpoch()
                + "."
                + contact.sequenceNumber()
                + " "
                + state
                + (contact.isPossiblyDisconnected() ? " possiblyDisconnected " : " ")
                + contact.reachability().state()
                + " "
                + attempts;
    }
}
