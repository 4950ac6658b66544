package io.kelphoist.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.failover.SimulationCounters.Counter;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs simulated failovers with random combinations of faults and checks the rules of {@link
 * SimulationChecker}. In particular, a new leader must not start a task on another machine while an
 * attempt that an earlier leader started may still run.
 */
class FailoverSimulationTest {
    private static final SimulationCounters SCRIPTED_RUN_COUNTERS = new SimulationCounters();
    private static int delayedTransactions;
    private static int lostResponses;
    private static int electedTerms;
    private static int tasksStartedByElectedLeaders;

    @Property(tries = 2500, seed = "20261203")
    void noTaskRunsTwiceAcrossFailovers(
            @ForAll long seed,
            @ForAll @Size(min = 4, max = 40) List<@IntRange(min = 0, max = 1499) Integer> steps) {
        FailoverSimulation simulation = new FailoverSimulation(seed);
        simulation.advance(6, /* delayedPerTen= */ 0);
        steps.forEach(step -> FailoverSteps.apply(simulation, step));
        simulation.endFaultsAndCheckConvergence();
        SCRIPTED_RUN_COUNTERS.addAll(simulation.counters());
        delayedTransactions += simulation.delayedTransactionCount();
        lostResponses += simulation.lostResponseCount();
    }

    /**
     * The same property when three controllers elect the leader. They crash, freeze and resign, and
     * messages between them are delayed.
     */
    @Property(tries = 800, seed = "20261207")
    void noTaskRunsTwiceAcrossElections(
            @ForAll long seed,
            @ForAll @Size(min = 4, max = 40) List<@IntRange(min = 0, max = 1499) Integer> steps) {
        FailoverSimulation simulation =
                new FailoverSimulation(
                        seed,
                        /* maxStatusRequests= */ 2,
                        SimulationSize.USUAL,
                        /* elected= */ true);
        simulation.advance(10, /* delayedPerTen= */ 0);
        steps.forEach(step -> FailoverSteps.apply(simulation, step));
        simulation.endFaultsAndCheckConvergence();
        tasksStartedByElectedLeaders += simulation.count(Counter.TASKS_STARTED);
        electedTerms += simulation.termCount();
    }

    /**
     * Checks that the simulated faults had an effect. Without this check the properties would also
     * hold if no task were ever started, or if every failover waited for a full heartbeat round.
     */
    @AfterContainer
    static void faultsAndTheirEffectsOccurred() {
        SCRIPTED_RUN_COUNTERS.assertMoreThan(5_000, Counter.TASKS_STARTED);
        SCRIPTED_RUN_COUNTERS.assertMoreThan(2000, Counter.QUICK_FAILOVERS);
        SCRIPTED_RUN_COUNTERS.assertMoreThan(300, Counter.LEASES_EXPIRED);
        SCRIPTED_RUN_COUNTERS.assertMoreThan(1000, Counter.WORKER_RESTARTS);
        SCRIPTED_RUN_COUNTERS.assertMoreThan(500, Counter.MACHINES_TERMINATED);
        SCRIPTED_RUN_COUNTERS.assertMoreThan(5000, Counter.HEARTBEAT_COPIES_DELIVERED);
        SCRIPTED_RUN_COUNTERS.assertMoreThan(1000, Counter.JOBS_CANCELLED);
        SCRIPTED_RUN_COUNTERS.assertMoreThan(500, Counter.JOBS_DONE);
        assertTrue(
                delayedTransactions > 100,
                delayedTransactions + " transactions committed after a delay, expected over 100");
        assertTrue(
                electedTerms > 1500 && tasksStartedByElectedLeaders > 5000,
                electedTerms
                        + " terms, expected over 1500; "
                        + tasksStartedByElectedLeaders
                        + " tasks started, expected over 5000");
        SCRIPTED_RUN_COUNTERS.assertMoreThan(1000, Counter.COMMAND_COPIES_EXECUTED);
        SCRIPTED_RUN_COUNTERS.assertMoreThan(1000, Counter.MACHINES_SCALED_OUT);
        SCRIPTED_RUN_COUNTERS.assertMoreThan(1000, Counter.HEARTBEATS_KEPT_FOR_NEXT_LEADER);
        SCRIPTED_RUN_COUNTERS.assertMoreThan(1000, Counter.QUERY_BURSTS);
        assertTrue(lostResponses > 700, lostResponses + " responses lost, expected over 700");
        SCRIPTED_RUN_COUNTERS.assertMoreThan(200, Counter.GANGS_DONE);
        SCRIPTED_RUN_COUNTERS.assertMoreThan(80, Counter.CHECKPOINTS_SAVED);
    }

