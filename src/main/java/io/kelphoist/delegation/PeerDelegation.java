package io.kelphoist.delegation;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import io.kelphoist.model.SchedulingPolicy;
import java.util.Collection;

/**
 * The leader's state about the delegations of one other controller, the peer: the offers sent to
 * it, the machines whose leases it may have renewed and until when, and the state of its record in
 * the state store. Owns this state; {@link LeaseDelegations} has one instance per peer.
 *
 * <p>Every bound is conservative: an offer without a response may have arrived. Times are in
 * seconds of the leader's monotonic clock unless stated otherwise.
 */
final class PeerDelegation {
    /**
     * Whether the peer has responded in this term, and with which version. {@link #transitionTo} is
     * the only method that changes the state.
     */
    enum State {
        /** The peer has not responded in this term: it may hold a delegation of an earlier term. */
        NO_RESPONSE,
        /** The peer runs a version without delegation. */
        UNSUPPORTED,
        /**
         * The peer has responded in this term: it holds no delegation other than one offered in
         * this term.
         */
        SUPPORTED
    }

    /**
     * State of the delegation's record in the state store. {@link #recordTransitionTo} is the only
     * method that changes the state.
     */
    enum RecordState {
        /** No start of the delegation is stored. */
        ABSENT,
        /** A write of the record is in flight. */
        WRITING,
        /**
         * The latest start of the delegation is stored, or may be, as the outcome of a write is
         * unknown: no newer delegation may be offered.
         */
        PRESENT
    }

    /** If more machines than this would have to be excluded, the delegation is revoked instead. */
    static final int MAX_EXCLUDED_MACHINES = 200;

    /**
     * A peer that has not responded for this long may remain unresponsive, so the start of its
     * delegation is stored for the next leader.
     */
    private static final double RECORD_AFTER_SILENCE_SECONDS = 3;

    private final DelegationTiming timing;
    private final String zone;
    private State state = State.NO_RESPONSE;
    private RecordState recordState = RecordState.ABSENT;

    /** When the newest request to which the peer responded was sent. */
    private double lastRespondedRequestSentAtSeconds = Double.NEGATIVE_INFINITY;

    /** When the response to that request arrived. */
    private double lastResponseAtSeconds = Double.NEGATIVE_INFINITY;

    /** The peer's own monotonic clock as reported in that response. */
    private double peerClockSeconds;

    private long incarnation;

    /** Sequence number of the newest offer that was sent. */
    private long sequenceNumber;

    /** Start of the delegation in that offer. */
    private double offeredStartAtSeconds = Double.NEGATIVE_INFINITY;

    /** Machines excluded in that offer. */
    private ImmutableSet<String> offeredExclusions = ImmutableSet.of();

    /** Latest possible start of the delegation that the peer holds. */
    private double latestStartAtSeconds;

    /** Machines that are excluded from every delegation that the peer may hold. */
    private ImmutableSet<String> excludedMachines = ImmutableSet.of();

    /** Latest time at which the peer may have renewed a lease before its newest response. */
    private double lastRenewalAtSeconds = Double.NEGATIVE_INFINITY;

    /**
     * By machine that was excluded when {@link #lastRenewalAtSeconds} last advanced, the latest
     * time at which the peer may have renewed its lease; negative infinity: it cannot have. At most
     * {@link #MAX_EXCLUDED_MACHINES} entries. For all other machines it is {@link
     * #lastRenewalAtSeconds}.
     */
    private ImmutableMap<String, Double> earlierRenewalAtSeconds = ImmutableMap.of();

    /**
     * Starts a term in which the peer has not responded yet.
     *
     * @param zone the zone in which the peer may renew worker leases
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

    /** The zone in which the peer may renew worker leases. */
    String zone() {
        return zone;
    }

    /** Whether the peer has responded in this term with a version that supports delegation. */
    boolean isSupported() {
        return state == State.SUPPORTED;
    }

