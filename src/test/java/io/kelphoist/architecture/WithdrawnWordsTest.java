package io.kelphoist.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against withdrawn words that come back into packages that are free of them, and checks the
 * parser of the list and the search.
 */
class WithdrawnWordsTest {
    private static final Path SOURCES = Path.of("src/main/java");
    private static final Path WORDS = Path.of("config/withdrawn-words.txt");
    private static final Path PACKAGES =
            Path.of("src/test/resources/packages-free-of-withdrawn-words.txt");

    @Test
    void packagesAreFreeOfWithdrawnWords() throws IOException {
        WithdrawnWords words = WithdrawnWords.parse(WORDS.toString(), Files.readAllLines(WORDS));
        List<String> findings = new ArrayList<>();
        for (String packageName : packagesFreeOfWithdrawnWords()) {
            for (Path file : sourceFiles(directoryOf(packageName))) {
                String ownPackage = packageOf(file);
                findings.addAll(words.find(file.toString(), ownPackage, Files.readString(file)));
            }
        }
        assertTrue(findings.isEmpty(), () -> "\n" + String.join("\n", findings));
    }

    @Test
    void wordsAreWithdrawnInPackagesThatExist() throws IOException {
        List<String> unknown =
                WithdrawnWords.parse(WORDS.toString(), Files.readAllLines(WORDS)).entries().stream()
                        .filter(entry -> !entry.subpackage().isEmpty())
                        .filter(
                                entry ->
                                        !Files.isDirectory(
                                                directoryOf(
                                                        WithdrawnWords.ROOT
                                                                + "."
                                                                + entry.subpackage())))
                        .map(entry -> entry.word() + " | " + entry.subpackage())
                        .toList();
        assertEquals(List.of(), unknown, WORDS + ": words with a package that does not exist");
    }

    @Test
    void malformedLinesAreReported() {
        for (String line :
                List.of(
                        "Fleet",
                        "Fleet |",
                        "| Autoscaler",
                        "a b | c",
                        "a | b | c | d",
                        "a-b | c")) {
            IllegalArgumentException problem =
                    assertThrows(
                            IllegalArgumentException.class,
                            () -> WithdrawnWords.parse("words.txt", List.of("# list", line)),
                            line);
            assertEquals(
                    "words.txt:2: malformed: '"
                            + line
                            + "'; write 'word | use instead' or 'word | use instead | package'",
                    problem.getMessage());
        }
    }

    @Test
    void duplicateLinesAreReported() {
        for (String second : List.of("Fleet | b", "Fleet | b | scheduler", "Fleet | a")) {
            IllegalArgumentException problem =
                    assertThrows(
                            IllegalArgumentException.class,
                            () -> WithdrawnWords.parse("words.txt", List.of("Fleet | a", second)),
                            second);
            assertEquals(
                    "words.txt:2: Fleet is already listed; keep one of the two lines",
                    problem.getMessage());
        }
        List<String> apart = List.of("Offer | a | delegation", "Offer | b | scheduler");
        assertEquals(2, WithdrawnWords.parse("words.txt", apart).entries().size());
    }

    @Test
    void typeNamesAreFoundInCodeAsWholeNames() {
        WithdrawnWords words = WithdrawnWords.parse("words.txt", List.of("Check | PromotionCheck"));
        String source =
                """
                package p;
                /** Check this. */
                class A extends Check {
                    PromotionCheck other = new Check("Check this", '"');
                }
                """;
        assertEquals(
                List.of(
                        "A.java:3: withdrawn word 'Check' in 'Check'; use PromotionCheck",
                        "A.java:4: withdrawn word 'Check' in 'Check'; use PromotionCheck"),
                words.find("A.java", "io.kelphoist.p", source));
    }

    @Test
    void otherWordsAreFoundInNamesCommentsAndText() {
        WithdrawnWords words = WithdrawnWords.parse("words.txt", List.of("helm | fencing token"));
        String source =
                """
                // The helm.
                int newHelm;
                int HELM_LIMIT;
                String wire = "helm";
                String log = "old helm refused";
                int overwhelmed;
                """;
        assertEquals(
                List.of(
                        "A.java:1: withdrawn word 'helm' in 'helm'; use fencing token",
                        "A.java:2: withdrawn word 'helm' in 'newHelm'; use fencing token",
                        "A.java:3: withdrawn word 'helm' in 'HELM_LIMIT'; use fencing token",
                        "A.java:5: withdrawn word 'helm' in 'helm'; use fencing token"),
                words.find("A.java", "io.kelphoist.p", source));
    }

    @Test
    void wordsOfOnePackageAreAllowedInOthers() {
        WithdrawnWords words =
                WithdrawnWords.parse("words.txt", List.of("Reader | Subscriber | events"));
        assertEquals(1, words.find("A.java", "io.kelphoist.events", "Reader r;").size());
        assertEquals(1, words.find("A.java", "io.kelphoist.events.feed", "Reader r;").size());
        assertEquals(0, words.find("A.java", "io.kelphoist.state", "Reader r;").size());
        assertEquals(0, words.find("A.java", "io.kelphoist.eventsource", "Reader r;").size());
    }

    private static List<String> packagesFreeOfWithdrawnWords() throws IOException {
        List<String> lines = Files.readAllLines(PACKAGES);
        Set<String> seen = new HashSet<>();
        List<String> packages = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            String place = PACKAGES + ":" + (i + 1) + ": ";
            assertTrue(
                    WithdrawnWords.isWithin(line, WithdrawnWords.ROOT),
                    () -> place + line + " is not the full name of a package");
            assertTrue(
                    Files.isDirectory(directoryOf(line)),
                    () -> place + "there is no package " + line + " in " + SOURCES);
            assertTrue(seen.add(line), () -> place + line + " is already listed; remove it");
            packages.add(line);
        }
        return packages;
    }

    private static Path directoryOf(String packageName) {
        return SOURCES.resolve(packageName.replace('.', '/'));
    }

    private static String packageOf(Path file) {
        return SOURCES.relativize(file.getParent()).toString().replace('/', '.');
    }

    private static List<Path> sourceFiles(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            return files.filter(file -> file.toString().endsWith(".java")).sorted().toList();
        }
    }
}
