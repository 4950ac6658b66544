package io.kelphoist.failover;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.failover.SimulationCounters.Counter;
import io.kelphoist.model.Priority;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Jobs of one task are submitted four a second for minutes, a quarter of them cancelled within
 * seconds, at the smallest write limit of any deployment (15 changes a second, 8 to a transaction),
 * and the leader fails over in the middle: no rule of {@link SafetyChecker} is broken, every job
 * ends, and urgent jobs do not start later than the others.
 */
class JobStreamSimulationTest {
    private static final int SECONDS = 180;

    /**
     * @param writesPerSecond that smallest limit, and one that the stream alone nearly uses up, so
     *     that transactions are throttled all the time
     */
    @ParameterizedTest
    @CsvSource({"1, 15", "2, 15", "3, 15", "4, 9", "5, 9"})
    void everyJobOfTheStreamEnds(long seed, double writesPerSecond) {
        FailoverSimulation simulation =
                new FailoverSimulation(
                        seed, 2, new SimulationSize(24, 40, false, writesPerSecond, 8), false);
        Random random = new Random(seed);
        simulation.advance(6, 0);
        for (int i = 0; i < 4 * SECONDS; i++) {
            boolean isCancelled = random.nextInt(4) == 0;
            simulation.submit(
                    i,
                    i % 8 == 0 ? Priority.HIGH : Priority.NORMAL,
                    2 + random.nextInt(6),
                    isCancelled ? random.nextDouble() * 6 : Double.POSITIVE_INFINITY);
            if (i == 2 * SECONDS) {
                simulation.failOver(Leadership.Handover.REPLICA);
            }
            simulation.advance(0.25, 0);
        }
        simulation.endFaultsAndCheckConvergence();
        double urgentWait = simulation.longestWaitSeconds(Priority.HIGH);
        double normalWait = simulation.longestWaitSeconds(Priority.NORMAL);
        assertTrue(
                simulation.acceptedJobCount() == 4 * SECONDS
                        && simulation.count(Counter.JOBS_CANCELLED) > SECONDS / 2,
                simulation.acceptedJobCount()
                        + " accepted, "
                        + simulation.count(Counter.JOBS_CANCELLED)
                        + " cancelled");
        assertTrue(
                writesPerSecond > 10 || simulation.throttledTransactionCount() > 20,
                simulation.throttledTransactionCount() + " throttled");
        assertTrue(
                normalWait < 15 && urgentWait < 10,
                "longest wait " + normalWait + " s, of urgent jobs " + urgentWait + " s");
    }
}
