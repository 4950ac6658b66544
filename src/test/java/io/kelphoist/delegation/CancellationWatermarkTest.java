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
 * Guards against tasks of a cancelled job that continue to run because the leader cannot read the
 * cancellation. The state store refuses only the leader's requests, another controller acknowledges
 * a cancellation to a user, and then the state store is unavailable for longer than the
 * cancellation timeout. The simulation checks that the task has stopped in time; these tests check
 * the other effects.
 */
class CancellationWatermarkTest {
    private static final double LONG_OUTAGE_SECONDS = 70;

    /**
     * Returns a simulation in which the state store refuses the leader, whose key has not expired
     * yet.
     */
    private static DelegationSimulation withLeaderRefused() {
        DelegationSimulation simulation =
                new DelegationSimulation(/* leaderInWorkersZone= */ false, /* clocksDrift= */ true);
        simulation.advance(10);
        simulation.setLeaderRefusedByStore(true);
        simulation.advance(1);
        return simulation;
    }

    private static void passOutage(DelegationSimulation simulation) {
        simulation.setStoreUnavailable(true);
        simulation.advance(LONG_OUTAGE_SECONDS);
        simulation.setStoreUnavailable(false);
        simulation.setLeaderRefusedByStore(false);
        simulation.advance(30);
    }

