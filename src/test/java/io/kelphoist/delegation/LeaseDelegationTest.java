package io.kelphoist.delegation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import org.junit.jupiter.api.Test;

/**
 * Runs simulated lease delegation with random combinations of faults. No worker lease may last
 * longer than the leader assumes, and no task of a cancelled job may run longer than the
 * cancellation timeout.
 */
class LeaseDelegationTest {
    private static int withheldRenewals;
    private static int acknowledgementsUnknownToLeader;
    private static int delegatedRenewals;
    private static int assumedLeaseExpirations;

    /**
     * Applies one random event and advances the time: {@code step % 10} selects the kind of event,
     * quotients of {@code step} its arguments.
     */
    private static void applyStep(DelegationSimulation simulation, int step) {
        int controller = step / 20 % 3;
        boolean enabled = step / 60 % 2 == 0;
        int variant = step / 120;
        switch (step % 10) {
            case 0, 1 -> simulation.setLinkBlocked(controller, (controller + 1) % 3, enabled);
            case 2, 3 -> simulation.setWorkerBlocked(controller, enabled);
            case 4 -> simulation.crash(controller, variant % 2 == 0 ? 0.1 : 5);
            case 5 -> simulation.failOver(controller);
            case 6 -> applyUserRequest(simulation, controller, variant);
            case 7 -> setWorkersZoneCutOff(simulation, enabled);
            case 8 -> applyStoreFault(simulation, controller, variant, enabled);
            default -> applyOneWayFault(simulation, controller, variant, enabled);
        }
        simulation.advance(0.25 + variant);
    }

    private static void applyUserRequest(
            DelegationSimulation simulation, int controller, int variant) {
        if (variant % 3 == 0) {
            simulation.query(controller);
        } else {
            simulation.cancel(controller, variant % 3 == 1);
        }
    }

    /**
     * Separates the worker's zone from the rest: only controller 1, which is in that zone, can
     * exchange messages with the worker.
     */
    private static void setWorkersZoneCutOff(DelegationSimulation simulation, boolean cutOff) {
        for (int outside : new int[] {0, 2}) {
            simulation.setLinkBlocked(1, outside, cutOff);
            simulation.setWorkerBlocked(outside, cutOff);
        }
        simulation.setRefusedByStore(1, cutOff);
    }

    private static void applyStoreFault(
            DelegationSimulation simulation, int controller, int variant, boolean enabled) {
        switch (variant % 5) {
            case 0 -> simulation.makeReadsStale();
            case 1 -> simulation.setRefusedByStore(controller, enabled);
            case 2 -> simulation.setLeaderRefusedByStore(enabled);
            default -> simulation.setStoreUnavailable(enabled);
        }
    }

    private static void applyOneWayFault(
            DelegationSimulation simulation, int controller, int variant, boolean enabled) {
        if (variant % 2 == 0) {
            simulation.setOneWayBlocked(
                    controller, (controller + 1 + variant / 2 % 2) % 3, enabled);
        } else if (variant / 2 % 8 == 0) {
            simulation.overflowConfirmedCancellations(controller);
        } else {
            simulation.setWorkerResponsesBlocked(controller, enabled);
        }
    }

    @Property(tries = 10000, seed = "20261201")
    void leasesExpireInTime(
            @ForAll @Size(min = 5, max = 80) List<@IntRange(min = 0, max = 1199) Integer> steps,
            @ForAll boolean leaderInWorkersZone,
            @ForAll boolean clocksDrift) {
        DelegationSimulation simulation =
                new DelegationSimulation(leaderInWorkersZone, clocksDrift);
        simulation.advance(6);
        steps.forEach(step -> applyStep(simulation, step));
        simulation.advance(60);
        withheldRenewals += simulation.withheldRenewals();
        acknowledgementsUnknownToLeader += simulation.acknowledgementsUnknownToLeader();
        delegatedRenewals += simulation.delegatedRenewals();
        assumedLeaseExpirations += simulation.assumedLeaseExpirations();
    }

