package io.kelphoist.logs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Log lines as JSON. Guards against log lines without the fields by which operators search (job,
 * task, attempt, machine and term), because the appender does not find them in the message, or the
 * encoder does not write them.
 */
class JsonFieldsAppenderTest {
    private static Map<String, Object> fields(String template, Object... arguments) {
        return JsonFieldsAppender.extractFields(template, arguments).stream()
                .collect(Collectors.toMap(field -> field.key, field -> field.value));
    }

    @Test
    void wordsBeforePlaceholdersBecomeFieldNames() {
        assertEquals(
                Map.of("machine", "vm-1"), fields("machine {} is silent since {} s", "vm-1", 5));
        assertEquals(
                Map.of("job", "job-1", "task", 3, "attempt", 9L, "machine", "vm-1"),
                fields("task {}/{} attempt {} on {} exited: {}", "job-1", 3, 9L, "vm-1", "DONE"));
        assertEquals(
                Map.of("term", 4L),
                fields("term {}: {} machines and {} jobs read after {} ms", 4L, 1, 2, 3L));
        assertEquals(Map.of(), fields("nothing {}", 1));
        assertEquals(Map.of("job", "job-1"), fields("job {} and {}", "job-1"));
    }

    @Test
    void keysBeforePlaceholdersBecomeFieldNames() {
        assertEquals(
                Map.of("job", "job-1", "task", 3, "attempt", 9L, "machine", "vm-1", "term", 4L),
                fields(
                        "task exited: job={} task={} attempt={} machine={} term={} reason={}",
                        "job-1",
                        3,
                        9L,
                        "vm-1",
                        4L,
                        "DONE"));
        assertEquals(Map.of(), fields("machine list received: entries={}", 7));
    }

    /** A line that a separate process logs with logback.xml is valid JSON with these fields. */
    @Test
    void logLineIsJson() throws Exception {
        Process process =
                new ProcessBuilder(
                                java.nio.file.Path.of(
                                                System.getProperty("java.home"), "bin", "java")
                                        .toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "-Dslf4j.provider=ch.qos.logback.classic.spi.LogbackServiceProvider",
                                "-Dslf4j.internal.verbosity=WARN",
                                JsonFieldsAppenderTest.class.getName())
                        .start();
        List<String> lines =
                new String(
                                process.getErrorStream().readAllBytes(),
                                java.nio.charset.StandardCharsets.UTF_8)
                        .lines()
                        .toList();
        assertEquals(0, process.waitFor(), () -> "exit code of the logging process: " + lines);
        assertEquals(1, lines.size(), () -> "expected one line of JSON: " + lines);
        JsonNode line = new ObjectMapper().readTree(lines.get(0));
        assertEquals("vm-1", line.findValue("machine").asText());
        assertEquals("7", line.path("mdc").path("term").asText());
        assertEquals(
                "machine vm-1 is up",
                line.path("formattedMessage")
                        .asText(line.path("message").asText())
                        .replace("{}", "vm-1"));
    }

    /** The process of {@link #logLineIsJson}. */
    public static void main(String[] args) {
        org.slf4j.MDC.put("term", "7");
        org.slf4j.LoggerFactory.getLogger("x").info("machine {} is up", "vm-1");
    }
}
