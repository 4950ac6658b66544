package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.ChannelCredentials;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.TlsChannelCredentials;
import io.kelphoist.cli.UserCommands;
import io.kelphoist.client.KelphoistClient;
import io.kelphoist.config.InvalidSettingsException;
import io.kelphoist.config.OperatorSettings;
import io.kelphoist.grpc.v1.Job;
import io.kelphoist.grpc.v1.Kind;
import io.kelphoist.grpc.v1.WatchRequest;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.security.KeyStore;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.function.Executable;

/**
 * gRPC with TLS, and the users' commands, with an operators' settings file. Guards against clients
 * that get more than their certificate permits, certificates that are replaced only by a restart,
 * and errors in the settings that do not name the field.
 */
@Timeout(90)
class GrpcTlsTest extends LocalClusterFixture {
    private static final char[] KEY_STORE_PASSWORD = "changeit".toCharArray();

    /** Writes a key and its self-signed certificate as two PEM files. */
    private static void writeKeyPair(Path dir, String file, String name) throws Exception {
        Path store = dir.resolve(file + ".p12");
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString(),
                                "-genkeypair",
                                "-alias",
                                "k",
                                "-keyalg",
                                "EC",
                                "-groupname",
                                "secp256r1",
                                "-dname",
                                "CN=" + name,
                                "-ext",
                                "san=ip:127.0.0.1",
                                "-validity",
                                "3650",
                                "-storetype",
                                "PKCS12",
                                "-keystore",
                                store.toString(),
                                "-storepass",
                                new String(KEY_STORE_PASSWORD))
                        .redirectErrorStream(true)
                        .start();
        process.getInputStream().readAllBytes();
        assertEquals(0, process.waitFor(), "exit code of keytool for " + store);
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (InputStream input = Files.newInputStream(store)) {
            keys.load(input, KEY_STORE_PASSWORD);
        }
        writePem(dir.resolve(file + ".pem"), "CERTIFICATE", keys.getCertificate("k").getEncoded());
        writePem(
                dir.resolve(file + ".key"),
                "PRIVATE KEY",
                keys.getKey("k", KEY_STORE_PASSWORD).getEncoded());
    }

    private static void writePem(Path file, String type, byte[] der) throws IOException {
        Files.writeString(
                file,
                "-----BEGIN "
                        + type
                        + "-----\n"
                        + Base64.getMimeEncoder(/* lineLength= */ 64, new byte[] {'\n'})
                                .encodeToString(der)
                        + "\n-----END "
                        + type
                        + "-----\n");
    }

    @Override
    OperatorSettings operatorSettings() {
        try {
            Path file = dir.resolve("operator");
            if (!Files.exists(file)) {
                writeKeyPair(dir, "server", "controller");
                writeKeyPair(dir, "mapper", "mapper");
                writeKeyPair(dir, "unlisted", "unlisted");
                Files.writeString(
                        dir.resolve("clients.pem"),
                        Files.readString(dir.resolve("mapper.pem"))
                                + Files.readString(dir.resolve("unlisted.pem")));
                Files.writeString(
                        dir.resolve("keys"),
                        "# the first key signs\n7 "
                                + Base64.getEncoder().encodeToString(new byte[32])
                                + "\n");
                Files.writeString(
                        file,
                        """
                        leader_lease_ms: 600 grant_ms: 500
                        grpc { listen: "127.0.0.1:0" cursor_keys: "keys" submissions_per_team: 1
                          tls { certificate: "server.pem" key: "server.key" client_ca: "clients.pem" }
                          clients { name: "mapper" teams: "t" } }
                        """);
            }
            return OperatorSettings.read(file);
        } catch (Exception e) {
            throw new IllegalStateException("can't write and read the settings in " + dir, e);
        }
    }

    /**
     * Creates a client of the first controller.
     *
     * @param name file name of the client's key and certificate
     * @param trusted file name of the certificate that the client accepts from the server
     */
    private KelphoistClient newClient(String name, String trusted, int maxAttempts)
            throws IOException {
        ChannelCredentials credentials =
                TlsChannelCredentials.newBuilder()
                        .trustManager(dir.resolve(trusted + ".pem").toFile())
                        .keyManager(
                                dir.resolve(name + ".pem").toFile(),
                                dir.resolve(name + ".key").toFile())
                        .build();
        return new KelphoistClient(
                List.of("127.0.0.1:" + controllers.get(0).grpcPort()), credentials, maxAttempts);
    }

    private static Job job(String id, String team) {
        return job(id, team, Kind.KIND_ARRAY, 1);
    }

    private static Status.Code statusCodeOf(Executable request) {
        return assertThrows(StatusRuntimeException.class, request).getStatus().getCode();
    }

    /**
     * A client acts only for the teams that the settings list for its certificate. One that is not
     * listed may do nothing and does not learn which jobs exist. A client that does not trust the
     * server's certificate does not connect.
     */
    @Test
    void certificateDeterminesPermissions() throws Exception {
        try (KelphoistClient mapper = newClient("mapper", "server", /* maxAttempts= */ 20);
                KelphoistClient unlisted = newClient("unlisted", "server", /* maxAttempts= */ 1);
                KelphoistClient withWrongCa = newClient("mapper", "mapper", /* maxAttempts= */ 1)) {
            assertTrue(mapper.submit(job("job-1", "t")).getCreated());
            assertEquals(
                    Status.Code.PERMISSION_DENIED,
                    statusCodeOf(() -> mapper.submit(job("job-2", "u"))));
            assertEquals(
                    Status.Code.PERMISSION_DENIED,
                    statusCodeOf(() -> unlisted.submit(job("job-2", "t"))));
            assertEquals(
                    Status.Code.PERMISSION_DENIED,
                    statusCodeOf(
                            () ->
                                    unlisted.watch(
                                            WatchRequest.getDefaultInstance(), event -> false)));
            assertEquals(Status.Code.NOT_FOUND, statusCodeOf(() -> unlisted.get("job-1")));
            assertEquals(Status.Code.NOT_FOUND, statusCodeOf(() -> unlisted.cancel("job-1")));
            assertEquals(
                    Status.Code.NOT_FOUND,
                    statusCodeOf(
                            () ->
                                    unlisted.watch(
                                            WatchRequest.newBuilder().addJobs("job-1").build(),
                                            event -> false)));
            assertEquals(Status.Code.UNAVAILABLE, statusCodeOf(() -> withWrongCa.get("job-1")));
            assertSubmissionsAreRateLimited();
            assertTrue(mapper.submit(job("job-77", "t")).getCreated());
        }
    }

    /**
     * Checks that a client that does not retry gets an error above the rate limit of submissions.
     * The caller checks that a client with retries succeeds afterwards.
     */
    private void assertSubmissionsAreRateLimited() throws IOException, InterruptedException {
        try (KelphoistClient withoutRetries = newClient("mapper", "server", /* maxAttempts= */ 1)) {
            Status.Code code = null;
            for (int i = 3; i < 60 && code == null; i++) {
                try {
                    withoutRetries.submit(job("job-" + i, "t"));
                } catch (StatusRuntimeException e) {
                    code = e.getStatus().getCode();
                }
            }
            assertEquals(
                    Status.Code.RESOURCE_EXHAUSTED,
                    code,
                    "status of the first rejected one of up to 57 submissions");
        }
    }

    /**
     * The server uses a replaced certificate without a restart. While the files are invalid it goes
     * on with the previous certificate.
     */
    @Test
    void replacedCertificateIsUsedWithoutRestart() throws Exception {
        try (KelphoistClient before = newClient("mapper", "server", /* maxAttempts= */ 20)) {
            before.submit(job("job-1", "t"));
        }
        Files.writeString(dir.resolve("server.key"), "not a PEM file");
        touch("server.key", /* minutesFromNow= */ 1);
        // The server reads the files again each second; calls succeed while the key is invalid.
        for (int i = 0; i < 3; i++) {
            try (KelphoistClient during = newClient("mapper", "server", /* maxAttempts= */ 20)) {
                assertEquals("job-1", during.get("job-1").getId());
            }
        }
        writeKeyPair(dir, "second", "controller");
        Files.copy(
                dir.resolve("second.pem"),
                dir.resolve("server.pem"),
                StandardCopyOption.REPLACE_EXISTING);
        Files.copy(
                dir.resolve("second.key"),
                dir.resolve("server.key"),
                StandardCopyOption.REPLACE_EXISTING);
        touch("server.pem", /* minutesFromNow= */ 2);
        touch("server.key", /* minutesFromNow= */ 2);
        try (KelphoistClient after = newClient("mapper", "second", /* maxAttempts= */ 60)) {
            assertEquals("job-1", after.get("job-1").getId());
        }
    }

    /** Sets a file's modification time to the given number of minutes from now. */
    private void touch(String file, int minutesFromNow) throws IOException {
        Files.setLastModifiedTime(
                dir.resolve(file),
                FileTime.fromMillis(System.currentTimeMillis() + minutesFromNow * 60_000L));
    }

    /** Runs a user's command, checks its exit status and returns what it printed. */
    private String outputOf(int expectedStatus, String... arguments) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream output = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        int status = UserCommands.run(arguments, output, output);
        String text = bytes.toString(StandardCharsets.UTF_8);
        assertEquals(expectedStatus, status, text);
        return text;
    }

    /** As {@link #outputOf}, with the options that connect to the second controller over TLS. */
    private String connectedOutputOf(int expectedStatus, String command, String... arguments) {
        List<String> commandLine = new ArrayList<>(List.of(command));
        commandLine.addAll(List.of("--to", "127.0.0.1:" + controllers.get(1).grpcPort()));
        commandLine.addAll(List.of("--ca", dir.resolve("server.pem").toString()));
        commandLine.addAll(List.of("--cert", dir.resolve("mapper.pem").toString()));
        commandLine.addAll(List.of("--key", dir.resolve("mapper.key").toString()));
        commandLine.addAll(List.of(arguments));
        return outputOf(expectedStatus, commandLine.toArray(String[]::new));
    }

    private static void assertContains(String expected, String output) {
        assertTrue(output.contains(expected), () -> "expected '" + expected + "' in: " + output);
    }

    /**
     * Each of the users' commands runs against a controller. The exit code is 1 if the command
     * fails and 2 if a required option is missing, and errors name what is wrong.
     */
    @Test
    void userCommandsWork() throws Exception {
        Path file =
                Files.writeString(
                        dir.resolve("job.json"),
                        """
                {"id": "job-5", "job_class": "c", "team": "t", "kind": "KIND_ARRAY", "tasks": 2, "cpus": 1, "gpus": 1, "memory_gb": 1,
                 "image": "i", "image_gb": 1, "estimate_s": 1}""");
        String submitted = connectedOutputOf(0, "submit", "--watch", file.toString());
        assertContains("job-5", submitted);
        assertContains("done", submitted);
        assertContains(
                "\"phase\":\"PHASE_DONE\"",
                connectedOutputOf(0, "get", "--output", "json", "job-5"));
        connectedOutputOf(0, "watch", "--cursors", "job-5");
        assertContains("not found: there is no such job", connectedOutputOf(1, "cancel", "job-6"));
        assertContains(
                "cursor is damaged", connectedOutputOf(1, "watch", "--cursor", "AAAA", "job-5"));
        // The option --to is missing.
        outputOf(2, "watch", "job-5");
        Files.writeString(file, "{\"id\": \"job-6\", \"colour\": 1}");
        assertContains("colour", connectedOutputOf(1, "submit", file.toString()));
    }

    /** An error in the operators' settings of gRPC names the field, or the line of the key file. */
    @Test
    void invalidSettingsAreNamed() throws IOException {
        Path file = dir.resolve("wrong");
        Files.writeString(dir.resolve("short"), "1 AAAA\n");
        // Each row: the settings of grpc, and a part of the message that names the field or the
        // line.
        for (String[] invalid :
                new String[][] {
                    {"listen: \"nowhere\"", "grpc.listen"},
                    {"listen: \"192.0.2.1:1\" cursor_keys: \"keys\"", "grpc.tls"},
                    {"listen: \"127.0.0.1:1\"", "grpc.cursor_keys"},
                    {"listen: \"127.0.0.1:1\" cursor_keys: \"short\"", "short line 1"},
                    {
                        "listen: \"127.0.0.1:1\" cursor_keys: \"keys\" tls { certificate: \"none.pem\" }",
                        "grpc.tls.certificate"
                    },
                    {
                        "listen: \"127.0.0.1:1\" cursor_keys: \"keys\" clients { name: \"a\" all_teams: true }",
                        "grpc.clients"
                    },
                    {
                        "listen: \"127.0.0.1:1\" cursor_keys: \"keys\" clients { name: \"a\" }",
                        "grpc.clients[0]"
                    },
                    {"listen: \"127.0.0.1:1\" cursor_keys: \"keys\" buffered: 1", "grpc.buffered"},
                }) {
            Files.writeString(file, "grpc { " + invalid[0] + " }");
            String message =
                    assertThrows(InvalidSettingsException.class, () -> OperatorSettings.read(file))
                            .getMessage();
            assertTrue(
                    message.contains(invalid[1]),
                    () -> "expected '" + invalid[1] + "' in the message: " + message);
        }
    }
}
