package io.kelphoist.delegation;

import com.google.common.collect.ImmutableSet;
import io.kelphoist.cancellation.CancellationWatermark;
import io.kelphoist.cancellation.ConfirmedCancellations;
import io.kelphoist.model.SchedulingPolicy;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * The term of one leader: its leader key and grants, its delegation offers to peers, and the
 * cancellations that it has received.
 */
final class DelegationTerm {
    static final double KEY_SECONDS = 3;
    static final double GRANT_SECONDS = 1.5;

    /** Wall clocks differ from true time by at most this. */
    private static final double WALL_CLOCK_ERROR_SECONDS = 0.25;

    /**
     * A worker is excluded from delegation if the leader did not renew its lease for the sum of a
     * heartbeat round and this time.
     */
    private static final double SILENCE_MARGIN_SECONDS = 1.5;

    private static final double HEARTBEAT_ROUND_SECONDS =
            1.25 * DelegationSimulation.HEARTBEAT_INTERVAL_SECONDS;

    /** Time after which the leader assumes that a lease has expired, see {@code LeaseMonitor}. */
    private static final double ASSUMED_LEASE_SECONDS =
            DelegationSimulation.LEASE_SECONDS * (1 + 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO)
                    + 0.25;

    private final long number;
    private final DelegationController leader;
    private final long leaderIncarnation;
    private final List<DelegationController> peers;
    private final DelegationNetwork network;
    private final DelegationStore store;
    private final DelegatedWorker worker;
    private final BooleanSupplier isCurrent;
    private final LeaseDelegations delegations;
    private final CancellationWatermark watermark;
    private final Map<String, Double> grantExpiries = new HashMap<>();

    /**
     * Remaining duration of the leader key. It does not decrease during an outage of the state
     * store.
     */
    private double keySecondsLeft = KEY_SECONDS;

    private double leaseExpiresAtSeconds;
    private double lastRenewalAtSeconds;
    private boolean hasReceivedCancellation;
    private boolean leaseAssumedExpired;

    /** The parts of the simulation that all terms share. */
    record Environment(
            DelegationNetwork network,
            DelegationStore store,
            DelegatedWorker worker,
            DelegationTiming timing) {}

    /**
     * Starts a term.
     *
     * @param isCurrent whether no later term has begun
     */
    DelegationTerm(
            long number,
            DelegationController leader,
            List<DelegationController> peers,
            Environment environment,
            BooleanSupplier isCurrent) {
        this.number = number;
        this.leader = leader;
        this.peers = peers;
        this.network = environment.network();
        this.store = environment.store();
        this.worker = environment.worker();
        this.isCurrent = isCurrent;
        leaderIncarnation = leader.incarnation();
        Map<String, String> zonesByPeer = new LinkedHashMap<>();
        peers.forEach(peer -> zonesByPeer.put(peer.name(), peer.zone()));
        double clock = leader.clock();
        leader.delegation().onTermObserved(number);
        delegations =
                new LeaseDelegations(
                        environment.timing(),
                        true,
                        number,
                        new LeaseDelegations.Members(leader.name(), leader.zone(), zonesByPeer),
                        clock);
        store.forEachDelegation(
                (controllerName, startsAtSeconds) ->
                        delegations.onRecordLoaded(
                                controllerName,
                                leader.clockAt(startsAtSeconds)
                                        + WALL_CLOCK_ERROR_SECONDS
                                        + WALL_CLOCK_ERROR_SECONDS));
        lastRenewalAtSeconds = clock;
        watermark = new CancellationWatermark(zonesByPeer.keySet());
        watermark.onJobsRead(clock);
        leader.confirmed().onTermObserved(number);
        hasReceivedCancellation = store.isCancelled();
        leaseExpiresAtSeconds = network.nowSeconds() + KEY_SECONDS;
    }

    long number() {
        return number;
    }

    DelegationController leader() {
        return leader;
    }

    /** Whether the leader's process still runs. */
    boolean isLeaderRunning() {
        return leader.isUp() && leader.incarnation() == leaderIncarnation;
    }

    /** Whether the leader is authorized to act, by its lease or by grants of all peers. */
    boolean mayAct() {
        double now = network.nowSeconds();
        boolean isGranted =
                peers.stream().allMatch(peer -> now < grantExpiries.getOrDefault(peer.name(), 0.0));
        return isLeaderRunning() && (now < leaseExpiresAtSeconds || isGranted);
    }

    boolean isKeyExpired() {
        return keySecondsLeft <= 0;
    }

    void advanceKey(double seconds) {
        if (!store.isUnavailable()) {
            keySecondsLeft -= seconds;
        }
    }

    /**
     * The leader renews its key if that has not expired and the leader can access the state store,
     * and then reads job records unless reads are stale.
     */
    void renewKey(boolean readsAreStale) {
        if (!isLeaderRunning() || !store.isReachableBy(leader) || isKeyExpired()) {
            return;
        }
        keySecondsLeft = KEY_SECONDS;
        leaseExpiresAtSeconds = network.nowSeconds() + KEY_SECONDS;
        if (!readsAreStale) {
            hasReceivedCancellation |= store.isCancelled();
            watermark.onJobsRead(leader.clock());
        }
    }

    // ---- delegation ----