    /**
     * The leader receives the other controller's statement: it stops the task, and no lease
     * expires.
     */
    @Test
    void aStatementOfAnotherControllerStopsTheTask() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(/* controller= */ 2, /* isAcknowledged= */ true);
        passOutage(simulation);
        assertEquals(1, simulation.acknowledgementsUnknownToLeader());
        assertEquals(0, simulation.withheldRenewals());
        assertEquals(0, simulation.expiredLeases());
        assertFalse(simulation.isTaskRunning());
    }

    /**
     * The job is cancelled shortly before, at or after the time from which the state store refuses
     * the leader. A second later the state store is unavailable.
     */
    @Test
    void cancelledJobStopsWhenTheLeaderIsRefusedAtThatMoment() {
        for (double cancelDelaySeconds : new double[] {-0.5, -0.25, 0, 0.25, 0.5, 0.75}) {
            for (int controller = 0; controller < 3; controller++) {
                DelegationSimulation simulation =
                        new DelegationSimulation(
                                /* leaderInWorkersZone= */ false, /* clocksDrift= */ true);
                simulation.advance(10);
                if (cancelDelaySeconds < 0) {
                    simulation.cancel(controller, true);
                    simulation.advance(-cancelDelaySeconds);
                }
                simulation.setLeaderRefusedByStore(true);
                if (cancelDelaySeconds >= 0) {
                    simulation.advance(cancelDelaySeconds);
                    simulation.cancel(controller, true);
                }
                simulation.advance(1 - Math.max(0, cancelDelaySeconds));
                passOutage(simulation);
                assertEquals(
                        0,
                        simulation.expiredLeases(),
                        "expired leases: controller="
                                + controller
                                + " cancelDelaySeconds="
                                + cancelDelaySeconds);
                assertFalse(
                        simulation.isTaskRunning() && simulation.isAcknowledged(),
                        "task of a cancelled job still runs: controller="
                                + controller
                                + " cancelDelaySeconds="
                                + cancelDelaySeconds);
            }
        }
    }

    /** The user cancels the job at both other controllers; the leader receives both statements. */
    @Test
    void statementsOfBothOthersStopTheTask() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(/* controller= */ 1, /* isAcknowledged= */ true);
        simulation.cancel(/* controller= */ 2, /* isAcknowledged= */ true);
        passOutage(simulation);
        assertEquals(0, simulation.withheldRenewals());
        assertFalse(simulation.isTaskRunning());
    }

    /**
     * The response to the cancellation is lost, so the user has no acknowledgement. During the
     * outage the user queries the job, and the controller that stored the cancellation responds
     * from memory.
     */
    @Test
    void acknowledgedByAQueryInTheOutage() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(/* controller= */ 2, /* isAcknowledged= */ false);
        simulation.setStoreUnavailable(true);
        simulation.advance(30);
        simulation.query(2);
        simulation.advance(LONG_OUTAGE_SECONDS);
        assertEquals(1, simulation.acknowledgementsUnknownToLeader());
        assertFalse(simulation.isTaskRunning());
        assertEquals(0, simulation.withheldRenewals());
    }

    /**
     * No process can report the cancellations that the crashed controller confirmed. Once the
     * renewal window after the watermark has passed, no lease is renewed until the records can be
     * read.
     */
    @Test
    void renewalsAreWithheldAfterTheConfirmingControllerCrashed() {
        for (double restartSeconds : new double[] {0.1, 5}) {
            DelegationSimulation simulation = withLeaderRefused();
            simulation.cancel(/* controller= */ 2, /* isAcknowledged= */ true);
            simulation.crash(2, restartSeconds);
            passOutage(simulation);
            assertTrue(
                    simulation.withheldRenewals() > 5,
                    simulation.withheldRenewals() + " renewals withheld, expected over 5");
            assertEquals(1, simulation.expiredLeases());
            assertFalse(simulation.isTaskRunning());
        }
    }

    /** The statements of the confirming controller are delayed by more than the renewal window. */
    @Test
    void delayedStatementsLetTheLeaseExpireOrStopTheTask() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(/* controller= */ 2, /* isAcknowledged= */ true);
        simulation.setOneWayBlocked(/* from= */ 2, /* to= */ 0, /* blocked= */ true);
        simulation.setStoreUnavailable(true);
        simulation.advance(40);
        simulation.setOneWayBlocked(/* from= */ 2, /* to= */ 0, /* blocked= */ false);
        simulation.advance(30);
        assertTrue(
                simulation.expiredLeases() > 0 || !simulation.isTaskRunning(),
                "expected that the lease expired or that the task stopped");
    }

    /**
     * The statements of a controller do not cover the cancellations that were dropped from its full
     * list.
     */
    @Test
    void renewalsAreWithheldAfterTheListOverflowed() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(/* controller= */ 2, /* isAcknowledged= */ true);
        simulation.overflowConfirmedCancellations(2);
        passOutage(simulation);
        assertTrue(
                simulation.withheldRenewals() > 5,
                simulation.withheldRenewals() + " renewals withheld, expected over 5");
        assertFalse(simulation.isTaskRunning());
    }

    /**
     * The worker's zone is partitioned, so the controller that holds a delegation there receives no
     * cancellations.
     */
    @Test
    void taskInAPartitionedZoneStops() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(/* controller= */ 2, /* isAcknowledged= */ true);
        for (int outside : new int[] {0, 2}) {
            simulation.setLinkBlocked(1, outside, true);
            simulation.setWorkerBlocked(outside, true);
        }
        passOutage(simulation);
        assertFalse(simulation.isTaskRunning());
    }

    /**
     * The controller that confirmed the cancellation crashes, the outage ends, the leader's key
     * expires, and the next leader reads the records before the next outage.
     */
    @Test
    void failoverAtTheEndOfAnOutageStopsTheTask() {
        DelegationSimulation simulation = withLeaderRefused();
        simulation.cancel(/* controller= */ 2, /* isAcknowledged= */ true);
        simulation.crash(/* controller= */ 2, /* restartSeconds= */ 0.1);
        simulation.setStoreUnavailable(true);
        simulation.advance(15);
        simulation.setStoreUnavailable(false);
        for (int i = 0; i < 20; i++) {
            simulation.advance(0.5);
            simulation.failOver(1);
        }
        simulation.setStoreUnavailable(true);
        simulation.advance(LONG_OUTAGE_SECONDS);
        assertEquals(2, simulation.term());
        assertFalse(simulation.isTaskRunning());
    }

    /**
     * Guards against leases that expire in every long outage. While every other controller sends
     * statements, the leader has received all cancellations and must continue to renew leases.
     */
    @Test
    void noLeaseExpiresInALongOutage() {
        DelegationSimulation simulation =
                new DelegationSimulation(/* leaderInWorkersZone= */ true, /* clocksDrift= */ true);
        simulation.advance(10);
        simulation.setStoreUnavailable(true);
        simulation.advance(300);
        assertEquals(0, simulation.withheldRenewals());
        assertEquals(0, simulation.expiredLeases());
        assertTrue(simulation.isTaskRunning(), "expected that the task still runs");
    }

    /**
     * Guards against renewals without end beside a controller whose version sends no statements: it
     * holds the watermark back, and renewals end when the renewal window after the watermark has
     * passed.
     */
    @Test
    void renewalsAreBoundedBesideAPeerWithoutStatements() {
        CancellationWatermark watermark = new CancellationWatermark(List.of("p", "q"));
        watermark.onJobsRead(100);
        watermark.onStatement(
                "p",
                new ConfirmedCancellations.Statement(
                        /* incarnation= */ 7,
                        /* coveredSeconds= */ 50,
                        /* lastSequenceNumber= */ 0,
                        /* complete= */ true,
                        List.of()),
                /* sentAtSeconds= */ 101,
                /* nowSeconds= */ 101.1);
        assertEquals(100, watermark.watermarkSeconds(102), 1e-9);
        watermark.onStatement(
                "q", new ConfirmedCancellations.Statement(8, 50, 0, true, List.of()), 101.5, 101.6);
        assertEquals(101, watermark.watermarkSeconds(102), 1e-9);
        DelegationTiming timing =
                DelegationTiming.of(/* cancelSeconds= */ 42, /* leaseSeconds= */ 22);
        assertTrue(timing.allowsRenewal(101, 101 + 19.3));
        assertFalse(timing.allowsRenewal(101, 101 + 19.5));
    }

    /**
     * An incomplete statement, and a statement of a process that started after the watermark, do
     * not advance the watermark. After the records were read again, statements of the new process
     * advance it.
     */
    @Test
    void incompleteStatementsDoNotAdvanceTheWatermark() {
        CancellationWatermark watermark = new CancellationWatermark(List.of("p"));
        watermark.onJobsRead(100);
        watermark.onStatement(
                "p",
                new ConfirmedCancellations.Statement(
                        /* incarnation= */ 7,
                        /* coveredSeconds= */ 50,
                        /* lastSequenceNumber= */ 3,
                        /* complete= */ true,
                        List.of("job-1")),
                101,
                101.1);
        assertEquals(3, watermark.acknowledgedSequenceNumber("p"));
        watermark.onStatement(
                "p",
                new ConfirmedCancellations.Statement(7, 51, 5, false, List.of("job-2")),
                102,
                102.1);
        assertEquals(101, watermark.watermarkSeconds(103), 1e-9);
        // This process started at 102.5, so the confirmations of the earlier process after 101 are
        // not covered.
        watermark.onStatement(
                "p", new ConfirmedCancellations.Statement(9, 0.5, 0, true, List.of()), 103, 103.1);
        assertEquals(101, watermark.watermarkSeconds(104), 1e-9);
        assertEquals(9, watermark.incarnation("p"));
        assertEquals(0, watermark.acknowledgedSequenceNumber("p"));
        // A delayed statement of the earlier process does not restore its sequence numbers.
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
     * The next leader may not have received the cancellations that an earlier leader acknowledged.
     * Statements to it must not cover the time of these cancellations, so that it reads the records
     * instead.
     */
    @Test
    void acknowledgementsToAnEarlierLeaderAreNotCoveredForTheNext() {
        ConfirmedCancellations confirmed =
                new ConfirmedCancellations(/* incarnation= */ 7, /* nowSeconds= */ 100);
        confirmed.add("job-1", 110);
        ConfirmedCancellations.Statement statement =
                confirmed
                        .statementFor(
                                /* leaderTerm= */ 3,
                                /* acknowledgedIncarnation= */ 0,
                                /* acknowledgedSequenceNumber= */ 0,
                                /* nowSeconds= */ 111)
                        .orElseThrow();
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

    /**
     * A sequence number of another process acknowledges nothing. A number that is not assigned yet
     * acknowledges the cancellations confirmed so far, but none that is confirmed later.
     */
    @Test
    void acknowledgementsOfAnotherProcessAreIgnored() {
        ConfirmedCancellations confirmed =
                new ConfirmedCancellations(/* incarnation= */ 7, /* nowSeconds= */ 100);
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
