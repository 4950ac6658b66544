package io.kelphoist.delegation;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.kelphoist.model.SchedulingPolicy;
import java.util.Collection;

/**
 * What the leader of a term knows about the delegations of one other controller: the offers sent to
 * it, the machines whose leases it may have renewed and until when, and what the state store has on
 * record. Owns this state; {@link LeaseDelegations} has one instance per controller.
 *
 * <p>Every bound errs to the safe side: an offer without a response may have arrived. Times are
 * seconds of the leader's monotonic clock unless stated otherwise.
 */
final class PeerDelegation {
    /** What this term knows about the controller; {@link #transitionTo} is the only writer. */
    enum State {
        /** No response in this term yet: it may hold a delegation of an earlier term. */
        NOT_HEARD,
        /** Runs a version without delegation. */
        UNSUPPORTED,
        /** Has responded in this term: it holds nothing but what this term gave it. */
        SUPPORTED
    }

    /** What is on record about the delegation; {@link #recordTransitionTo} is the only writer. */
    enum RecordState {
        /** Nothing of use is on record. */
        ABSENT,
        /** A write is in flight. */
        WRITING,
        /** The latest start is on record: no newer delegation may be given. */
        PRESENT
    }

    /** With more excluded machines than this the delegation is revoked instead. */
    static final int MAX_EXCLUDED_MACHINES = 200;

    /**
     * A controller that is silent for this long may stay silent: the start of its delegation is put
     * on record for the next leader.
     */
    private static final double RECORD_AFTER_SECONDS = 3;

    private final DelegationTiming timing;
    private final String zone;
    private State state = State.NOT_HEARD;
    private RecordState recordState = RecordState.ABSENT;

    /** When the newest request that was responded to was sent, and when its response arrived. */
    private double answeredRequestSentAtSeconds = Double.NEGATIVE_INFINITY;

    private double answeredAtSeconds = Double.NEGATIVE_INFINITY;

    /** The controller's own monotonic clock as of that response. */
    private double peerClockSeconds;

    private long incarnation;

    /** Of the newest offer that was sent. */
    private long sequenceNumber;

    private double offeredStartAtSeconds = Double.NEGATIVE_INFINITY;
    private ImmutableSet<String> offeredExclusions = ImmutableSet.of();

    /** Latest possible start of the delegation that the controller holds. */
    private double latestStartAtSeconds;

    /** Machines that are excluded from every delegation which the controller may hold. */
    private ImmutableSet<String> excludedMachines = ImmutableSet.of();

    /**
     * Latest possible renewal before the newest response, and the machines whose leases were
     * certainly not renewed by then.
     */
    private double lastRenewalAtSeconds = Double.NEGATIVE_INFINITY;

    private ImmutableSet<String> notRenewedMachines = ImmutableSet.of();

    /**
     * Starts a term in which nothing is known about the controller.
     *
     * @param zone the zone whose workers the controller may serve
     * @param latestStartAtSeconds latest possible start of a delegation of an earlier term
     */
    PeerDelegation(DelegationTiming timing, String zone, double latestStartAtSeconds) {
        this.timing = timing;
        this.zone = zone;
        this.latestStartAtSeconds = latestStartAtSeconds;
    }

    private void transitionTo(State nextState) {
        state = nextState;
    }

    private void recordTransitionTo(RecordState nextState) {
        recordState = nextState;
    }

    String zone() {
        return zone;
    }

    /** Whether the controller responded in this term with a version that supports delegation. */
    boolean isSupported() {
        return state == State.SUPPORTED;
    }

    /** A response to a request of this term arrived. Responses to older requests are ignored. */
    void onResponse(double sentAtSeconds, PeerStatus status, double nowSeconds) {
        if (sentAtSeconds < answeredRequestSentAtSeconds) {
            return;
        }
        double latestRenewalAtSeconds =
                Math.max(
                        nowSeconds - status.uptimeSeconds(),
                        nowSeconds - status.sinceRenewalSeconds());
        onHeard(sentAtSeconds, latestRenewalAtSeconds, State.SUPPORTED, nowSeconds);
        peerClockSeconds = status.clockSeconds();
        incarnation = status.incarnation();
        if (status.sequenceNumber() == sequenceNumber && status.sequenceNumber() > 0) {
            latestStartAtSeconds = offeredStartAtSeconds;
            excludedMachines = offeredExclusions;
        }
    }

    /** A response of a version without delegation arrived. */
    void onUnsupportedResponse(double sentAtSeconds, double nowSeconds) {
        if (sentAtSeconds >= answeredRequestSentAtSeconds) {
            // An earlier process of this controller may have run a version with delegation.
            onHeard(sentAtSeconds, nowSeconds, State.UNSUPPORTED, nowSeconds);
            latestStartAtSeconds = Double.NEGATIVE_INFINITY;
        }
    }

