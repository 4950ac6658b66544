package io.kelphoist.failover;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against jobs that never end, or tasks that run twice, because a leader crashed while
 * several transactions were in flight: each of them may be executed or not, so that the next leader
 * finds stored states that no leader ever had in memory.
 */
class StoredSubsetRecoveryTest {
    /** A longer run is started by hand with {@code -DstoredSubsetSeeds=N}. */
    private static final int SEEDS = Integer.getInteger("storedSubsetSeeds", 10);

    /** Subsets of up to four transactions in flight: three of the leader, and a user's. */
    private static final int SUBSETS = 16;

    private static final double SHORT_DOWNTIME_SECONDS = 0.5;
    private static final double LONGER_THAN_A_LEASE_SECONDS = SimulationContext.LEASE_SECONDS + 3;

    /** What the next leader can still learn from the workers about tasks that have exited. */
    private enum Workers {
        LIST_EXITED_TASKS,
        RESTARTED,
        WITH_EXPIRED_LEASES,
        TERMINATED
    }

    private static Stream<Arguments> crashes() {
        return Stream.of(Workers.values())
                .flatMap(
                        workers ->
                                Stream.of(Leadership.Handover.NOTHING, Leadership.Handover.REPLICA)
                                        .map(handover -> Arguments.of(workers, handover)));
    }

    @ParameterizedTest
    @MethodSource("crashes")
    void everyJobEndsWhateverOfTheTransactionsInFlightIsStored(
            Workers workers, Leadership.Handover handover) {
        int endsMissing = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            for (long subset = 0; subset < SUBSETS; subset++) {
                FailoverSimulation simulation =
                        new FailoverSimulation(
                                seed,
                                /* maxStatusRequests= */ 2,
                                SimulationSize.ROOM_FOR_ALL,
                                /* elected= */ false);
                finishTasksWithTransactionsInFlight(simulation, (int) seed);
                loseExitedTasks(simulation, workers);
                simulation.crashWithTransactionsInFlight(
                        subset,
                        workers == Workers.WITH_EXPIRED_LEASES
                                ? LONGER_THAN_A_LEASE_SECONDS
                                : SHORT_DOWNTIME_SECONDS,
                        handover);
                endsMissing += simulation.countJobsWithAllTasksStoredAsDone();
                simulation.endFaultsAndCheckConvergence();
            }
        }
        assertTrue(
                endsMissing > SEEDS,
                endsMissing + " jobs without a stored end, expected over " + SEEDS);
    }

    /** Tasks of all kinds of jobs exit, and a user cancels a job, while nothing is answered. */
    private static void finishTasksWithTransactionsInFlight(
            FailoverSimulation simulation, int seed) {
        simulation.advance(8, /* delayedPerTen= */ 0);
        simulation.finishTask(seed);
        simulation.advance(1 + seed % 3, /* delayedPerTen= */ 0);
        simulation.replicateMachines();
        simulation.holdTransactions();
        for (int i = 0; i < 2 * SimulationSize.ROOM_FOR_ALL.workers(); i++) {
            simulation.finishTask(seed + i);
        }
        if (seed % 2 == 0) {
            simulation.cancel(seed * 3);
        }
        simulation.advance(0.6 + seed % 5 / 5.0, /* delayedPerTen= */ 0);
    }

    private static void loseExitedTasks(FailoverSimulation simulation, Workers workers) {
        for (int i = 0; i < SimulationSize.ROOM_FOR_ALL.workers(); i++) {
            if (workers == Workers.RESTARTED) {
                simulation.restartWorker(i);
            } else if (workers == Workers.TERMINATED) {
                simulation.terminateMachine(i, /* noticeSeconds= */ 0);
            }
        }
    }
}
