package io.kelphoist.failover;

import org.junit.jupiter.api.Test;

class CommandCopyTest {
    private static final int SEEDS = 12;

    /** All tasks of the initial jobs fit, so that a failed task runs elsewhere at once. */
    private static final SimulationSize ROOM_FOR_ALL =
            new SimulationSize(
                    /* workers= */ 16,
                    /* taskLimit= */ 30,
                    /* withInitialJobs= */ true,
                    /* writesPerSecond= */ 1e6,
                    /* operationsPerTransaction= */ 48);

    /** Guards against a failed task that runs again where it failed while it runs elsewhere. */
    @Test
    void copyOfAnAnsweredStartDoesNotRunAMovedTaskTwice() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            FailoverSimulation simulation =
                    new FailoverSimulation(
                            seed, /* maxStatusRequests= */ 2, ROOM_FOR_ALL, /* elected= */ false);
            simulation.advance(8, /* delayedPerTen= */ 0);
            simulation.failTask((int) seed);
            simulation.advance(6, /* delayedPerTen= */ 0);
            simulation.repeatExecutedCommands();
            simulation.advance(1, /* delayedPerTen= */ 0);
        }
    }
}
