package io.kelphoist.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Reading of the platform's settings file, valid and invalid, and of the operators' file. Guards
 * against errors that do not name the invalid field, and against a field that is read with another
 * meaning.
 */
class PlatformSettingsTest {
    /** Valid settings; {@code news} is not a field that is read, and must be ignored. */
    private static final String VALID =
            """
            {"label":"a","site":"z","serve_on":"127.0.0.1:80","peer_listen":"127.0.0.1:81","news":1,
             "known":[{"label":"b","site":"z","peer_addr":"127.0.0.1:82"}],
             "external":{"cloud":"127.0.0.1:1","state":"127.0.0.1:2"},
             "cluster":{"zones":["z"],"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":4,"gpus_max":8}],
             "workers":{"report_s":1,"lease_s":9,"gang_wait_s":9,"gang_peer_s":9,"cancel_s":9},
             "state":{"rps":100,"write_rps":100,"value_kb":4,"txn_ops":8},"cloud":{"rps":5,"list_lag_s":4}}}""";

    @TempDir private Path dir;

    /** Writes a settings file. */
    private Path file(String text) throws IOException {
        return Files.writeString(dir.resolve("settings"), text);
    }

    @Test
    void readsSettings() throws IOException, InvalidSettingsException {
        PlatformSettings settings = PlatformSettings.read(file(VALID));
        assertEquals(2, settings.controllerCount());
        assertEquals(8, settings.teams().get(0).limit().gpus());
        assertEquals(Double.POSITIVE_INFINITY, settings.teams().get(0).limit().cpus());
    }

    /** A part of the valid settings, its invalid replacement, and the end of the error message. */
    static Stream<Arguments> invalidSettings() {
        return Stream.of(
                Arguments.of(
                        "{\"label\":\"a\"",
                        "{\"label\":3",
                        "label: is not text: expected a non-empty string, found 3"),
                Arguments.of(
                        "127.0.0.1:80\"", "127.0.0.1\"", "serve_on: '127.0.0.1' is not host:port"),
                Arguments.of("\"lease_s\":9,", "", "cluster.workers.lease_s: is missing"),
                Arguments.of(
                        "\"gpus\":4",
                        "\"gpus\":-4",
                        "cluster.teams[0].gpus: is not an amount: expected a number of at least 0,"
                                + " found -4"),
                Arguments.of(
                        "\"label\":\"b\"",
                        "\"label\":\"a\"",
                        "known[0].label: 'a' is also the label of this controller or of an earlier entry"),
                Arguments.of(
                        "\"rps\":100,\"write",
                        "\"rps\":0,\"write",
                        "cluster.state.rps: is not positive: expected a number above 0, found 0.0"),
                Arguments.of(
                        "\"txn_ops\":8",
                        "\"txn_ops\":8,\"next\":3",
                        "cluster.state.next: is not a map: expected a JSON object, found 3"),
                Arguments.of(
                        "\"txn_ops\":8",
                        "\"txn_ops\":8,\"next\":{\"value_kb\":0}",
                        "cluster.state.next.value_kb: is not positive: expected a number above 0,"
                                + " found 0.0"),
                Arguments.of(
                        "\"txn_ops\":8",
                        "\"txn_ops\":8,\"next\":{\"write_rps\":\"x\"}",
                        "cluster.state.next.write_rps: is not an amount: expected a number of at"
                                + " least 0, found \"x\""),
                Arguments.of("{\"label\"", "{,\"label\"", "not JSON at line 1"));
    }

    @ParameterizedTest
    @MethodSource("invalidSettings")
    void namesTheInvalidSetting(String valid, String invalid, String message) throws IOException {
        Path file = file(VALID.replace(valid, invalid));
        InvalidSettingsException error =
                assertThrows(InvalidSettingsException.class, () -> PlatformSettings.read(file));
        assertTrue(
                error.getMessage().endsWith(message),
                () -> "expected '" + message + "' at the end of: " + error.getMessage());
    }

    /**
     * A guarantee and a limit of 0 mean that there is none. Guards against a team without any
     * guarantee that gets an unbounded one because it has no limit either.
     */
    @Test
    void teamWithoutGuaranteeIsAGuest() throws IOException, InvalidSettingsException {
        PlatformSettings settings =
                PlatformSettings.read(
                        file(
                                VALID.replace(
                                        "\"gpus\":4,\"gpus_max\":8", "\"gpus\":0,\"gpus_max\":0")));
        assertTrue(
                settings.teams().get(0).isGuest(),
                "a team with neither guarantee nor limit is a guest");
        assertEquals(Double.POSITIVE_INFINITY, settings.teams().get(0).limit().gpus());
        assertFalse(
                PlatformSettings.read(file(VALID)).teams().get(0).isGuest(),
                "a team with a guarantee is not a guest");
        PlatformSettings limited =
                PlatformSettings.read(file(VALID.replace("\"gpus\":4", "\"gpus\":0")));
        assertTrue(
                limited.teams().get(0).isGuest(),
                "a team with a limit and no guarantee is a guest");
        assertEquals(8, limited.teams().get(0).limit().gpus());
    }

    /**
     * The state store's limits may change at any time, so the smaller ones apply from the start.
     */
    @Test
    void appliesTheSmallerOfCurrentAndNextLimits() throws IOException, InvalidSettingsException {
        PlatformSettings settings =
                PlatformSettings.read(
                        file(
                                VALID.replace(
                                        "\"txn_ops\":8",
                                        "\"txn_ops\":8,\"next\":{\"write_rps\":200,\"value_kb\":2,\"news\":0}")));
        assertEquals(
                new PlatformSettings.StateLimits(
                        /* requestsPerSecond= */ 100,
                        /* writesPerSecond= */ 100,
                        /* maxValueKilobytes= */ 2,
                        /* maxTransactionChanges= */ 8),
                settings.stateLimits());
    }

    @Test
    void readsOperatorSettings() throws IOException, InvalidSettingsException {
        OperatorSettings settings =
                OperatorSettings.read(file("# comment\nheadroom: 0.25 leader_lease_ms: 4000"));
        assertEquals(0.25, settings.headroom());
        assertEquals(4000, settings.leaderLeaseMillis());
        assertEquals(OperatorSettings.DEFAULTS.idleSeconds(), settings.idleSeconds());
        assertEquals(OperatorSettings.DEFAULTS, OperatorSettings.read(file("")));
        Path outOfRange = file("headroom: 99");
        assertTrue(
                assertThrows(
                                InvalidSettingsException.class,
                                () -> OperatorSettings.read(outOfRange))
                        .getMessage()
                        .contains("headroom: 99.0 is not within"));
        Path malformed = file("headroom: \n offer_s x");
        assertTrue(
                assertThrows(InvalidSettingsException.class, () -> OperatorSettings.read(malformed))
                        .getMessage()
                        .contains("line "));
    }
}
