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
 * The leader's side of lease delegation in one term: the delegations that it offered to other
 * controllers and to itself, and the leases that may have been renewed under them.
 *
 * <p>Every bound errs to the safe side: an offer without a response may have been accepted, a
 * delayed offer counts from a clock value that its receiver reported, and a delegation of an
 * earlier leader is only known to expire by a time that follows from the settings.
 *
 * <p>Owns one {@link PeerDelegation} per controller. Performs no I/O: events and the time (the
 * leader's monotonic clock, in seconds) are passed in. Confined to the controller's event loop.
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
     * State of the record that an earlier leader wrote about this controller. The record says
     * nothing about what this controller may do once it is a leader that is cut off, so it must be
     * cleared before this controller gives itself a delegation.
     */
    private RecordState ownRecordState = RecordState.ABSENT;

    /**
     * Starts a term.
     *
     * @param timing durations by the settings; they bound delegations of earlier leaders even where
     *     this leader gives none
     * @param isEnabled whether this leader gives delegations
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
     * A controller responded to a grant request of this term. Unknown controllers are ignored.
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

    /** A controller responded with a version that does not support delegation. */
    public void onResponseWithoutSupport(String peerName, double sentAtSeconds, double nowSeconds) {
        PeerDelegation peer = peers.get(peerName);
        if (peer != null) {
            peer.onUnsupportedResponse(sentAtSeconds, nowSeconds);
        }
    }

    /**
     * Whether delegations may be given: only where every controller, any of which may be the next
     * leader, is known to account for them.
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
     * Returns the offer to send with a grant request, if one may be given now.
     *
     * @param excludedMachines machines whose leases the controller must not renew
     * @param knownUntilSeconds the moment up to which the leader knows all cancellations
     */
    public Optional<DelegationOffer> offerTo(
            String peerName, Collection<String> excludedMachines, double knownUntilSeconds) {
        PeerDelegation peer = peers.get(peerName);
        if (peer == null || !canOfferDelegations() || !peer.canReceiveOffer()) {
            return Optional.empty();
        }
        return Optional.of(peer.nextOffer(term, excludedMachines, knownUntilSeconds));
    }

    /**
     * Returns the offer of this leader to itself, to be used when it can no longer act as leader;
     * empty if it must not have one now.
     */
    public Optional<DelegationOffer> offerToSelf(
            Collection<String> excludedMachines, double knownUntilSeconds, double nowSeconds) {
        if (!canOfferDelegations() || ownRecordState != RecordState.ABSENT) {
            return Optional.empty();
        }
        return Optional.of(
                new DelegationOffer(
                        term,
                        0,
                        ++ownSequenceNumber,
                        Math.min(knownUntilSeconds, nowSeconds),
                        ImmutableSet.copyOf(excludedMachines)));
    }

    /**
     * An earlier leader put on record that a controller's delegation started then at the latest.
     */
    public void onRecordLoaded(String peerName, double startsAtSeconds) {
        PeerDelegation peer = peers.get(peerName);
        if (peerName.equals(localName)) {
            ownRecordTransitionTo(RecordState.PRESENT);
        } else if (peer != null) {
            peer.onRecordLoaded(startsAtSeconds);
        }
    }

    /**
     * Returns the records to write now: for a controller that became silent, the latest start of
     * its delegation, so that the next leader need not count from the start of its own term; for
     * one that is heard again, that nothing is on record. A controller gets no offer until its
     * record is cleared, so that a record never names too early a start. Records are written only
     * when a controller is lost or found.
     */
    public List<DelegationRecord> dueRecords(double nowSeconds) {
        List<DelegationRecord> due = new ArrayList<>();
        if (!isEnabled) {
            return due;
        }
        if (ownRecordState == RecordState.PRESENT) {
            ownRecordTransitionTo(RecordState.WRITING);
            due.add(DelegationRecord.cleared(localName));
        }
        peers.forEach(
                (peerName, peer) -> {
                    if (peer.isClearDue(nowSeconds)) {
                        due.add(DelegationRecord.cleared(peerName));
                        peer.onRecordWriting();
                    } else if (peer.isRecordDue(nowSeconds, startedAtSeconds)) {
                        due.add(new DelegationRecord(peerName, peer.latestStartAtSeconds()));
                        peer.onRecordWriting();
                    }
                });
        return due;
    }

    /**
     * A write of a record of {@link #dueRecords} ended.
     *
     * @param isCertain false if it is unknown whether the record was stored; it then counts as
     *     present
     */
    public void onRecordStored(DelegationRecord record, boolean isCertain) {
        boolean isCleared = isCertain && record.isCleared();
        if (record.peerName().equals(localName)) {
            ownRecordTransitionTo(isCleared ? RecordState.ABSENT : RecordState.PRESENT);
        } else {
            peers.get(record.peerName()).onRecordWritten(isCleared);
        }
    }

    private void ownRecordTransitionTo(RecordState nextState) {
        ownRecordState = nextState;
    }

    /**
     * This controller renewed a lease under its own delegation, while it could not act as leader.
     */
    public void onLocalRenewal(double nowSeconds) {
        ownLastRenewalAtSeconds = nowSeconds;
    }

    /** The zone of a known controller. */
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
