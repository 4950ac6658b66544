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
 * A machine that was requested from the cloud, from its request until its termination is confirmed.
 * Owns the machine's state and resources; parts of it are in {@link WorkerContact}, {@link
 * MachineAttempts}, {@link MachineHold} and {@link ImageCache}.
 */
public final class Machine {
    /** The states of a machine; {@link #transitionTo} is the only method that changes it. */
    public enum State {
        /** Requested from the cloud; its worker has not sent a heartbeat yet. */
        BOOTING,
        /** Known from a record or a heartbeat; has not acknowledged this term. */
        JOINING,
        /** Its worker has sent a heartbeat under this term. */
        UP,
        /** As UP, but gets no new work. */
        DRAINING,
        /** Its lease has expired, so that nothing runs on it. */
        LOST,
        /** Its termination is requested and not confirmed. */
        TERMINATING,
        /** Its termination is confirmed. */
        TERMINATED;

        /** Whether heartbeats renew the lease and commands are sent. */
        public boolean isReporting() {
            return this == UP || this == DRAINING;
        }
    }

    /**
     * The machines among which one run of the allocator chooses. A machine only remembers to which
     * of them it belongs.
     */
    public interface CandidateSet {}

    private final MachineIdentity identity;
    private final WorkerContact contact;
    private final MachineResources resources;
    private final ImageCache<Machine> images;
    private final MachineHold hold = new MachineHold(this);
    private final MachineAttempts attempts = new MachineAttempts();

    /** Host and port of the worker; null: not known yet. */
    private String address;

    private State state;
    private final double launchedAtSeconds;
    private double idleSinceSeconds;
    private double lostAtSeconds;

    /** When the cloud takes the machine; infinite: no notice was given. */
    private double terminationAtSeconds = Double.POSITIVE_INFINITY;

    /** Gets no new work so that it can be returned; takes work again when some waits. */
    private boolean drainingForScaleIn;

    /** An earlier leader was draining it, for a reason other than scale-in. */
    private boolean previousLeaderDraining;

    /** Jobs of which a task failed here. */
    private final List<Job> failedJobs = new ArrayList<>();

    /** The candidates that it was last part of, and its index there. */
    private CandidateSet candidateSet;

    private int candidateIndex;

    /**
     * @param address host and port of its worker; null: not known yet
     * @param nowSeconds when it was requested or, if that is not known, became known
     */
    public Machine(MachineIdentity identity, String address, State state, double nowSeconds) {
        this.identity = identity;
        this.address = address;
        this.state = state;
        this.resources = new MachineResources(identity.type().capacity());
        this.launchedAtSeconds = nowSeconds;
        this.idleSinceSeconds = nowSeconds;
        this.contact = new WorkerContact(nowSeconds);
        this.images = new ImageCache<>(this, identity.type());
    }

    /** Its name, unique and never used again by the cloud. */
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

    /** Whether it is a spot machine, which the cloud may take at short notice. */
    public boolean spot() {
        return identity.spot();
    }

    /** Host and port of its worker; null: not known yet. */
    public String address() {
        return address;
    }

    /** Its worker is at this host and port now. */
    public void updateAddress(String newAddress) {
        address = newAddress;
    }

    // ---- state ----

    /** Its state. */
    public State state() {
        return state;
    }

    /**
     * The only method that changes the state. A machine that is being terminated does nothing else,
     * and TERMINATED is final. Returns whether the state changed.
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

    /** Whether tasks may start on it. */
    public boolean acceptsWork(double nowSeconds) {
        return state == State.UP
                && terminationAtSeconds == Double.POSITIVE_INFINITY
                && !contact.isPossiblyDisconnected();
    }

    /** When it was requested or, if that is not known, became known. */
    public double launchedAtSeconds() {
        return launchedAtSeconds;
    }

    /** When it last came up, or its last attempt ended. */
    public double idleSinceSeconds() {
        return idleSinceSeconds;
    }

    /** When its lease expired, if it is {@link State#LOST}. */
    public double lostAtSeconds() {
        return lostAtSeconds;
    }

    /** When the cloud takes the machine; infinite: no notice was given. */
    public double terminationAtSeconds() {
        return terminationAtSeconds;
    }

    /** Whether the cloud gave notice that it takes the machine. */
    public boolean hasTerminationNotice() {
        return terminationAtSeconds != Double.POSITIVE_INFINITY;
    }

    /** The cloud takes the machine at this time. */
    public void onTerminationNotice(double atSeconds) {
        terminationAtSeconds = atSeconds;
    }

    /** Whether it is drained to be returned, not because it is faulty. */
    public boolean drainingForScaleIn() {
        return drainingForScaleIn;
    }

    /** Gets no new work, so that it can be returned. */
    public void drainForScaleIn(double nowSeconds) {
        drainingForScaleIn = true;
        transitionTo(State.DRAINING, nowSeconds);
    }

    /** Takes work again, as some waits. */
    public void cancelScaleIn(double nowSeconds) {
        drainingForScaleIn = false;
        transitionTo(State.UP, nowSeconds);
    }

