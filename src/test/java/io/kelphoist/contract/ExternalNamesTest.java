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
 * Guards against renaming what other processes, stored records, settings or operators' tools rely
 * on: each listed name still occurs in the sources, the deploy files or the golden files.
 */
class ExternalNamesTest {
    private static final Path NAMES = Path.of("src/test/resources/external-names.txt");
    private static final List<Path> HOLDERS =
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
        assertTrue(names.size() > 500, names.size() + " names");
        assertEquals(List.of(), names.stream().filter(name -> !occurs(name, text)).toList());
    }

    private static boolean occurs(String name, String text) {
        return Pattern.compile("(?<!\\w)" + Pattern.quote(name) + "(?!\\w)").matcher(text).find();
    }

    private static String textOfAllFiles() throws IOException {
        StringBuilder text = new StringBuilder();
        for (Path holder : HOLDERS) {
            try (Stream<Path> paths = Files.walk(holder)) {
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
