package io.kelphoist.leadership;

import io.kelphoist.config.PlatformSettings;
import io.kelphoist.delegation.DelegationOffer;
import io.kelphoist.delegation.DelegationRecord;
import io.kelphoist.delegation.DelegationTiming;
import io.kelphoist.delegation.HeldDelegation;
import io.kelphoist.delegation.LeaseDelegations;
import io.kelphoist.delegation.PeerStatus;
import io.kelphoist.model.DelegatedRenewals;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.peer.GrantRequest;
import io.kelphoist.peer.GrantResponse;
import io.kelphoist.scheduler.SchedulerState;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects lease delegation to the messages between controllers: as the leader it offers
 * delegations with grant requests ({@link LeaseDelegations}), otherwise it accepts them and renews
 * leases under them ({@link HeldDelegation}). Owns both. Confined to the controller's event loop.
 */
public final class LeaseDelegationHandler {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseDelegationHandler.class);
    private static final double OWN_OFFER_INTERVAL_SECONDS = 0.4;

    /** Incarnations fit into the 53 bits that any JSON reader keeps. */
    private static final long INCARNATION_BOUND = 1L << 52;

    private static final double MILLIS_PER_SECOND = 1000;

    private final DelegationTiming timing;
    private final boolean isEnabled;
    private final LeaseDelegations.Members members;
    private final double startedAtSeconds;
    private final double clockErrorMillis;
    private final HeldDelegation heldDelegation;

    /** Of the term led here. */
    private Optional<LeaseDelegations> delegations = Optional.empty();

    private double nextOwnOfferAtSeconds;
    private HeldDelegation.State loggedState = HeldDelegation.State.NONE;

    /**
     * Creates the handler without a delegation.
     *
     * @param isEnabled whether this controller gives delegations as leader; it accounts for those
     *     of earlier leaders in any case
     * @param startedAtSeconds when this process started, on the event loop's clock
     */
    public LeaseDelegationHandler(
            PlatformSettings settings, boolean isEnabled, double startedAtSeconds) {
        this.timing =
                DelegationTiming.of(
                        settings.workers().cancelSeconds(), settings.workers().leaseSeconds());
        this.isEnabled = isEnabled;
        this.members =
                new LeaseDelegations.Members(
                        settings.node(), settings.zone(), settings.peerZones());
        this.startedAtSeconds = startedAtSeconds;
        this.clockErrorMillis = settings.clockErrorMillis();
        // Random, because after a quick restart an incarnation taken from a clock that was set back
        // could equal that of the previous process.
        heldDelegation =
                new HeldDelegation(
                        timing,
                        members.localZone(),
                        ThreadLocalRandom.current().nextLong(1, INCARNATION_BOUND));
    }

    // ---- as the leader ----

    /** A term is led here; returns the bound of renewals under delegations for it. */
    DelegatedRenewals onElected(long term, double nowSeconds) {
        heldDelegation.onTermObserved(term);
        LeaseDelegations ofTerm =
                new LeaseDelegations(timing, isEnabled, term, members, nowSeconds);
        delegations = Optional.of(ofTerm);
        return ofTerm;
    }

    /** The term led here ended. */
    void onTermEnded() {
        delegations = Optional.empty();
    }

    /**
     * Returns an offer for a grant request, if one may be given.
     *
     * @param schedulerState of the term led here, with its records loaded
     * @param knownUntilSeconds the moment up to which all cancellations are known
     */
    Optional<DelegationOffer> offerTo(
            String peer, SchedulerState schedulerState, double knownUntilSeconds) {
        return delegations
                .filter(LeaseDelegations::canOfferDelegations)
                .flatMap(
                        ready ->
                                ready.offerTo(
                                        peer,
                                        schedulerState.machinesExcludedFromDelegation(
                                                ready.zoneOf(peer)),
                                        knownUntilSeconds));
    }

    /** A controller responded to a grant request that was sent at {@code sentAtSeconds}. */
    void onGrantResponse(
            String peer, GrantResponse response, double sentAtSeconds, double nowSeconds) {
        if (delegations.isEmpty()) {
            return;
        }
        Optional<PeerStatus> status = response.delegationStatus();
        if (status.isEmpty()) {
            delegations.get().onResponseWithoutSupport(peer, sentAtSeconds, nowSeconds);
        } else {
            delegations.get().onResponse(peer, sentAtSeconds, status.get(), nowSeconds);
        }
    }

    /**
     * A record of an earlier leader was loaded.
     *
     * @param startsAtMillis latest start of the peer's delegation by the wall clock; NaN if the
     *     record is cleared
     * @param nowMillis the wall clock
     */
    void onRecordLoaded(String peer, double startsAtMillis, double nowMillis, double nowSeconds) {
        if (delegations.isPresent() && !Double.isNaN(startsAtMillis)) {
            // The wall clocks of two controllers differ by at most twice the error of one.
            double ageMillis = nowMillis - startsAtMillis - 2 * clockErrorMillis;
            delegations.get().onRecordLoaded(peer, nowSeconds - ageMillis / MILLIS_PER_SECOND);
        }
    }

    /**
     * Stores the records that the next leader needs. The outcome of each write goes to the term
     * that requested it.
     */
    public void storeRecords(TermRecordStore store, double nowMillis, double nowSeconds) {
        if (delegations.isEmpty()) {
            return;
        }
        LeaseDelegations requester = delegations.get();
        for (DelegationRecord record : requester.dueRecords(nowSeconds)) {
            double ageSeconds = nowSeconds - record.startsAtSeconds();
            store.storeDelegation(
                    record.peerName(),
                    nowMillis - ageSeconds * MILLIS_PER_SECOND,
                    isStored -> requester.onRecordStored(record, isStored));
        }
    }

    /**
     * Renews the delegation that this leader gives itself, so that it can renew the leases of its
     * own zone when it can no longer act as leader. Called on every tick while it can.
     */
    public void offerToSelf(
            SchedulerState schedulerState, double knownUntilSeconds, double nowSeconds) {
        if (delegations.isPresent()
                && nowSeconds >= nextOwnOfferAtSeconds
                && delegations.get().canOfferDelegations()) {
            nextOwnOfferAtSeconds = nowSeconds + OWN_OFFER_INTERVAL_SECONDS;
            delegations
                    .get()
                    .offerToSelf(
                            schedulerState.machinesExcludedFromDelegation(members.localZone()),
                            knownUntilSeconds,
                            nowSeconds)
                    .ifPresent(offer -> heldDelegation.onOwnOffer(offer, nowSeconds));
        }
    }

    // ---- as another controller ----

    /**
     * A leader requests a grant: accepts the offer in the request and returns this controller's
     * status for the response.
     */
    PeerStatus onGrantRequest(GrantRequest request, double nowSeconds) {
        heldDelegation.onLeaderMessage(request.term(), nowSeconds);
        request.state()
                .delegationOffer()
                .ifPresent(offer -> heldDelegation.onOffer(offer, nowSeconds));
        return heldDelegation.statusFor(request.term(), nowSeconds - startedAtSeconds, nowSeconds);
    }

    /** Whether leases may be renewed here, now or as soon as the leader is silent. */
    public boolean holdsDelegation(double nowSeconds) {
        HeldDelegation.State state = heldDelegation.state(nowSeconds);
        return state == HeldDelegation.State.HELD || state == HeldDelegation.State.ACTIVE;
    }

    /**
     * Renews a worker's lease under the held delegation.
     *
     * @return the fencing token to respond with; empty if the lease must not be renewed here
     */
    public OptionalLong renewLease(Heartbeat heartbeat, double nowSeconds) {
        boolean isCovered =
                heldDelegation.allowsRenewal(
                        heartbeat.machineName(),
                        heartbeat.zone(),
                        heartbeat.fencingToken(),
                        nowSeconds);
        logStateChange(heldDelegation.state(nowSeconds));
        if (!isCovered) {
            return OptionalLong.empty();
        }
        heldDelegation.onRenewal(nowSeconds);
        if (delegations.isPresent()) {
            delegations.get().onLocalRenewal(nowSeconds);
        }
        long fencingToken = heldDelegation.term();
        // No leader has term 0, so a worker must not be given it.
        return fencingToken > 0 ? OptionalLong.of(fencingToken) : OptionalLong.empty();
    }

    private void logStateChange(HeldDelegation.State state) {
        if (state != loggedState) {
            LOG.info(
                    "lease delegation changed: term={} zone={} state={}",
                    heldDelegation.term(),
                    members.localZone(),
                    state);
            loggedState = state;
        }
    }
}