    /**
     * The peer responded to a grant request of this term. A response to an older request than the
     * newest one responded to is ignored. If the peer has accepted the newest offer, only the start
     * and the exclusions of that offer apply from now on.
     */
    void onResponse(double sentAtSeconds, PeerStatus status, double nowSeconds) {
        if (sentAtSeconds < lastRespondedRequestSentAtSeconds) {
            return;
        }
        double latestRenewalAtSeconds =
                Math.max(
                        nowSeconds - status.uptimeSeconds(),
                        nowSeconds - status.sinceRenewalSeconds());
        recordResponse(sentAtSeconds, latestRenewalAtSeconds, State.SUPPORTED, nowSeconds);
        peerClockSeconds = status.clockSeconds();
        incarnation = status.incarnation();
        if (status.sequenceNumber() == sequenceNumber && status.sequenceNumber() > 0) {
            latestStartAtSeconds = offeredStartAtSeconds;
            excludedMachines = offeredExclusions;
        }
    }

    /**
     * The peer, whose version does not support delegation, responded. A response to an older
     * request than the newest one responded to is ignored.
     */
    void onUnsupportedResponse(double sentAtSeconds, double nowSeconds) {
        if (sentAtSeconds >= lastRespondedRequestSentAtSeconds) {
            // An earlier process of the peer may have run a version with delegation.
            recordResponse(sentAtSeconds, nowSeconds, State.UNSUPPORTED, nowSeconds);
            latestStartAtSeconds = Double.NEGATIVE_INFINITY;
        }
    }

    /**
     * Takes the bound on earlier renewals from a response: the peer renewed no lease after {@code
     * latestRenewalAtSeconds}, nor after its delegation expired. An earlier process of the peer
     * renewed none after the current process started, so the uptime in the response bounds its
     * renewals.
     */
    private void recordResponse(
            double sentAtSeconds,
            double latestRenewalAtSeconds,
            State nextState,
            double nowSeconds) {
        double boundedRenewalAtSeconds = Math.min(latestRenewalAtSeconds, expiresAtSeconds());
        if (state == State.NO_RESPONSE) {
            // The first request of this term ended a delegation of an earlier term at the peer.
            latestStartAtSeconds = Double.NEGATIVE_INFINITY;
        }
        if (boundedRenewalAtSeconds > lastRenewalAtSeconds) {
            earlierRenewalAtSeconds =
                    ImmutableMap.copyOf(
                            Maps.asMap(excludedMachines, this::renewalBeforeResponseAtSeconds));
            lastRenewalAtSeconds = boundedRenewalAtSeconds;
        }
        transitionTo(nextState);
        lastRespondedRequestSentAtSeconds = sentAtSeconds;
        lastResponseAtSeconds = nowSeconds;
    }

    /** Returns when the delegation that the peer holds expires at the latest. */
    private double expiresAtSeconds() {
        return latestStartAtSeconds
                + timing.delegationSeconds() * (1 + 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO);
    }

    /** Whether an offer may be sent: no start of an older delegation is stored. */
    boolean canReceiveOffer() {
        return recordState == RecordState.ABSENT;
    }

    /**
     * Creates the next offer. From now on the bounds allow for the peer having accepted it.
     *
     * @param exclusions machines to exclude; if there are more than {@link #MAX_EXCLUDED_MACHINES},
     *     the offer revokes the delegation
     * @param watermarkSeconds the leader's cancellation watermark
     */
    DelegationOffer nextOffer(long term, Collection<String> exclusions, double watermarkSeconds) {
        sequenceNumber++;
        if (exclusions.size() > MAX_EXCLUDED_MACHINES) {
            offeredStartAtSeconds = Double.NEGATIVE_INFINITY;
            offeredExclusions = ImmutableSet.of();
            return newOffer(term, DelegationOffer.REVOKED_START_SECONDS);
        }
        // The delegation is shortened by the time from the watermark to the response with the
        // peer's clock, because the leader may not have received the cancellations acknowledged in
        // that time.
        double watermarkLagSeconds = Math.max(0, lastResponseAtSeconds - watermarkSeconds);
        offeredStartAtSeconds = lastResponseAtSeconds - watermarkLagSeconds;
        offeredExclusions = ImmutableSet.copyOf(exclusions);
        latestStartAtSeconds = Math.max(latestStartAtSeconds, offeredStartAtSeconds);
        excludedMachines = Sets.intersection(excludedMachines, offeredExclusions).immutableCopy();
        return newOffer(term, peerClockSeconds - watermarkLagSeconds);
    }

