package io.kelphoist.failover;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.failover.SimulationCounters.Counter;
import io.kelphoist.model.Priority;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against tasks that a late copy of a command starts again, although the command was
 * executed and answered before: the task may run on another machine by then, or be cancelled.
 */
class CommandCopyTest {
    /** A longer run is started by hand with {@code -DcommandCopySeeds=N}. */
    private static final int SEEDS = Integer.getInteger("commandCopySeeds", 12);

    /** What happens to the tasks between the command and its copy. */
    private enum Event {
        FAILED,
        PREEMPTED,
        MOVED,
        CANCELLED,
        DONE,
        REFUSED,
        GANG_MEMBER_LOST
    }

    /** What happens to the leader or the machines before the copy arrives. */
    private enum Disruption {
        NONE,
        NEW_LEADER,
        LEADER_PAUSED,
        MACHINE_RESTARTED,
        MACHINE_CUT,
        MACHINE_DEAF
    }

    private static Stream<Arguments> meetings() {
        return Stream.of(Event.values())
                .flatMap(
                        event ->
                                Stream.of(Disruption.values())
                                        .map(disruption -> Arguments.of(event, disruption)));
    }

    /** Guards against a failed task that runs again where it failed while it runs elsewhere. */
    @Test
    void copyOfAnAnsweredStartDoesNotRunAMovedTaskTwice() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            FailoverSimulation simulation =
                    new FailoverSimulation(
                            seed,
                            /* maxStatusRequests= */ 2,
                            SimulationSize.ROOM_FOR_ALL,
                            /* elected= */ false);
            simulation.advance(8, /* delayedPerTen= */ 0);
            simulation.failTask((int) seed);
            simulation.advance(6, /* delayedPerTen= */ 0);
            simulation.repeatExecutedCommands();
            simulation.advance(1, /* delayedPerTen= */ 0);
        }
    }

    @ParameterizedTest
    @MethodSource("meetings")
    void copyOfAnExecutedCommandBreaksNoRule(Event event, Disruption disruption) {
        int copies = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            FailoverSimulation simulation = new FailoverSimulation(seed);
            simulation.advance(8, /* delayedPerTen= */ 0);
            cause(event, simulation, (int) seed);
            simulation.advance((double) (seed % 4), /* delayedPerTen= */ 0);
            disrupt(disruption, simulation, (int) seed);
            for (int i = 0; i < 10; i++) {
                simulation.repeatExecutedCommands();
                simulation.advance(1 + i, /* delayedPerTen= */ 0);
                endDisruption(i, simulation, (int) seed);
            }
            simulation.endFaultsAndCheckConvergence();
            copies += simulation.count(Counter.COMMAND_COPIES_EXECUTED);
        }
        assertTrue(copies > SEEDS, copies + " copies executed, expected over " + SEEDS);
    }

    private static void cause(Event event, FailoverSimulation simulation, int seed) {
        switch (event) {
            case FAILED -> simulation.failTask(seed);
            case PREEMPTED -> submitUrgentJobs(simulation);
            case MOVED -> simulation.terminateMachine(seed, /* noticeSeconds= */ 30);
            case CANCELLED -> simulation.cancel(seed * 3);
            case DONE -> simulation.finishTask(seed);
            case REFUSED -> refuseAndMove(simulation, seed);
            case GANG_MEMBER_LOST -> simulation.terminateMachine(seed, /* noticeSeconds= */ 0);
        }
    }

    private static void submitUrgentJobs(FailoverSimulation simulation) {
        for (int i = 0; i < 4; i++) {
            simulation.submit(i, Priority.HIGH, /* durationSeconds= */ 5, Double.POSITIVE_INFINITY);
        }
    }

    private static void refuseAndMove(FailoverSimulation simulation, int seed) {
        simulation.setRefusesStarts(seed, true);
        simulation.failTask(seed);
        simulation.failTask(seed + 1);
        simulation.advance(2, /* delayedPerTen= */ 0);
        simulation.setRefusesStarts(seed, false);
    }

    private static void disrupt(Disruption disruption, FailoverSimulation simulation, int seed) {
        switch (disruption) {
            case NONE -> {}
            case NEW_LEADER -> simulation.failOver(Leadership.Handover.NOTHING);
            case LEADER_PAUSED -> simulation.freezeLeader(/* seconds= */ 0.8);
            case MACHINE_RESTARTED -> simulation.restartWorker(seed);
            case MACHINE_CUT -> simulation.setPartitioned(seed, true);
            case MACHINE_DEAF -> simulation.setInboundBlocked(seed, true);
        }
    }

    /** Ends a cut or deaf machine's disruption within a lease, or after one. */
    private static void endDisruption(int round, FailoverSimulation simulation, int seed) {
        if (round == 1 + seed % 5) {
            simulation.setPartitioned(seed, false);
            simulation.setInboundBlocked(seed, false);
        }
    }
}