    /**
     * Checks that the simulated faults had an effect. Without this check the property would also
     * hold if the leader received every cancellation immediately, or if no renewal were ever
     * withheld.
     */
    @AfterContainer
    static void faultsAndTheirEffectsOccurred() {
        assertTrue(
                withheldRenewals > 100, withheldRenewals + " renewals withheld, expected over 100");
        assertTrue(
                acknowledgementsUnknownToLeader > 200,
                acknowledgementsUnknownToLeader
                        + " acknowledgements unknown to the leader, expected over 200");
        assertTrue(
                delegatedRenewals > 500,
                delegatedRenewals + " delegated renewals, expected over 500");
        assertTrue(
                assumedLeaseExpirations > 500,
                assumedLeaseExpirations + " leases assumed to have expired, expected over 500");
    }

    /**
     * Checks a single partition in detail, because the property above would also hold if no lease
     * were ever renewed under a delegation, or if the leader never assumed that a lease has
     * expired.
     */
    @Test
    void leasesInAPartitionedZoneAreRenewedByDelegationAndThenExpire() {
        DelegationSimulation simulation =
                new DelegationSimulation(
                        /* leaderInWorkersZone= */ false, /* clocksDrift= */ false);
        simulation.advance(10);
        for (int outside : new int[] {0, 2}) {
            simulation.setLinkBlocked(1, outside, true);
            simulation.setWorkerBlocked(outside, true);
        }
        simulation.advance(25);
        assertTrue(
                simulation.delegatedRenewals() >= 4,
                simulation.delegatedRenewals() + " delegated renewals, expected at least 4");
        assertEquals(0, simulation.assumedLeaseExpirations());
        simulation.advance(25);
        assertEquals(1, simulation.assumedLeaseExpirations());
    }

    /**
     * Guards against delegations under which a task of a cancelled job would run too long, because
     * the cancellation timeout is barely longer than a lease.
     */
    @Test
    void isDisabledWhereCancellationTimeoutIsTooShort() {
        assertFalse(
                DelegationTiming.of(/* cancelSeconds= */ 22, /* leaseSeconds= */ 22).isEnabled());
        assertFalse(DelegationTiming.of(24, 22).isEnabled());
        assertTrue(DelegationTiming.of(47, 22).delegationSeconds() + 22 < 47);
    }

    /**
     * Guards against delegation during an upgrade: a controller whose version has no delegation may
     * lead next, and would not account for delegated renewals.
     */
    @Test
    void offersNothingBesideAVersionWithoutDelegation() {
        DelegationTiming timing = DelegationTiming.of(47, 22);
        LeaseDelegations delegations =
                new LeaseDelegations(
                        timing,
                        /* isEnabled= */ true,
                        /* term= */ 3,
                        members(Map.of("p", "b", "q", "a")),
                        /* nowSeconds= */ 100);
        PeerStatus status =
                new PeerStatus(
                        /* incarnation= */ 1,
                        /* clockSeconds= */ 5,
                        /* uptimeSeconds= */ 50,
                        /* sinceRenewalSeconds= */ Double.POSITIVE_INFINITY,
                        /* sequenceNumber= */ 0);
        delegations.onResponse("p", /* sentAtSeconds= */ 100, status, /* nowSeconds= */ 100.1);
        assertEquals(Optional.empty(), delegations.offerTo("p", Set.of(), 100));
        delegations.onResponseWithoutSupport(
                "q", /* sentAtSeconds= */ 100, /* nowSeconds= */ 100.1);
        assertEquals(Optional.empty(), delegations.offerTo("p", Set.of(), 100));
        delegations.onResponse("q", 101, status, 101.1);
        assertEquals(1, delegations.offerTo("p", Set.of(), 101).orElseThrow().sequenceNumber());
    }

