package io.kelphoist.events;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * A subscriber receives the events of each job in order, with one final event, which agrees with
 * the stored record. Guards against lost, repeated and reordered events while clients read slowly
 * and change controllers, updates arrive late, and controllers restart.
 */
class EventBrokerSimulationTest {
    /** The steps are up to 4607 = 16 * 288 - 1: all 16 actions, each with 288 arguments. */
    @Property(tries = 6000, seed = "20261201")
    void subscriberReceivesAValidHistoryOfEachJob(
            @ForAll @Size(min = 10, max = 160) List<@IntRange(min = 0, max = 4607) Integer> steps) {
        EventBrokerSimulation simulation = new EventBrokerSimulation();
        steps.forEach(simulation::step);
        simulation.settle();
    }

    /** Guards against a simulation without events, in which the property above holds trivially. */
    @Test
    void subscriberReceivesTheEventsOfAScriptedRun() {
        EventBrokerSimulation simulation = new EventBrokerSimulation();
        // Four clients connect, four jobs are accepted, a task starts and two jobs are done; the
        // controllers apply the changes, and one client reads in between. The numbers are explained
        // at EventBrokerSimulation.step.
        for (int step :
                new int[] {
                    11, 27, 43, 59, 0, 16, 0, 8, 24, 40, 5, 10, 12 + 64, 2, 8, 2 + 48, 8, 12 + 64
                }) {
            simulation.step(step);
        }
        simulation.settle();
        assertTrue(
                simulation.receivedEventCount() >= 10,
                "expected at least 10 events, received " + simulation.receivedEventCount());
    }
}
