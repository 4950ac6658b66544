package io.kelphoist.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against renaming a name on which other processes, stored records, settings or operators'
 * tools rely: each listed name must still occur in the sources, the deploy files, the golden files
 * or the build file.
 */
class ExternalNamesTest {
    private static final Path NAMES = Path.of("src/test/resources/external-names.txt");
    private static final List<Path> SEARCHED_PATHS =
            List.of(
                    Path.of("src/main"),
                    Path.of("deploy"),
                    Path.of("src/test/resources/contract"),
                    Path.of("pom.xml"));

    @Test
    void listedNamesStillOccur() throws IOException {
        String text = textOfAllFiles();
        List<String> names =
                Files.readAllLines(NAMES).stream().filter(line -> !line.startsWith("#")).toList();
        assertTrue(
                names.size() > 500,
                "expected more than 500 names in " + NAMES + ", found " + names.size());
        assertEquals(
                List.of(),
                names.stream().filter(name -> !occurs(name, text)).toList(),
                "expected that each name in " + NAMES + " occurs, missing names:");
    }

    private static boolean occurs(String name, String text) {
        return Pattern.compile("(?<!\\w)" + Pattern.quote(name) + "(?!\\w)").matcher(text).find();
    }

    private static String textOfAllFiles() throws IOException {
        StringBuilder text = new StringBuilder();
        for (Path path : SEARCHED_PATHS) {
            try (Stream<Path> paths = Files.walk(path)) {
                text.append(
                        paths.filter(Files::isRegularFile)
                                .map(ExternalNamesTest::read)
                                .collect(Collectors.joining("\n")));
            }
        }
        return text.toString();
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
