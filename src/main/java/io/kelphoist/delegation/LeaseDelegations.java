package io.kelphoist.delegation;

import com.google.common.collect.ImmutableSet;
import io.kelphoist.delegation.PeerDelegation.RecordState;
import io.kelphoist.model.DelegatedRenewals;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The delegations that the leader of one term offered to other controllers and to itself, and the
 * worker leases that may have been renewed under them.
 *
 * <p>Every bound is conservative: an offer without a response may have been accepted; the duration
 * of a delayed offer is measured from a clock value that its receiver reported; and a delegation of
 * an earlier leader is assumed to last until the latest expiry that the settings allow, unless a
 * stored record or a response of its holder proves an earlier one.
 *
 * <p>Owns one {@link PeerDelegation} per other controller. Performs no I/O: events and the time
 * (the leader's monotonic clock, in seconds) are passed in. Confined to the controller's event
 * loop.
 */
public final class LeaseDelegations implements DelegatedRenewals {
    /**
     * The controllers of the deployment.
     *
     * @param localName name of this controller
     * @param localZone zone of this controller
     * @param peerZones names of the other controllers and their zones
     */
    public record Members(String localName, String localZone, Map<String, String> peerZones) {}

    private final boolean isEnabled;
    private final long term;
    private final String localName;
    private final String localZone;
    private final double startedAtSeconds;
    private final Map<String, PeerDelegation> peers = new LinkedHashMap<>();
    private double ownLastRenewalAtSeconds = Double.NEGATIVE_INFINITY;
    private long ownSequenceNumber;

    /**
     * State of the record that an earlier leader wrote about this controller. The record does not
     * cover the delegation that this controller uses as a leader that lost its authorization, so it
     * must be cleared before this controller offers a delegation to itself.
     */
    private RecordState ownRecordState = RecordState.ABSENT;

    /**
     * Starts a term.
     *
     * @param timing durations derived from the settings; they bound the delegations of earlier
     *     leaders even if this leader offers none
     * @param isEnabled whether this leader offers delegations
     * @param term number of the term
     * @param members the controllers of the deployment
     * @param nowSeconds when the term started
     */
    public LeaseDelegations(
            DelegationTiming timing,
            boolean isEnabled,
            long term,
            Members members,
            double nowSeconds) {
        this.isEnabled = isEnabled && timing.isEnabled();
        this.term = term;
        this.localName = members.localName;
        this.localZone = members.localZone;
        this.startedAtSeconds = nowSeconds;
        double latestStartAtSeconds = timing.isEnabled() ? nowSeconds : Double.NEGATIVE_INFINITY;
        members.peerZones.forEach(
                (peerName, peerZone) ->
                        peers.put(
                                peerName,
                                new PeerDelegation(timing, peerZone, latestStartAtSeconds)));
    }

    /**
     * A controller responded to a grant request of this term. A response of a controller that is
     * not in the configuration is ignored.
     *
     * @param sentAtSeconds when the request was sent
     */
    public void onResponse(
            String peerName, double sentAtSeconds, PeerStatus status, double nowSeconds) {
        PeerDelegation peer = peers.get(peerName);
        if (peer != null) {
            peer.onResponse(sentAtSeconds, status, nowSeconds);
        }
    }

    /** A controller responded whose version does not support delegation. */
    public void onResponseWithoutSupport(String peerName, double sentAtSeconds, double nowSeconds) {
        PeerDelegation peer = peers.get(peerName);
        if (peer != null) {
            peer.onUnsupportedResponse(sentAtSeconds, nowSeconds);
        }
    }

    /**
     * Whether delegations may be offered. Any controller may be the next leader and must then
     * account for delegated renewals, so every other controller must have responded in this term,
     * with a version that supports delegation.
     */
    public boolean canOfferDelegations() {
        if (!isEnabled) {
            return false;
        }
        for (PeerDelegation peer : peers.values()) {
            if (!peer.isSupported()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the offer to send with a grant request; empty if the controller must not receive one
     * now.
     *
     * @param excludedMachines machines whose leases the controller must not renew
     * @param watermarkSeconds the leader's cancellation watermark
     */
    public Optional<DelegationOffer> offerTo(
            String peerName, Collection<String> excludedMachines, double watermarkSeconds) {
        PeerDelegation peer = peers.get(peerName);
        if (peer == null || !canOfferDelegations() || !peer.canReceiveOffer()) {
            return Optional.empty();
        }
        return Optional.of(peer.nextOffer(term, excludedMachines, watermarkSeconds));
    }

    /**
     * Returns the offer of this leader to itself, which it uses once it is no longer authorized to
     * act as the leader; empty if there must be none now.
     *
     * @param excludedMachines machines whose leases must not be renewed under it
     * @param watermarkSeconds the leader's cancellation watermark
     */
    public Optional<DelegationOffer> offerToSelf(
            Collection<String> excludedMachines, double watermarkSeconds, double nowSeconds) {
        if (!canOfferDelegations() || ownRecordState != RecordState.ABSENT) {
            return Optional.empty();
        }
        return Optional.of(
                new DelegationOffer(
                        term,
                        0,
                        ++ownSequenceNumber,
                        Math.min(watermarkSeconds, nowSeconds),
                        ImmutableSet.copyOf(excludedMachines)));
    }

    /**
     * A record that an earlier leader stored was loaded: the controller's delegation started at
     * {@code startsAtSeconds} at the latest. The start in this controller's own record is not used,
     * and the record of a controller that is not in the configuration is ignored.
     *
     * @param startsAtSeconds on the leader's monotonic clock
     */
    public void onRecordLoaded(String controllerName, double startsAtSeconds) {
        PeerDelegation peer = peers.get(controllerName);
        if (controllerName.equals(localName)) {
            ownRecordTransitionTo(RecordState.PRESENT);
        } else if (peer != null) {
            peer.onRecordLoaded(startsAtSeconds);
        }
    }

    /**
     * Returns the writes to start now; each is returned once, and {@link #onRecordWritten} must be
     * called when it has ended. There are none if this leader does not offer delegations. For a
     * controller that stopped responding, the latest start of its delegation is stored, so that the
     * next leader need not assume that the delegation started with the next leader's own term. For
     * a controller that responds again, and for this controller, the record is cleared. A
     * controller gets no offer until its record is cleared, so that a record never contains a start
     * that is too early. Records are written only when a controller stops or resumes responding, or
     * when this controller has been elected.
     */
    public List<DelegationRecordWrite> dueRecordWrites(double nowSeconds) {
        List<DelegationRecordWrite> due = new ArrayList<>();
        if (!isEnabled) {
            return due;
        }
        if (ownRecordState == RecordState.PRESENT) {
            ownRecordTransitionTo(RecordState.WRITING);
            due.add(DelegationRecordWrite.clearing(localName));
        }
        peers.forEach(
                (peerName, peer) -> {
                    if (peer.isClearDue(nowSeconds)) {
                        due.add(DelegationRecordWrite.clearing(peerName));
                        peer.onRecordWriting();
                    } else if (peer.isRecordDue(nowSeconds, startedAtSeconds)) {
                        due.add(new DelegationRecordWrite(peerName, peer.latestStartAtSeconds()));
                        peer.onRecordWriting();
                    }
                });
        return due;
    }

    /**
     * A write of {@link #dueRecordWrites} ended.
     *
     * @param isApplied false if the state store did not apply the write, or if it is unknown
     *     whether it did; a record with a start is then assumed to be present
     */
    public void onRecordWritten(DelegationRecordWrite write, boolean isApplied) {
        boolean isCleared = isApplied && write.clearsRecord();
        if (write.controllerName().equals(localName)) {
            ownRecordTransitionTo(isCleared ? RecordState.ABSENT : RecordState.PRESENT);
        } else {
            peers.get(write.controllerName()).onRecordWritten(isCleared);
        }
    }

    private void ownRecordTransitionTo(RecordState nextState) {
        ownRecordState = nextState;
    }

    /**
     * This controller renewed a lease under its own delegation while it was not authorized to act
     * as the leader.
     */
    public void onLocalRenewal(double nowSeconds) {
        ownLastRenewalAtSeconds = nowSeconds;
    }

    /** Returns the zone of another controller, which must be in the configuration. */
    public String zoneOf(String peerName) {
        return peers.get(peerName).zone();
    }

    @Override
    public double latestRenewalAtSeconds(
            String machineName, String machineZone, double nowSeconds) {
        double latestRenewalAtSeconds =
                machineZone.equals(localZone) ? ownLastRenewalAtSeconds : Double.NEGATIVE_INFINITY;
        for (PeerDelegation peer : peers.values()) {
            if (peer.zone().equals(machineZone)) {
                latestRenewalAtSeconds =
                        Math.max(
                                latestRenewalAtSeconds,
                                peer.latestRenewalAtSeconds(machineName, nowSeconds));
            }
        }
        return Math.min(latestRenewalAtSeconds, nowSeconds);
    }
}
