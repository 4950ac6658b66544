package io.kelphoist.leadership;

import io.kelphoist.config.PlatformSettings;
import io.kelphoist.delegation.DelegationOffer;
import io.kelphoist.delegation.DelegationRecordWrite;
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
 * Connects lease delegation to the messages between controllers. As the leader, this controller
 * offers delegations with its grant requests ({@link LeaseDelegations}); otherwise it accepts them
 * and renews worker leases under them ({@link HeldDelegation}). Owns both. Confined to the
 * controller's event loop.
 */
public final class LeaseDelegationHandler {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseDelegationHandler.class);
    private static final double SELF_OFFER_INTERVAL_SECONDS = 0.4;

    /** Incarnations must fit into the 53 bits that any JSON reader preserves. */
    private static final long INCARNATION_BOUND = 1L << 52;

    private static final double MILLIS_PER_SECOND = 1000;

    private final DelegationTiming timing;
    private final boolean isEnabled;
    private final LeaseDelegations.Members members;
    private final double startedAtSeconds;
    private final double clockErrorMillis;
    private final HeldDelegation heldDelegation;

    /** The delegations offered in the term led here; empty while no term is led here. */
    private Optional<LeaseDelegations> delegations = Optional.empty();

    private double nextSelfOfferAtSeconds;
    private HeldDelegation.State lastLoggedState = HeldDelegation.State.NONE;

    /**
     * Creates the handler without a delegation.
     *
     * @param isEnabled whether this controller offers delegations as the leader; it takes those of
     *     earlier leaders into account in any case
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
                        settings.controllerName(), settings.zone(), settings.peerZones());
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

    /**
     * Starts a term that is led here, which ends a held delegation of an earlier term.
     *
     * @return tells the scheduler of the term until when leases may have been renewed under
     *     delegations
     */
    DelegatedRenewals onElected(long term, double nowSeconds) {
        heldDelegation.onTermObserved(term);
        LeaseDelegations termDelegations =
                new LeaseDelegations(timing, isEnabled, term, members, nowSeconds);
        delegations = Optional.of(termDelegations);
        return termDelegations;
    }

    /** The term led here has ended. */
    void onTermEnded() {
        delegations = Optional.empty();
    }

    /**
     * Returns the offer to send with a grant request to a peer; empty if no term is led here or the
     * peer must not receive an offer now.
     *
     * @param schedulerState the scheduler of the term led here, with its records loaded
     * @param cancellationWatermarkSeconds the moment up to which all confirmed cancellations have
     *     been received here
     */
    Optional<DelegationOffer> offerTo(
            String peer, SchedulerState schedulerState, double cancellationWatermarkSeconds) {
        return delegations
                .filter(LeaseDelegations::canOfferDelegations)
                .flatMap(
                        ready ->
                                ready.offerTo(
                                        peer,
                                        schedulerState.machinesExcludedFromDelegation(
                                                ready.zoneOf(peer)),
                                        cancellationWatermarkSeconds));
    }

    /**
     * A peer responded to a grant request of the term led here.
     *
     * @param sentAtSeconds when the request was sent, on the event loop's clock
     */
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
     * A delegation record of an earlier leader was loaded.
     *
     * @param startsAtMillis latest start of the peer's delegation by the wall clock; NaN if the
     *     record is cleared
     * @param nowMillis current time of the wall clock
     */
    void onRecordLoaded(String peer, double startsAtMillis, double nowMillis, double nowSeconds) {
        if (delegations.isPresent() && !Double.isNaN(startsAtMillis)) {
            // The wall clocks of two controllers differ by at most twice the error of one.
            double ageMillis = nowMillis - startsAtMillis - 2 * clockErrorMillis;
            delegations.get().onRecordLoaded(peer, nowSeconds - ageMillis / MILLIS_PER_SECOND);
        }
    }

    /**
     * Stores the delegation records that the next leader needs and that are due. The outcome of
     * each write is reported to the delegations of the term that requested it. Does nothing while
     * no term is led here.
     *
     * @param nowMillis current time of the wall clock, by which the records state the starts of the
     *     delegations
     */
    public void storeRecords(TermRecordStore store, double nowMillis, double nowSeconds) {
        if (delegations.isEmpty()) {
            return;
        }
        LeaseDelegations requestingDelegations = delegations.get();
        for (DelegationRecordWrite write : requestingDelegations.dueRecordWrites(nowSeconds)) {
            double ageSeconds = nowSeconds - write.latestStartAtSeconds();
            store.storeDelegation(
                    write.controllerName(),
                    nowMillis - ageSeconds * MILLIS_PER_SECOND,
                    isStored -> requestingDelegations.onRecordWritten(write, isStored));
        }
    }

    /**
     * Renews the delegation that this leader offers to itself, so that it can still renew the
     * leases of its own zone once neither its leader lease nor the grants of all other controllers
     * are valid. Called on every tick while one of these is valid; has an effect once per interval.
     *
     * @param cancellationWatermarkSeconds the moment up to which all confirmed cancellations have
     *     been received here
     */
    public void offerToSelf(
            SchedulerState schedulerState, double cancellationWatermarkSeconds, double nowSeconds) {
        if (delegations.isPresent()
                && nowSeconds >= nextSelfOfferAtSeconds
                && delegations.get().canOfferDelegations()) {
            nextSelfOfferAtSeconds = nowSeconds + SELF_OFFER_INTERVAL_SECONDS;
            delegations
                    .get()
                    .offerToSelf(
                            schedulerState.machinesExcludedFromDelegation(members.localZone()),
                            cancellationWatermarkSeconds,
                            nowSeconds)
                    .ifPresent(offer -> heldDelegation.onOwnOffer(offer, nowSeconds));
        }
    }

    // ---- as a follower ----

    /**
     * A leader requested a grant: applies the delegation offer in the request, if there is one, and
     * returns this controller's delegation status for the response.
     */
    PeerStatus onGrantRequest(GrantRequest request, double nowSeconds) {
        heldDelegation.onLeaderMessage(request.term(), nowSeconds);
        request.state()
                .delegationOffer()
                .ifPresent(offer -> heldDelegation.onOffer(offer, nowSeconds));
        return heldDelegation.statusFor(request.term(), nowSeconds - startedAtSeconds, nowSeconds);
    }

    /**
     * Whether this controller holds a delegation that has not expired, under which it may renew
     * leases now or as soon as the leader is silent.
     */
    public boolean holdsDelegation(double nowSeconds) {
        HeldDelegation.State state = heldDelegation.state(nowSeconds);
        return state == HeldDelegation.State.HELD || state == HeldDelegation.State.ACTIVE;
    }

    /**
     * Renews a worker's lease under the held delegation, if that allows it now; see {@link
     * HeldDelegation#allowsRenewal}.
     *
     * @return the fencing token to respond with; empty if the lease must not be renewed here
     */
    public OptionalLong renewLease(Heartbeat heartbeat, double nowSeconds) {
        boolean isAllowed =
                heldDelegation.allowsRenewal(
                        heartbeat.machineName(),
                        heartbeat.zone(),
                        heartbeat.fencingToken(),
                        nowSeconds);
        logStateChange(heldDelegation.state(nowSeconds));
        if (!isAllowed) {
            return OptionalLong.empty();
        }
        heldDelegation.onRenewal(nowSeconds);
        if (delegations.isPresent()) {
            delegations.get().onLocalRenewal(nowSeconds);
        }
        long fencingToken = heldDelegation.term();
        // No leader has term 0, so it must not be sent to a worker as a fencing token.
        return fencingToken > 0 ? OptionalLong.of(fencingToken) : OptionalLong.empty();
    }

    private void logStateChange(HeldDelegation.State state) {
        if (state != lastLoggedState) {
            LOG.info(
                    "lease delegation state changed: term={} zone={} state={}",
                    heldDelegation.term(),
                    members.localZone(),
                    state);
            lastLoggedState = state;
        }
    }
}
