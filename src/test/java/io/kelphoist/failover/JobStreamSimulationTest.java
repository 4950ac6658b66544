package io.kelphoist.failover;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.failover.SimulationCounters.Counter;
import io.kelphoist.model.Priority;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against jobs that never end, or that start late, while writes are limited and the leader
 * changes. Submits four jobs per second, of one task each, for three minutes and cancels a quarter
 * of them within seconds, with a failover in the middle. The write limit is the smallest of any
 * deployment (15 changes per second, 8 per transaction) or lower. The rules of {@link
 * SimulationChecker} must hold, every job must end, and every job that is not cancelled must start
 * in time: high-priority jobs within 10 s of their acceptance, the others within 15 s.
 */
class JobStreamSimulationTest {
    private static final int SECONDS = 180;

    /** Far more than the deployments lose, which is three messages in ten thousand. */
    private static final int RESPONSES_PER_LOSS = 20;

    /**
     * Runs the job stream on 24 machines with a limit of 40 tasks, without initial jobs and without
     * elections, with at most 2 status requests without a response and 8 changes per transaction.
     *
     * @param writesPerSecond the smallest limit (15), or a limit that the job stream alone nearly
     *     uses up (9), so that transactions are rejected throughout the run
     */
    @ParameterizedTest
    @CsvSource({"1, 15", "2, 15", "3, 15", "4, 9", "5, 9"})
    void everyJobOfTheStreamEnds(long seed, double writesPerSecond) {
        FailoverSimulation simulation =
                new FailoverSimulation(
                        seed,
                        2,
                        new SimulationSize(24, 40, false, writesPerSecond, 8, RESPONSES_PER_LOSS),
                        false);
        Random random = new Random(seed);
        simulation.advance(6, /* delayedPerTen= */ 0);
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
            simulation.advance(0.25, /* delayedPerTen= */ 0);
        }
        simulation.endFaultsAndCheckConvergence();
        assertTrue(
                simulation.acceptedJobCount() == 4 * SECONDS
                        && simulation.count(Counter.JOBS_CANCELLED) > SECONDS / 2,
                simulation.acceptedJobCount()
                        + " jobs accepted, expected 720; "
                        + simulation.count(Counter.JOBS_CANCELLED)
                        + " cancelled, expected over 90");
        assertTrue(
                writesPerSecond > 10 || simulation.rejectedTransactionCount() > 20,
                simulation.rejectedTransactionCount() + " transactions rejected, expected over 20");
        checkWaits(simulation);
    }

    private static void checkWaits(FailoverSimulation simulation) {
        double highPriorityWaitSeconds = simulation.longestWaitSeconds(Priority.HIGH);
        double normalWaitSeconds = simulation.longestWaitSeconds(Priority.NORMAL);
        assertTrue(
                normalWaitSeconds < 15 && highPriorityWaitSeconds < 10,
                "longest wait of normal jobs: "
                        + normalWaitSeconds
                        + " s, expected under 15 s; of high-priority jobs: "
                        + highPriorityWaitSeconds
                        + " s, expected under 10 s");
    }
}