    /**
     * Guards against a new leader that assumes leases to have expired too early: before its first
     * response in a term a peer may still renew leases under a delegation of an earlier leader.
     * Without a stored record, the end of that delegation is bounded only by the settings.
     */
    @Test
    void accountsForDelegationsOfThePredecessor() {
        DelegationTiming timing = DelegationTiming.of(47, 22);
        LeaseDelegations delegations =
                new LeaseDelegations(
                        timing,
                        /* isEnabled= */ false,
                        /* term= */ 3,
                        members(Map.of("p", "b")),
                        /* nowSeconds= */ 100);
        assertEquals(110, delegations.latestRenewalAtSeconds("vm-1", "b", 110));
        assertEquals(
                100 + timing.delegationSeconds(),
                delegations.latestRenewalAtSeconds("vm-1", "b", 140),
                0.1);
        assertEquals(
                Double.NEGATIVE_INFINITY, delegations.latestRenewalAtSeconds("vm-1", "a", 140));
        delegations.onResponse(
                "p",
                140,
                new PeerStatus(
                        /* incarnation= */ 1,
                        /* clockSeconds= */ 5,
                        /* uptimeSeconds= */ 50,
                        /* sinceRenewalSeconds= */ 12,
                        /* sequenceNumber= */ 0),
                140.1);
        assertEquals(
                Math.min(100 + timing.delegationSeconds(), 128.1),
                delegations.latestRenewalAtSeconds("vm-1", "b", 141),
                0.1);
    }

    /**
     * A peer renews leases only while it receives no message of the leader, and only under a
     * delegation that was offered to its current process.
     */
    @Test
    void allowsRenewalOnlyWhileTheLeaderIsSilent() {
        HeldDelegation delegation =
                new HeldDelegation(DelegationTiming.of(47, 22), "b", /* incarnation= */ 7);
        delegation.onLeaderMessage(/* leaderTerm= */ 3, /* nowSeconds= */ 100);
        delegation.onOffer(
                new DelegationOffer(
                        /* term= */ 3,
                        /* incarnation= */ 6,
                        /* sequenceNumber= */ 1,
                        /* startsAtSeconds= */ 99.5,
                        ImmutableSet.of()),
                100);
        assertEquals(HeldDelegation.State.NONE, delegation.state(105));
        delegation.onOffer(new DelegationOffer(3, 7, 1, 99.5, ImmutableSet.of()), 100);
        assertEquals(HeldDelegation.State.HELD, delegation.state(100.5));
        assertFalse(delegation.allowsRenewal("vm-1", "b", /* fencingToken= */ 3, 101));
        assertTrue(delegation.allowsRenewal("vm-1", "b", 3, 102));
        assertFalse(delegation.allowsRenewal("vm-1", "a", 3, 102));
        assertFalse(delegation.allowsRenewal("vm-1", "b", 2, 102));
        assertFalse(
                delegation.allowsRenewal(
                        "vm-1", "b", 3, 99.5 + DelegationTiming.of(47, 22).delegationSeconds()));
        assertEquals(HeldDelegation.State.EXPIRED, delegation.state(140));
        // A worker with the fencing token of a newer term ends the delegation for all workers.
        delegation.onOffer(new DelegationOffer(3, 7, 2, 139.5, ImmutableSet.of()), 140);
        assertTrue(delegation.allowsRenewal("vm-1", "b", 3, 142));
        assertFalse(delegation.allowsRenewal("vm-2", "b", 4, 142));
        assertFalse(delegation.allowsRenewal("vm-1", "b", 3, 142));
    }