    /**
     * A response bounds the renewals so far: none was later than {@code latestRenewalAtSeconds},
     * nor than the delegation allowed. An earlier process ended before this one started.
     */
    private void onHeard(
            double sentAtSeconds,
            double latestRenewalAtSeconds,
            State nextState,
            double nowSeconds) {
        double boundedRenewalAtSeconds = Math.min(latestRenewalAtSeconds, expiresAtSeconds());
        if (state == State.NOT_HEARD) {
            // The first request of this term ended what it held of an earlier one.
            latestStartAtSeconds = Double.NEGATIVE_INFINITY;
        }
        if (boundedRenewalAtSeconds > lastRenewalAtSeconds) {
            notRenewedMachines =
                    lastRenewalAtSeconds > nowSeconds - timing.delegationSeconds() * 2
                            ? Sets.intersection(notRenewedMachines, excludedMachines)
                                    .immutableCopy()
                            : excludedMachines;
            lastRenewalAtSeconds = boundedRenewalAtSeconds;
        }
        transitionTo(nextState);
        answeredRequestSentAtSeconds = sentAtSeconds;
        answeredAtSeconds = nowSeconds;
    }

    private double expiresAtSeconds() {
        return latestStartAtSeconds
                + timing.delegationSeconds() * (1 + 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO);
    }

    /** Whether an offer may be sent: no start of an older delegation is on record. */
    boolean isOfferable() {
        return recordState == RecordState.ABSENT;
    }

    /**
     * Creates the next offer and takes into account that it may be accepted from now on.
     *
     * @param exclusions machines to exclude; too many of them revoke the delegation
     * @param knownUntilSeconds the moment up to which the leader knows all cancellations
     */
    DelegationOffer nextOffer(long term, Collection<String> exclusions, double knownUntilSeconds) {
        sequenceNumber++;
        if (exclusions.size() > MAX_EXCLUDED_MACHINES) {
            offeredStartAtSeconds = Double.NEGATIVE_INFINITY;
            offeredExclusions = ImmutableSet.of();
            return newOffer(term, DelegationOffer.REVOKED_SECONDS);
        }
        // Cancellations that the leader may not have seen when the peer read its clock shorten the
        // delegation.
        double unseenSeconds = Math.max(0, answeredAtSeconds - knownUntilSeconds);
        offeredStartAtSeconds = answeredAtSeconds - unseenSeconds;
        offeredExclusions = ImmutableSet.copyOf(exclusions);
        latestStartAtSeconds = Math.max(latestStartAtSeconds, offeredStartAtSeconds);
        excludedMachines = Sets.intersection(excludedMachines, offeredExclusions).immutableCopy();
        return newOffer(term, peerClockSeconds - unseenSeconds);
    }

    private DelegationOffer newOffer(long term, double startsAtSeconds) {
        return new DelegationOffer(
                term, incarnation, sequenceNumber, startsAtSeconds, offeredExclusions);
    }

    /** An earlier leader put on record that the delegation started then at the latest. */
    void onRecordLoaded(double startsAtSeconds) {
        recordTransitionTo(RecordState.PRESENT);
        if (state == State.NOT_HEARD) {
            latestStartAtSeconds = Math.min(latestStartAtSeconds, startsAtSeconds);
        }
    }

    /** Whether a record is to be cleared, as the controller is heard again. */
    boolean isClearDue(double nowSeconds) {
        return recordState == RecordState.PRESENT && isHeard(nowSeconds);
    }

    /** Whether the start of the delegation is to be put on record, as the controller is silent. */
    boolean isRecordDue(double nowSeconds, double termStartedAtSeconds) {
        return recordState == RecordState.ABSENT && isLost(nowSeconds, termStartedAtSeconds);
    }

    private boolean isHeard(double nowSeconds) {
        return nowSeconds < answeredRequestSentAtSeconds + timing.leaderSilenceSeconds();
    }

    private boolean isLost(double nowSeconds, double termStartedAtSeconds) {
        double silentSinceSeconds = Math.max(answeredRequestSentAtSeconds, termStartedAtSeconds);
        return nowSeconds > silentSinceSeconds + RECORD_AFTER_SECONDS
                && nowSeconds < expiresAtSeconds();
    }

    /** A record is being written. */
    void onRecordWriting() {
        recordTransitionTo(RecordState.WRITING);
    }

    /**
     * A write of the record ended.
     *
     * @param isCleared whether it is certain that nothing is on record any more
     */
    void onRecordWritten(boolean isCleared) {
        recordTransitionTo(isCleared ? RecordState.ABSENT : RecordState.PRESENT);
    }

    /** Latest possible start of the delegation that the controller holds. */
    double latestStartAtSeconds() {
        return latestStartAtSeconds;
    }

    /** Latest moment at which the controller may have renewed a machine's lease. */
    double latestRenewalAtSeconds(String machineName, double nowSeconds) {
        double knownRenewalAtSeconds =
                notRenewedMachines.contains(machineName)
                        ? Double.NEGATIVE_INFINITY
                        : lastRenewalAtSeconds;
        double mayRenewAfterSeconds =
                answeredRequestSentAtSeconds
                        + timing.leaderSilenceSeconds()
                                * (1 - 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO);
        if (nowSeconds < mayRenewAfterSeconds || excludedMachines.contains(machineName)) {
            return knownRenewalAtSeconds;
        }
        return Math.max(knownRenewalAtSeconds, Math.min(nowSeconds, expiresAtSeconds()));
    }
}
