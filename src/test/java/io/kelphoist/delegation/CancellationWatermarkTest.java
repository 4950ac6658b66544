package io.kelphoist.delegation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.cancellation.CancellationWatermark;
import io.kelphoist.cancellation.ConfirmedCancellations;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Cancellations that another controller confirmed and the leader cannot read: the state store
 * refuses the leader alone, another controller confirms a cancellation, and then the state store is
 * down for longer than a cancellation may take. The simulation checks that the task has stopped in
 * time; these tests check the other effects.
 */
class CancellationWatermarkTest {
    private static final double LONG_OUTAGE_SECONDS = 70;

    /** The state store refuses the leader, whose key has not expired yet. */
    private static DelegationSimulation withLeaderRefused() {
        DelegationSimulation simulation = new DelegationSimulation(false, true);
        simulation.advance(10);
        simulation.setLeaderRefusedByStore(true);
        simulation.advance(1);
        return simulation;
    }

    private static void passOutage(DelegationSimulation simulation) {
        simulation.setStoreDown(true);
        simulation.advance(LONG_OUTAGE_SECONDS);
        simulation.setStoreDown(false);
        simulation.setLeaderRefusedByStore(false);
        simulation.advance(30);
    }

    /** The other's statement reaches the leader: the task is stopped, and no lease expires. */
    @Test
    void aStatementOfAnotherControllerStopsTheTask() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(2, true);
        passOutage(simulation);
        assertEquals(1, simulation.acknowledgementsUnknownToLeader());
        assertEquals(0, simulation.withheldRenewals());
        assertEquals(0, simulation.expiredLeases());
        assertFalse(simulation.isTaskRunning());
    }

    /**
     * The job is cancelled as the leader is refused, shortly before or after; a second later the
     * state store is down for all.
     */
    @Test
    void cancelledJobStopsWhenTheLeaderIsRefusedAtThatMoment() {
        for (double after : new double[] {-0.5, -0.25, 0, 0.25, 0.5, 0.75}) {
            for (int controller = 0; controller < 3; controller++) {
                DelegationSimulation simulation = new DelegationSimulation(false, true);
                simulation.advance(10);
                if (after < 0) {
                    simulation.cancel(controller, true);
                    simulation.advance(-after);
                }
                simulation.setLeaderRefusedByStore(true);
                if (after >= 0) {
                    simulation.advance(after);
                    simulation.cancel(controller, true);
                }
                simulation.advance(1 - Math.max(0, after));
                passOutage(simulation);
                assertEquals(
                        0,
                        simulation.expiredLeases(),
                        "controller " + controller + " after " + after);
                assertFalse(
                        simulation.isTaskRunning() && simulation.isAcknowledged(),
                        "controller " + controller + " after " + after);
            }
        }
    }

    @Test
    void statementsOfBothOthersStopTheTask() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(1, true);
        simulation.cancel(2, true);
        passOutage(simulation);
        assertEquals(0, simulation.withheldRenewals());
        assertFalse(simulation.isTaskRunning());
    }

    /**
     * The response to the cancellation is lost; queried in the middle of the outage, the controller
     * that stored it answers from memory.
     */
    @Test
    void acknowledgedByAQueryInTheOutage() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(2, false);
        simulation.setStoreDown(true);
        simulation.advance(30);
        simulation.query(2);
        simulation.advance(LONG_OUTAGE_SECONDS);
        assertEquals(1, simulation.acknowledgementsUnknownToLeader());
        assertFalse(simulation.isTaskRunning());
        assertEquals(0, simulation.withheldRenewals());
    }

    /**
     * No process remembers what the crashed controller confirmed: past the bound no lease is
     * renewed until records can be read.
     */
    @Test
    void renewalsAreWithheldAfterTheConfirmingControllerCrashed() {
        for (double backSeconds : new double[] {0.1, 5}) {
            DelegationSimulation simulation = withLeaderRefused();
            simulation.cancel(2, true);
            simulation.crash(2, backSeconds);
            passOutage(simulation);
            assertTrue(
                    simulation.withheldRenewals() > 5,
                    simulation.withheldRenewals() + " renewals withheld");
            assertEquals(1, simulation.expiredLeases());
            assertFalse(simulation.isTaskRunning());
        }
    }

    /** Statements are delayed by more than the bound. */
    @Test
    void delayedStatementsLetTheLeaseExpireOrStopTheTask() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(2, true);
        simulation.setOneWayBlocked(2, 0, true);
        simulation.setStoreDown(true);
        simulation.advance(40);
        simulation.setOneWayBlocked(2, 0, false);
        simulation.advance(30);
        assertTrue(
                simulation.expiredLeases() > 0 || !simulation.isTaskRunning(),
                "the lease expired or the task stopped");
    }

    /** A controller does not cover the cancellations that its full list dropped. */
    @Test
    void renewalsAreWithheldAfterTheListOverflowed() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(2, true);
        simulation.overflowConfirmedCancellations(2);
        passOutage(simulation);
        assertTrue(
                simulation.withheldRenewals() > 5,
                simulation.withheldRenewals() + " renewals withheld");
        assertFalse(simulation.isTaskRunning());
    }

    /** A controller with a delegation is in a partitioned zone, where statements do not arrive. */
    @Test
    void taskInAPartitionedZoneStops() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(2, true);
        for (int outside : new int[] {0, 2}) {
            simulation.setLinkBlocked(1, outside, true);
            simulation.setWorkerBlocked(outside, true);
        }
        passOutage(simulation);
        assertFalse(simulation.isTaskRunning());
    }

    /** The outage ends and the leader's key expires: the next leader has read the records. */
    @Test
    void failoverAtTheEndOfAnOutageStopsTheTask() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(2, true);
        simulation.crash(2, 0.1);
        simulation.setStoreDown(true);
        simulation.advance(15);
        simulation.setStoreDown(false);
        for (int i = 0; i < 20; i++) {
            simulation.advance(0.5);
            simulation.failOver(1);
        }
        simulation.setStoreDown(true);
        simulation.advance(LONG_OUTAGE_SECONDS);
        assertEquals(2, simulation.term());
        assertFalse(simulation.isTaskRunning());
    }

    /**
     * While every other controller makes statements no cancellation is unknown: a fix must not let
     * leases expire in each long outage.
     */
    @Test
    void noLeaseExpiresInALongOutage() {
        DelegationSimulation simulation = new DelegationSimulation(true, true);
        simulation.advance(10);
        simulation.setStoreDown(true);
        simulation.advance(300);
        assertEquals(0, simulation.withheldRenewals());
        assertEquals(0, simulation.expiredLeases());
        assertTrue(simulation.isTaskRunning(), "the task still runs");
    }

    /** A version without the field makes no statements: then the bound limits renewals. */
    @Test
    void renewalsAreBoundedBesideAPeerWithoutStatements() {
        CancellationWatermark watermark = new CancellationWatermark(List.of("p", "q"));
        watermark.onJobsRead(100);
        watermark.onStatement(
                "p", new ConfirmedCancellations.Statement(7, 50, 0, true, List.of()), 101, 101.1);
        assertEquals(100, watermark.watermarkSeconds(102), 1e-9);
        watermark.onStatement(
                "q", new ConfirmedCancellations.Statement(8, 50, 0, true, List.of()), 101.5, 101.6);
        assertEquals(101, watermark.watermarkSeconds(102), 1e-9);
        DelegationTiming timing = DelegationTiming.of(42, 22);
        assertTrue(timing.allowsRenewal(101, 101 + 19.3));
        assertFalse(timing.allowsRenewal(101, 101 + 19.5));
    }

    /** Neither a new process nor an incomplete list covers more than the records did. */
    @Test
    void incompleteStatementsDoNotAdvanceTheWatermark() {
        CancellationWatermark watermark = new CancellationWatermark(List.of("p"));
        watermark.onJobsRead(100);
        watermark.onStatement(
                "p",
                new ConfirmedCancellations.Statement(7, 50, 3, true, List.of("job-1")),
                101,
                101.1);
        assertEquals(3, watermark.acknowledgedSequenceNumber("p"));
        watermark.onStatement(
                "p",
                new ConfirmedCancellations.Statement(7, 51, 5, false, List.of("job-2")),
                102,
                102.1);
        assertEquals(101, watermark.watermarkSeconds(103), 1e-9);
        // Started at 102.5: what its earlier process confirmed after 101 is not covered.
        watermark.onStatement(
                "p", new ConfirmedCancellations.Statement(9, 0.5, 0, true, List.of()), 103, 103.1);
        assertEquals(101, watermark.watermarkSeconds(104), 1e-9);
        assertEquals(9, watermark.incarnation("p"));
        assertEquals(0, watermark.acknowledgedSequenceNumber("p"));
        // A late statement of the earlier process does not restore its sequence numbers.
        watermark.onStatement(
                "p", new ConfirmedCancellations.Statement(7, 51, 6, true, List.of()), 102.2, 104);
        assertEquals(9, watermark.incarnation("p"));
        assertEquals(0, watermark.acknowledgedSequenceNumber("p"));
        watermark.onJobsRead(103);
        watermark.onStatement(
                "p", new ConfirmedCancellations.Statement(9, 2.4, 0, true, List.of()), 105, 105.1);
        assertEquals(105, watermark.watermarkSeconds(106), 1e-9);
    }

    /**
     * The next leader may not have received what an earlier one acknowledged: it must read the
     * records for that.
     */
    @Test
    void acknowledgementsToAnEarlierLeaderAreNotCoveredForTheNext() {
        ConfirmedCancellations confirmed = new ConfirmedCancellations(7, 100);
        confirmed.add("job-1", 110);
        ConfirmedCancellations.Statement statement =
                confirmed.statementFor(3, 0, 0, 111).orElseThrow();
        assertEquals(List.of("job-1"), statement.jobIds());
        assertEquals(11, statement.coveredSeconds(), 1e-9);
        assertEquals(
                List.of(),
                confirmed
                        .statementFor(3, 7, statement.lastSequenceNumber(), 112)
                        .orElseThrow()
                        .jobIds());
        assertEquals(
                12,
                confirmed
                        .statementFor(3, 7, statement.lastSequenceNumber(), 112)
                        .orElseThrow()
                        .coveredSeconds(),
                1e-9);
        assertEquals(
                10,
                confirmed
                        .statementFor(4, 7, statement.lastSequenceNumber(), 120)
                        .orElseThrow()
                        .coveredSeconds(),
                1e-9);
        assertEquals(Optional.empty(), confirmed.statementFor(3, 7, 99, 121));
    }

    /** Sequence numbers of another process, or that were never used, acknowledge nothing. */
    @Test
    void acknowledgementsOfAnotherProcessAreIgnored() {
        ConfirmedCancellations confirmed = new ConfirmedCancellations(7, 100);
        confirmed.add("job-1", 110);
        assertEquals(
                List.of("job-1"), confirmed.statementFor(3, 6, 40, 111).orElseThrow().jobIds());
        confirmed.add("job-1", 112);
        assertEquals(1, confirmed.size());
        assertEquals(List.of(), confirmed.statementFor(3, 7, 1_000, 113).orElseThrow().jobIds());
        confirmed.add("job-2", 114);
        ConfirmedCancellations.Statement statement =
                confirmed.statementFor(3, 7, 1, 115).orElseThrow();
        assertEquals(List.of("job-2"), statement.jobIds());
        assertEquals(2, statement.lastSequenceNumber());
    }
}
