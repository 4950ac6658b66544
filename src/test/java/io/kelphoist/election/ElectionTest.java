package io.kelphoist.election;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.election.ElectionCounters.Counter;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs simulated elections with random combinations of faults. At most one controller may be leader
 * at any time, and one must lead after the faults have ended.
 */
class ElectionTest {
    private static final ElectionCounters COUNTERS = new ElectionCounters();

    /**
     * Applies one random event and advances the time: {@code step % 21} selects the kind of event,
     * quotients of {@code step} its arguments.
     */
    private static void applyStep(ElectionSimulation simulation, int step) {
        int controller = step / 20 % 3;
        int argument = step / 60;
        boolean enabled = argument % 2 == 0;
        switch (step % 21) {
            case 0, 1, 2 -> simulation.setLinkBlocked(controller, (controller + 1) % 3, enabled);
            case 3, 4, 5 -> simulation.setLinkBlocked((controller + 1) % 3, controller, enabled);
            case 6 -> setIsolated(simulation, controller, enabled);
            case 7, 8 -> simulation.crash(controller, /* restartSeconds= */ enabled ? 0.1 : 5);
            case 9 -> crashAll(simulation, controller);
            case 10, 11 -> simulation.freeze(controller, argument % 10);
            case 12, 13 -> simulation.setStoreUnavailable(enabled);
            case 14 -> simulation.setRefusedByStore(controller, enabled);
            case 15 -> simulation.setLeaderRefusedByStore();
            case 16 -> simulation.setDelayedTransactions(argument % 8);
            case 17, 18 -> simulation.resign(controller);
            case 20 -> simulation.setLostResponses(argument % 8);
            default -> {}
        }
        simulation.advance(0.1 + argument % 12 / 3.0);
    }

    private static void setIsolated(
            ElectionSimulation simulation, int controller, boolean isolated) {
        for (int other = 1; other < 3; other++) {
            simulation.setLinkBlocked(controller, (controller + other) % 3, isolated);
            simulation.setLinkBlocked((controller + other) % 3, controller, isolated);
        }
        simulation.setRefusedByStore(controller, isolated);
    }

    private static void crashAll(ElectionSimulation simulation, int firstRestarted) {
        for (int controller = 0; controller < 3; controller++) {
            simulation.crash(
                    controller, /* restartSeconds= */ controller == firstRestarted ? 0.3 : 6);
        }
    }

    @Property(tries = 3000, seed = "20261206")
    void atMostOneControllerLeads(
            @ForAll long seed,
            @ForAll @Size(min = 5, max = 60) List<@IntRange(min = 0, max = 1199) Integer> steps) {
        ElectionSimulation simulation = new ElectionSimulation(seed);
        simulation.advance(8);
        steps.forEach(step -> applyStep(simulation, step));
        simulation.endFaultsAndCheckLeader();
        COUNTERS.addAll(simulation.counters());
    }

    /**
     * Guards against an election that stalls because a controller acquired the leader key without
     * receiving the response. The responses to half of the renewals are lost too. The controller
     * must read that it holds the key, or the key's lease must expire. The time without a leader is
     * bounded by one crash, one lease and two acquisitions.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void anAcquisitionWithoutResponseDoesNotBlockElections(long seed) {
        ElectionSimulation simulation = new ElectionSimulation(seed);
        simulation.advance(8);
        simulation.setLostResponses(/* perTen= */ 5);
        for (int i = 0; i < 30; i++) {
            simulation.crash(i % 3, /* restartSeconds= */ 0.3);
            simulation.advance(13);
        }
        int withoutResponse = simulation.count(Counter.ACQUISITIONS_WITHOUT_RESPONSE);
        double leaderlessSeconds = simulation.longestLeaderlessSeconds();
        assertTrue(
                withoutResponse > 5 && leaderlessSeconds < 13,
                withoutResponse
                        + " acquisitions without a response, expected over 5; without a leader for "
                        + leaderlessSeconds
                        + " s, expected under 13 s");
        simulation.endFaultsAndCheckLeader();
    }

    /**
     * Guards against two leaders at a time, or too few new ones, when leaders change often: in each
     * of 24 rounds of five seconds the leader, if there is one, crashes or resigns, and in three of
     * the rounds the state store is unavailable. At least 12 terms must begin.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void newTermsBeginWhileLeadersCrashAndResign(long seed) {
        ElectionSimulation simulation = new ElectionSimulation(seed);
        simulation.advance(8);
        int before = simulation.count(Counter.TERMS);
        for (int i = 0; i < 24; i++) {
            if (i % 3 == 0) {
                simulation.crashLeader(0.1 + i % 5);
            } else {
                simulation.resignLeader();
            }
            simulation.setStoreUnavailable(i % 8 == 5);
            simulation.advance(5);
        }
        int terms = simulation.count(Counter.TERMS) - before;
        assertTrue(terms >= 12, terms + " terms began, expected at least 12");
        simulation.endFaultsAndCheckLeader();
    }

    /**
     * Checks that the simulated faults had an effect. Without this check the property would also
     * hold if no controller ever led, handed over its term, or led by grants alone.
     */
    @AfterContainer
    static void faultsAndTheirEffectsOccurred() {
        COUNTERS.assertMoreThan(100, Counter.ACQUISITIONS_WITHOUT_RESPONSE);
        COUNTERS.assertMoreThan(5_000, Counter.TERMS);
        COUNTERS.assertMoreThan(1_000, Counter.HANDOVERS);
        COUNTERS.assertMoreThan(30, Counter.DELAYED_ACQUISITIONS);
        COUNTERS.assertMoreThan(20_000, Counter.STEPS_LED_WITHOUT_KEY_OR_STORE);
    }
}