    /**
     * Guards against a leader that decides too early although status requests are disabled: it must
     * wait for a full heartbeat round, because only regular heartbeats report which tasks run.
     */
    @Test
    void withoutStatusRequestsALeaderWaitsForAHeartbeatRound() {
        FailoverSimulation simulation =
                new FailoverSimulation(
                        /* seed= */ 3,
                        /* maxStatusRequests= */ 0,
                        SimulationSize.USUAL,
                        /* elected= */ false);
        simulation.advance(6, /* delayedPerTen= */ 0);
        simulation.failOver(Leadership.Handover.REPLICA);
        simulation.advance(6, /* delayedPerTen= */ 0);
        assertEquals(2.5, simulation.newestFirstDecisionAfterSeconds(), 0.15);
    }

    /**
     * Guards against rules that are broken only when leaders change in quick succession. The leader
     * changes ten times within two minutes; in two further rounds the state store is unavailable,
     * so that no new leader can be elected. Jobs are cancelled immediately before each change and
     * cancelled and queried after it, and copies of heartbeats are delivered to the next leader.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void rulesHoldWhenLeadersChangeTenTimes(long seed) {
        FailoverSimulation simulation = new FailoverSimulation(seed);
        simulation.setKeepHeartbeatsForNextLeader(true);
        simulation.advance(6, /* delayedPerTen= */ 0);
        for (int i = 0; i < 12; i++) {
            simulation.setStateStoreUnavailable(i % 6 == 3);
            simulation.setLostResponses(i % 3);
            simulation.setPartitioned(i, i % 2 == 0);
            simulation.setOutboundBlocked(i + 2, i % 2 == 1);
            simulation.cancelDuringFailover(i * 7);
            simulation.finishTask(i);
            simulation.replicateMachines();
            simulation.advance(9, i % 4);
        }
        simulation.endFaultsAndCheckConvergence();
        int cancelled = simulation.count(Counter.JOBS_CANCELLED);
        int keptHeartbeats = simulation.count(Counter.HEARTBEATS_KEPT_FOR_NEXT_LEADER);
        assertTrue(
                cancelled >= 5 && keptHeartbeats > 10,
                cancelled
                        + " jobs cancelled, expected at least 5; "
                        + keptHeartbeats
                        + " heartbeats kept, expected over 10");
    }

    /**
     * Guards against a leader that decides on stale records: records as of a revision before that
     * of its term must be read again.
     */
    @Test
    void recordsOlderThanTheTermAreReadAgain() {
        Failover failover =
                new Failover(
                        /* term= */ 3,
                        /* timeoutSeconds= */ 5,
                        /* listLagSeconds= */ 4,
                        /* maxInFlight= */ 10,
                        (machine, agentEpoch) -> {},
                        /* nowSeconds= */ 100);
        assertFalse(
                failover.onRecordsLoaded(
                        /* oldestRevision= */ 41, /* termRevision= */ 42, /* nowSeconds= */ 100.1));
        assertEquals(Failover.State.LOADING_RECORDS, failover.state());
        failover.advance(List.of(), 106);
        assertFalse(failover.maySchedule(106));
        assertTrue(failover.onRecordsLoaded(42, 42, 106.1));
        failover.advance(List.of(), 106.2);
        assertTrue(failover.maySchedule(106.2));
        assertEquals(6.1, failover.secondsUntilPassed(PromotionCheck.RECORDS), 1e-9);
    }
}