    void offerToSelf() {
        delegations
                .offerToSelf(excludedMachines(), watermarkSeconds(), leader.clock())
                .ifPresent(offer -> leader.delegation().onOwnOffer(offer, leader.clock()));
    }

    /**
     * Returns the machines to exclude from delegation: the worker is excluded if it runs a task of
     * a cancelled job, or if the leader has not renewed its lease for too long.
     */
    private Set<String> excludedMachines() {
        boolean isCancelled = worker.isTaskRunning() && hasReceivedCancellation;
        boolean isSilent =
                leader.clock()
                        > lastRenewalAtSeconds + HEARTBEAT_ROUND_SECONDS + SILENCE_MARGIN_SECONDS;
        return isCancelled || isSilent ? Set.of(DelegatedWorker.NAME) : Set.of();
    }

    /**
     * Writes the records that are due. A write takes less than three seconds. If a later term
     * begins before its end, the write has no effect and its outcome is not reported.
     */
    void storeRecords() {
        double now = network.nowSeconds();
        for (DelegationRecordWrite write : delegations.dueRecordWrites(leader.clock())) {
            double startsAtSeconds =
                    now
                            - (leader.clock() - write.latestStartAtSeconds()) / leader.clockRate()
                            - WALL_CLOCK_ERROR_SECONDS;
            network.schedule(
                    now * 7 % 3,
                    () -> {
                        if (isCurrent.getAsBoolean()) {
                            store.putDelegation(write.controllerName(), startsAtSeconds);
                            delegations.onRecordWritten(write, true);
                        }
                    });
        }
    }

    // ---- grants ----

    void requestGrants() {
        peers.forEach(this::requestGrant);
    }

    private void requestGrant(DelegationController peer) {
        double sentAtClock = leader.clock();
        double sentAtSeconds = network.nowSeconds();
        long incarnation = watermark.incarnation(peer.name());
        long acknowledged = watermark.acknowledgedSequenceNumber(peer.name());
        Optional<DelegationOffer> offer =
                mayAct()
                        ? delegations.offerTo(
                                peer.name(),
                                ImmutableSet.copyOf(excludedMachines()),
                                watermarkSeconds())
                        : Optional.empty();
        network.send(
                leader,
                peer,
                () -> {
                    peer.delegation().onLeaderMessage(number, peer.clock());
                    offer.ifPresent(sent -> peer.delegation().onOffer(sent, peer.clock()));
                    Response response =
                            new Response(
                                    peer.status(number),
                                    peer.confirmed()
                                            .statementFor(
                                                    number,
                                                    incarnation,
                                                    acknowledged,
                                                    peer.clock()),
                                    isGrantedBy(peer));
                    network.send(
                            peer,
                            leader,
                            () -> onResponse(peer, response, sentAtClock, sentAtSeconds));
                });
    }

    /** A peer's response to a grant request. */
    private record Response(
            PeerStatus status,
            Optional<ConfirmedCancellations.Statement> statement,
            boolean granted) {}

    private boolean isGrantedBy(DelegationController peer) {
        boolean granted =
                isCurrent.getAsBoolean() && (!isKeyExpired() || !store.isReachableBy(peer));
        if (granted) {
            peer.onGranted();
        }
        return granted;
    }

    private void onResponse(
            DelegationController peer,
            Response response,
            double sentAtClock,
            double sentAtSeconds) {
        if (!isCurrent.getAsBoolean()) {
            return;
        }
        String name = peer.name();
        delegations.onResponse(name, sentAtClock, response.status(), leader.clock());
        if (response.statement().isPresent()) {
            ConfirmedCancellations.Statement statement = response.statement().get();
            hasReceivedCancellation |= statement.jobIds().contains(DelegationSimulation.JOB);
            watermark.onStatement(name, statement, sentAtClock, leader.clock());
        }
        if (response.granted()) {
            grantExpiries.merge(name, sentAtSeconds + GRANT_SECONDS, Math::max);
        }
    }

    // ---- cancellations and leases ----

    /** Returns the leader's cancellation watermark on the leader's clock. */
    double watermarkSeconds() {
        return watermark.watermarkSeconds(leader.clock());
    }

    void onCancellationReceived() {
        hasReceivedCancellation = true;
    }

    boolean hasReceivedCancellation() {
        return hasReceivedCancellation;
    }

    void onRenewed() {
        lastRenewalAtSeconds = leader.clock();
    }

    void onResponseReceived() {
        leaseAssumedExpired = false;
    }

    void onLocalDelegatedRenewal() {
        delegations.onLocalRenewal(leader.clock());
    }

    /**
     * Returns true once for each time that the leader assumes the worker's lease to have expired.
     */
    boolean assumesLeaseExpired() {
        if (!mayAct() || leaseAssumedExpired) {
            return false;
        }
        double clock = leader.clock();
        boolean isExpired =
                clock >= lastRenewalAtSeconds + ASSUMED_LEASE_SECONDS
                        && clock
                                >= delegations.latestRenewalAtSeconds(
                                                DelegatedWorker.NAME, DelegatedWorker.ZONE, clock)
                                        + ASSUMED_LEASE_SECONDS;
        leaseAssumedExpired = isExpired;
        return isExpired;
    }
}
