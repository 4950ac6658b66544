package io.kelphoist.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against scenarios with mistakes that do not fail and check something else than they state.
 * A misspelled option would leave the option's default value in effect: it is detected as a word of
 * the line that the command has not read. A misspelled boolean would be read as false: it is
 * rejected.
 */
class ScenarioLineTest {
    @Test
    void reportsMisspelledOptionAsUnread() {
        ScenarioLine line = new ScenarioLine("job job-1 tasks=2 prioritty=high");
        assertEquals("job", line.command());
        assertEquals("job-1", line.word(1));
        assertEquals(2, line.number("tasks", 1));
        assertEquals("normal", line.option("priority", "normal"));
        assertEquals(List.of("prioritty=high"), line.unreadWords());
    }

    @Test
    void rejectsWordThatIsNeitherTrueNorFalse() {
        ScenarioLine line = new ScenarioLine("replica-in-sync yes");
        assertThrows(IllegalArgumentException.class, () -> line.booleanAt(1));
    }

    @Test
    void unknownOptionFailsTheScenario() {
        Scenario scenario = new Scenario();
        scenario.execute("zones a");
        AssertionError error =
                assertThrows(
                        AssertionError.class,
                        () -> scenario.execute("machine-type g4 gpu=4 gpus=2"));
        assertTrue(error.getMessage().contains("gpu=4"), error.getMessage());
    }
}
