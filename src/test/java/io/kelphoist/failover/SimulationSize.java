package io.kelphoist.failover;

/**
 * Dimensions of a simulated run.
 *
 * @param workers number of machines that exist for the whole run
 * @param taskLimit maximum number of tasks, of one GPU each, that the team may run at a time
 * @param withInitialJobs whether the initial jobs are stored before the run starts
 * @param writesPerSecond maximum number of changes per second that the state store accepts
 * @param operationsPerTransaction maximum number of changes in one transaction
 * @param responsesPerLoss one of this many responses to heartbeats is lost, on average
 */
record SimulationSize(
        int workers,
        int taskLimit,
        boolean withInitialJobs,
        double writesPerSecond,
        int operationsPerTransaction,
        int responsesPerLoss) {
    static final SimulationSize USUAL =
            new SimulationSize(
                    /* workers= */ 5,
                    /* taskLimit= */ 7,
                    /* withInitialJobs= */ true,
                    /* writesPerSecond= */ 1e6,
                    /* operationsPerTransaction= */ 48,
                    /* responsesPerLoss= */ 3);

    /** All tasks of the initial jobs run at the same time; a failed task runs elsewhere at once. */
    static final SimulationSize ROOM_FOR_ALL =
            new SimulationSize(
                    /* workers= */ 16,
                    /* taskLimit= */ 30,
                    /* withInitialJobs= */ true,
                    /* writesPerSecond= */ 1e6,
                    /* operationsPerTransaction= */ 48,
                    /* responsesPerLoss= */ 3);
}