    private DelegationOffer newOffer(long term, double startsAtSeconds) {
        return new DelegationOffer(
                term, incarnation, sequenceNumber, startsAtSeconds, offeredExclusions);
    }

    /**
     * A record that an earlier leader stored was loaded: the delegation started at this time at the
     * latest.
     */
    void onRecordLoaded(double startsAtSeconds) {
        recordTransitionTo(RecordState.PRESENT);
        if (state == State.NO_RESPONSE) {
            latestStartAtSeconds = Math.min(latestStartAtSeconds, startsAtSeconds);
        }
    }

    /** Whether the stored record must be cleared, because the peer responds again. */
    boolean isClearDue(double nowSeconds) {
        return recordState == RecordState.PRESENT && isResponding(nowSeconds);
    }

    /** Whether the start of the delegation must be stored, because the peer does not respond. */
    boolean isRecordDue(double nowSeconds, double termStartedAtSeconds) {
        return recordState == RecordState.ABSENT
                && isUnresponsive(nowSeconds, termStartedAtSeconds);
    }

    private boolean isResponding(double nowSeconds) {
        return nowSeconds < lastRespondedRequestSentAtSeconds + timing.leaderSilenceSeconds();
    }

    /**
     * Whether the peer has not responded for {@link #RECORD_AFTER_SILENCE_SECONDS}, while its
     * delegation may still be valid.
     */
    private boolean isUnresponsive(double nowSeconds, double termStartedAtSeconds) {
        double unresponsiveSinceSeconds =
                Math.max(lastRespondedRequestSentAtSeconds, termStartedAtSeconds);
        return nowSeconds > unresponsiveSinceSeconds + RECORD_AFTER_SILENCE_SECONDS
                && nowSeconds < expiresAtSeconds();
    }

    /** A write of the record was started. */
    void onRecordWriting() {
        recordTransitionTo(RecordState.WRITING);
    }

    /**
     * A write of the record ended.
     *
     * @param isCleared true if the record was cleared; false if a start was stored, the write was
     *     not applied, or its outcome is unknown
     */
    void onRecordWritten(boolean isCleared) {
        recordTransitionTo(isCleared ? RecordState.ABSENT : RecordState.PRESENT);
    }

    /** Returns the latest possible start of the delegation that the peer holds. */
    double latestStartAtSeconds() {
        return latestStartAtSeconds;
    }

    /**
     * Returns the latest time until {@code nowSeconds} at which the peer may have renewed a
     * machine's lease; negative infinity if it cannot have renewed it.
     */
    double latestRenewalAtSeconds(String machineName, double nowSeconds) {
        double renewalBeforeResponseAtSeconds = renewalBeforeResponseAtSeconds(machineName);
        double mayRenewAfterSeconds =
                lastRespondedRequestSentAtSeconds
                        + timing.leaderSilenceSeconds()
                                * (1 - 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO);
        if (nowSeconds < mayRenewAfterSeconds || excludedMachines.contains(machineName)) {
            return renewalBeforeResponseAtSeconds;
        }
        return Math.max(renewalBeforeResponseAtSeconds, Math.min(nowSeconds, expiresAtSeconds()));
    }

    /** Returns the latest time, before the newest response, at which a lease may be renewed. */
    private double renewalBeforeResponseAtSeconds(String machineName) {
        return earlierRenewalAtSeconds.getOrDefault(machineName, lastRenewalAtSeconds);
    }
}
