package io.kelphoist.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a new leader that stops running tasks because it does not know yet that the
 * dependencies of their jobs are done: after enough further jobs have ended, the ends of
 * dependencies are not in the replica, and are read only when the term has begun.
 */
class EvictedDependencyTest {
    private static final int SEEDS = 20;

    @ParameterizedTest
    @EnumSource(
            value = Leadership.Handover.class,
            names = {"NOTHING", "REPLICA"})
    void runningDependentsKeepRunning(Leadership.Handover handover) {
        int runningDependents = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            FailoverSimulation simulation = simulationWithRunningDependents((int) seed);
            Set<String> runningBefore = simulation.runningAttempts();
            runningDependents += countDependents(runningBefore);
            simulation.failOver(handover);
            simulation.advance(4, /* delayedPerTen= */ 0);
            Set<String> stopped = new TreeSet<>(runningBefore);
            stopped.removeAll(simulation.runningAttempts());
            assertEquals(Set.of(), stopped, "attempts that were stopped, seed " + seed);
            simulation.endFaultsAndCheckConvergence();
        }
        assertTrue(
                runningDependents > SEEDS,
                runningDependents + " dependent tasks ran, expected over " + SEEDS);
    }

    private static FailoverSimulation simulationWithRunningDependents(int seed) {
        FailoverSimulation simulation =
                new FailoverSimulation(
                        seed,
                        /* maxStatusRequests= */ 2,
                        SimulationSize.ROOM_FOR_ALL,
                        /* elected= */ false);
        simulation.advance(8, /* delayedPerTen= */ 0);
        for (int i = 0; i < 2 * SimulationSize.ROOM_FOR_ALL.workers(); i++) {
            simulation.finishTask(seed + i);
        }
        simulation.advance(8, /* delayedPerTen= */ 0);
        simulation.replicateMachines();
        simulation.evictDoneJobs();
        return simulation;
    }

    /** Counts the attempts of the initial jobs that depend on another one, see SimulatedJobs. */
    private static int countDependents(Set<String> attempts) {
        return (int)
                attempts.stream().filter(attempt -> attempt.matches("job-(2|6|9|10)/.*")).count();
    }
}
