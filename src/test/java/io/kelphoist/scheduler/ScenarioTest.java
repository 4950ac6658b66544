package io.kelphoist.scheduler;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Executes every file below {@code scenarios/}. The first comment of a file states the failure that
 * it guards against; docs/SCENARIOS.md describes the commands.
 */
class ScenarioTest {
    private static final Path DIRECTORY = Path.of("src/test/resources/scenarios");

    static Stream<String> files() throws IOException {
        try (Stream<Path> files = Files.list(DIRECTORY)) {
            return files
                    .map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(".txt"))
                    .sorted()
                    .toList()
                    .stream();
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("files")
    void scenarioHolds(String file) throws IOException {
        Scenario scenario = new Scenario();
        int lineNumber = 0;
        for (String line : Files.readAllLines(DIRECTORY.resolve(file))) {
            lineNumber++;
            String text = line.strip();
            if (text.isEmpty() || text.startsWith("#")) {
                continue;
            }
            try {
                scenario.execute(text);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError(file + ":" + lineNumber + ": " + text + "\n  " + e, e);
            }
        }
    }
}