    /**
     * Guards against a second failover in the same partition that assumes the delegation to have
     * started with its own term, which would delay the expiry of the leases: the next leader must
     * use the stored start.
     */
    @Test
    void theNextLeaderLoadsTheStartOfASilentPeersDelegation() {
        DelegationTiming timing = DelegationTiming.of(47, 22);
        LeaseDelegations first =
                new LeaseDelegations(
                        timing,
                        /* isEnabled= */ true,
                        /* term= */ 3,
                        members(Map.of("p", "b")),
                        /* nowSeconds= */ 100);
        first.onResponse("p", 110, new PeerStatus(1, 5, 50, Double.POSITIVE_INFINITY, 0), 110.1);
        assertEquals(1, first.offerTo("p", Set.of(), 111).orElseThrow().sequenceNumber());
        assertEquals(List.of(), first.dueRecordWrites(111));
        DelegationRecordWrite storing = first.dueRecordWrites(114).get(0);
        assertEquals(110.1, storing.latestStartAtSeconds(), 1e-9);
        LeaseDelegations next =
                new LeaseDelegations(
                        timing,
                        /* isEnabled= */ true,
                        /* term= */ 4,
                        members(Map.of("p", "b")),
                        /* nowSeconds= */ 120);
        next.onRecordLoaded("p", storing.latestStartAtSeconds());
        assertEquals(
                110.1 + timing.delegationSeconds(),
                next.latestRenewalAtSeconds("vm-1", "b", 140),
                0.1);
        // After the peer responds again it gets no offer until the record has been cleared.
        next.onResponse("p", 141, new PeerStatus(1, 36, 81, 5, 0), 141.1);
        assertEquals(Optional.empty(), next.offerTo("p", Set.of(), 141));
        DelegationRecordWrite clearing = next.dueRecordWrites(141.3).get(0);
        assertEquals(Optional.empty(), next.offerTo("p", Set.of(), 141));
        next.onRecordWritten(clearing, false);
        assertEquals(Optional.empty(), next.offerTo("p", Set.of(), 141));
        next.onRecordWritten(next.dueRecordWrites(141.6).get(0), true);
        assertEquals(1, next.offerTo("p", Set.of(), 142).orElseThrow().sequenceNumber());
    }

    /**
     * A machine that was silent before the partition is excluded from delegation: the expiry of its
     * lease depends only on the leader's own renewals. The exclusion applies once the peer has
     * acknowledged the offer.
     */
    @Test
    void leasesOfSilentMachinesAreNotDelegated() {
        DelegationTiming timing = DelegationTiming.of(47, 22);
        LeaseDelegations delegations =
                new LeaseDelegations(
                        timing,
                        /* isEnabled= */ true,
                        /* term= */ 3,
                        members(Map.of("p", "b")),
                        /* nowSeconds= */ 100);
        delegations.onResponse(
                "p",
                100,
                new PeerStatus(
                        /* incarnation= */ 1,
                        /* clockSeconds= */ 5,
                        /* uptimeSeconds= */ 50,
                        /* sinceRenewalSeconds= */ Double.POSITIVE_INFINITY,
                        /* sequenceNumber= */ 0),
                100.1);
        DelegationOffer offer = delegations.offerTo("p", Set.of("vm-1"), 101).orElseThrow();
        assertEquals(ImmutableSet.of("vm-1"), offer.excludedMachines());
        // The peer has not acknowledged the offer, so its exclusions may not apply yet.
        assertEquals(110, delegations.latestRenewalAtSeconds("vm-1", "b", 110));
        delegations.onResponse(
                "p",
                101,
                new PeerStatus(
                        /* incarnation= */ 1,
                        /* clockSeconds= */ 6,
                        /* uptimeSeconds= */ 51,
                        /* sinceRenewalSeconds= */ Double.POSITIVE_INFINITY,
                        /* sequenceNumber= */ offer.sequenceNumber()),
                101.1);
        assertTrue(delegations.latestRenewalAtSeconds("vm-1", "b", 110) < 101);
        assertEquals(110, delegations.latestRenewalAtSeconds("vm-2", "b", 110));
    }

    private static LeaseDelegations.Members members(Map<String, String> peerZones) {
        return new LeaseDelegations.Members(/* localName= */ "l", /* localZone= */ "a", peerZones);
    }
}