    // ---- contact with its worker ----

    /** The contact with its worker. */
    public WorkerContact contact() {
        return contact;
    }

    /** Whether its worker receives what is sent to it. */
    public MachineReachability reachability() {
        return contact.reachability();
    }

    /** The agent epoch of the newest message of its worker; 0: none is known. */
    public long agentEpoch() {
        return contact.agentEpoch();
    }

    /** The newest agent epoch that this leader or an earlier one has seen; 0: none. */
    public long agentEpochHint() {
        return contact.agentEpochHint();
    }

    /** Whether it is known and has sent no heartbeat under this term. */
    public boolean awaitsFirstHeartbeat() {
        return state == State.JOINING;
    }

    /** Whether its heartbeats may come, but not what is sent to it. */
    public boolean isSuspected() {
        return contact.reachability().isSuspected() && state.isReporting();
    }

    /** Takes over the position and the address that a heartbeat names. */
    public void updateFrom(Heartbeat heartbeat) {
        contact.updateNewestMessage(heartbeat);
        address = heartbeat.address();
    }

    // ---- earlier leaders ----

    /** What an earlier leader replicated of it, as far as nothing better is known. */
    public void applyReplicated(ReplicatedMachine replicated) {
        if (address == null) {
            address = replicated.address();
        }
        contact.applyReplicated(replicated, awaitsFirstHeartbeat());
        previousLeaderDraining = replicated.drainedAsFaulty();
        terminationAtSeconds = Math.min(terminationAtSeconds, replicated.terminationAtSeconds());
    }

    /** Whether an earlier leader drained it as faulty: it gets no new work from this one either. */
    public boolean wasDrainedAsFaulty() {
        return previousLeaderDraining && state == State.JOINING;
    }

    /** Whether a command of an earlier leader may still be on its way. */
    public boolean isPreviousLeaderCommandOutcomeUnknown() {
        return contact.isPreviousLeaderCommandOutcomeUnknown();
    }

    // ---- resources ----

    /** What of its capacity is used, reserved and free. */
    public MachineResources resources() {
        return resources;
    }

    /** Capacity that is neither used nor reserved. */
    public Resources free() {
        return resources.free();
    }

    /** What its attempts occupy. */
    public Resources used() {
        return resources.used();
    }

    /** The free room once the attempts that are being stopped have ended. */
    public Resources freeAfterStops() {
        return attempts.addStopping(resources.free());
    }

    // ---- choice of machines ----

    /** Increases whenever a change may affect the choice of this machine for a task. */
    public int placementVersion() {
        return resources.version() + hold.version();
    }

    /** Becomes part of the machines among which the allocator chooses, and of no others. */
    public void enterCandidates(CandidateSet newCandidates, int index) {
        candidateSet = newCandidates;
        candidateIndex = index;
    }

    /** Whether these are the candidates that it entered last. */
    public boolean isCandidateIn(CandidateSet candidates) {
        return candidateSet == candidates;
    }

    /** Its index in the candidates that it entered last. */
    public int candidateIndex() {
        return candidateIndex;
    }

    /** For which job, if any, it is held. */
    public MachineHold hold() {
        return hold;
    }

    /** What it should have cached. */
    public ImageCache<Machine> images() {
        return images;
    }

    // ---- attempts ----

    /** Attempts that are, or may be, here, and those whose end its worker still reports. */
    public MachineAttempts attempts() {
        return attempts;
    }

    /** Whether an attempt is, or may be, here. */
    public boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    /** Whether a task of a service or a gang is, or may be, here. */
    public boolean hasGangOrServiceTask() {
        return attempts.hasGangOrService();
    }

    /** The attempt is, or may be, here from now on. */
    public void addAttempt(TaskAttempt attempt) {
        attempts.add(attempt);
        images.addReference(attempt.job().imageIndex());
    }

    /** An attempt is proven not to be here any more, or its end was taken over. */
    public void removeAttempt(TaskAttempt attempt, double nowSeconds) {
        if (attempts.remove(attempt)) {
            images.removeReference(attempt.job().imageIndex());
        }
        if (attempts.isEmpty()) {
            idleSinceSeconds = nowSeconds;
        }
    }

    // ---- failures ----

    /** Whether a task of the job failed here. */
    public boolean hasFailed(Job job) {
        return failedJobs.contains(job);
    }

    /** A task of the job failed here; returns whether it is the first of that job. */
    public boolean recordFailure(Job job) {
        return !failedJobs.contains(job) && failedJobs.add(job);
    }

    /** How many jobs failed here that do not fail everywhere. */
    public int countAttributedFailures() {
        int count = 0;
        for (Job job : failedJobs) {
            count += job.isSuspectedFaulty() ? 0 : 1;
        }
        return count;
    }

    /** For diagnosis. */
    @Override
    public String toString() {
        return identity.name()
                + " "
                + contact.agentEpoch()
                + "."
                + contact.sequenceNumber()
                + " "
                + state
                + (contact.isPossiblyDisconnected() ? " quiet " : " ")
                + contact.reachability().state()
                + " "
                + attempts;
    }
}
