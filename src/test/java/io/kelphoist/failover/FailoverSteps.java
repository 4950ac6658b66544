package io.kelphoist.failover;

/**
 * Maps random numbers to events of a {@link FailoverSimulation}: {@code step % 30} selects the kind
 * of event, and quotients of {@code step} its arguments.
 */
final class FailoverSteps {
    /** Number of kinds of events. */
    private static final int KINDS = 30;

    private FailoverSteps() {}

    /**
     * Applies one event and advances the time. The leader's machines are replicated before and
     * after.
     */
    static void apply(FailoverSimulation simulation, int step) {
        int argument = step / KINDS;
        int kind = step % KINDS;
        if (kind <= 12) {
            applyLeaderOrMachineEvent(simulation, kind, argument);
        } else if (kind <= 18) {
            applyStoreOrWorkerFault(simulation, kind, argument);
        } else {
            applyCloudOrUserEvent(simulation, kind, argument);
        }
        simulation.replicateMachines();
        simulation.advance(0.3 + argument % 5, step / 150 % 10);
        simulation.replicateMachines();
    }

    private static void applyLeaderOrMachineEvent(
            FailoverSimulation simulation, int kind, int argument) {
        switch (kind) {
            case 0 -> simulation.failOver(Leadership.Handover.NOTHING);
            case 1, 2 -> simulation.failOver(Leadership.Handover.REPLICA);
            case 3 -> simulation.failOver(Leadership.Handover.CORRUPTED_REPLICA);
            case 4 -> simulation.freezeLeader(argument % 12);
            case 5, 6 -> simulation.setPartitioned(argument, true);
            case 7, 8 -> simulation.setPartitioned(argument, false);
            case 9, 10, 11 -> simulation.finishTask(argument);
            case 12 -> simulation.listInstances();
            default -> throw new IllegalArgumentException("unexpected kind of event: " + kind);
        }
    }

    private static void applyStoreOrWorkerFault(
            FailoverSimulation simulation, int kind, int argument) {
        switch (kind) {
            case 13 -> simulation.setInboundBlocked(argument, true);
            case 14 -> simulation.setInboundBlocked(argument, false);
            case 15 -> simulation.restartWorker(argument);
            case 16 -> simulation.setDelayedTransactions(argument % 8);
            case 17 -> simulation.setStateStoreUnavailable(argument % 2 == 0);
            case 18 -> simulation.setLeaderRefusedByStore(argument % 3 > 0);
            default -> throw new IllegalArgumentException("unexpected kind of event: " + kind);
        }
    }

    private static void applyCloudOrUserEvent(
            FailoverSimulation simulation, int kind, int argument) {
        switch (kind) {
            case 19 -> simulation.cancel(argument);
            case 20, 21 -> simulation.terminateMachine(argument, 3 * (argument / 10));
            case 22 -> simulation.setOutboundBlocked(argument, true);
            case 23 -> simulation.setOutboundBlocked(argument, false);
            case 24 -> simulation.setLostResponses(argument % 4);
            case 25 -> simulation.setKeepHeartbeatsForNextLeader(argument % 3 > 0);
            case 26 -> simulation.cancelDuringFailover(argument);
            case 27 -> simulation.queryInBurst(argument);
            case 28 -> {
                simulation.setLinkBlocked(argument % 3, (argument + 1) % 3, argument / 3 % 2 == 0);
                simulation.query(argument);
            }
            default -> simulation.query(argument);
        }
    }
}
