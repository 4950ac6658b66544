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

/** gRPC with certificates, and the users' commands, configured by an operators' settings file. */
@Timeout(90)
class GrpcTlsTest extends LocalClusterFixture {
    private static final char[] SECRET = "changeit".toCharArray();

    /** A key pair that signs itself, as two PEM files. */
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
                                new String(SECRET))
                        .redirectErrorStream(true)
                        .start();
        process.getInputStream().readAllBytes();
        assertEquals(0, process.waitFor());
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (InputStream input = Files.newInputStream(store)) {
            keys.load(input, SECRET);
        }
        writePem(dir.resolve(file + ".pem"), "CERTIFICATE", keys.getCertificate("k").getEncoded());
        writePem(dir.resolve(file + ".key"), "PRIVATE KEY", keys.getKey("k", SECRET).getEncoded());
    }

    private static void writePem(Path file, String type, byte[] der) throws IOException {
        Files.writeString(
                file,
                "-----BEGIN "
                        + type
                        + "-----\n"
                        + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(der)
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
                writeKeyPair(dir, "stranger", "stranger");
                Files.writeString(
                        dir.resolve("clients.pem"),
                        Files.readString(dir.resolve("mapper.pem"))
                                + Files.readString(dir.resolve("stranger.pem")));
                Files.writeString(
                        dir.resolve("keys"),
                        "# the first seals\n7 "
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
            throw new IllegalStateException(e);
        }
    }

    private KelphoistClient newClient(String name, String trusted, int tries) throws IOException {
        ChannelCredentials credentials =
                TlsChannelCredentials.newBuilder()
                        .trustManager(dir.resolve(trusted + ".pem").toFile())
                        .keyManager(
                                dir.resolve(name + ".pem").toFile(),
                                dir.resolve(name + ".key").toFile())
                        .build();
        return new KelphoistClient(
                List.of("127.0.0.1:" + controllers.get(0).grpcPort()), credentials, tries);
    }

    private static Job job(String id, String team) {
        return job(id, team, Kind.KIND_ARRAY, 1);
    }

    private static Status.Code statusCodeOf(Executable request) {
        return assertThrows(StatusRuntimeException.class, request).getStatus().getCode();
    }

    @Test
    void certificateDeterminesPermissions() throws Exception {
        try (KelphoistClient mapper = newClient("mapper", "server", 20);
                KelphoistClient stranger = newClient("stranger", "server", 1);
                KelphoistClient deceived = newClient("mapper", "mapper", 1)) {
            assertTrue(mapper.submit(job("job-1", "t")).getCreated());
            assertEquals(
                    Status.Code.PERMISSION_DENIED,
                    statusCodeOf(() -> mapper.submit(job("job-2", "u"))));
            assertEquals(
                    Status.Code.PERMISSION_DENIED,
                    statusCodeOf(() -> stranger.submit(job("job-2", "t"))));
            assertEquals(
                    Status.Code.PERMISSION_DENIED,
                    statusCodeOf(
                            () ->
                                    stranger.watch(
                                            WatchRequest.getDefaultInstance(), event -> false)));
            assertEquals(Status.Code.NOT_FOUND, statusCodeOf(() -> stranger.get("job-1")));
            assertEquals(Status.Code.NOT_FOUND, statusCodeOf(() -> stranger.cancel("job-1")));
            assertEquals(
                    Status.Code.NOT_FOUND,
                    statusCodeOf(
                            () ->
                                    stranger.watch(
                                            WatchRequest.newBuilder().addJobs("job-1").build(),
                                            event -> false)));
            assertEquals(Status.Code.UNAVAILABLE, statusCodeOf(() -> deceived.get("job-1")));
            assertRequestsAreRateLimited();
            assertTrue(mapper.submit(job("job-77", "t")).getCreated());
        }
    }

    /** Beyond its rate limit a client that does not retry is refused; others retry later. */
    private void assertRequestsAreRateLimited() throws IOException, InterruptedException {
        try (KelphoistClient once = newClient("mapper", "server", 1)) {
            Status.Code code = null;
            for (int i = 3; i < 60 && code == null; i++) {
                try {
                    once.submit(job("job-" + i, "t"));
                } catch (StatusRuntimeException e) {
                    code = e.getStatus().getCode();
                }
            }
            assertEquals(Status.Code.RESOURCE_EXHAUSTED, code);
        }
    }

    /**
     * A new certificate is used without a restart; an invalid one is not, and the previous one
     * stays in use.
     */
    @Test
    void replacedCertificateIsUsedWithoutRestart() throws Exception {
        try (KelphoistClient before = newClient("mapper", "server", 20)) {
            before.submit(job("job-1", "t"));
        }
        Files.writeString(dir.resolve("server.key"), "nothing of the kind");
        touch("server.key", 1);
        // The files are read again each second; these calls succeed while one is invalid.
        for (int i = 0; i < 3; i++) {
            try (KelphoistClient still = newClient("mapper", "server", 20)) {
                assertEquals("job-1", still.get("job-1").getId());
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
        touch("server.pem", 2);
        touch("server.key", 2);
        try (KelphoistClient after = newClient("mapper", "second", 60)) {
            assertEquals("job-1", after.get("job-1").getId());
        }
    }

    private void touch(String file, int minutes) throws IOException {
        Files.setLastModifiedTime(
                dir.resolve(file),
                FileTime.fromMillis(System.currentTimeMillis() + minutes * 60_000L));
    }

    /** What a user's command has printed, after its exit status was checked. */
    private String outputOf(int expectedStatus, String... arguments) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream output = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        int status = UserCommands.run(arguments, output, output);
        String text = bytes.toString(StandardCharsets.UTF_8);
        assertEquals(expectedStatus, status, text);
        return text;
    }

    /** The same for a command that connects to a controller with certificates. */
    private String connectedOutputOf(int expectedStatus, String command, String... arguments) {
        List<String> all = new ArrayList<>(List.of(command));
        all.addAll(List.of("--to", "127.0.0.1:" + controllers.get(1).grpcPort()));
        all.addAll(List.of("--ca", dir.resolve("server.pem").toString()));
        all.addAll(List.of("--cert", dir.resolve("mapper.pem").toString()));
        all.addAll(List.of("--key", dir.resolve("mapper.key").toString()));
        all.addAll(List.of(arguments));
        return outputOf(expectedStatus, all.toArray(String[]::new));
    }

    private static void assertContains(String expected, String output) {
        assertTrue(output.contains(expected), output);
    }

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
        outputOf(2, "watch", "job-5");
        Files.writeString(file, "{\"id\": \"job-6\", \"colour\": 1}");
        assertContains("colour", connectedOutputOf(1, "submit", file.toString()));
    }

    @Test
    void invalidSettingsAreNamed() throws IOException {
        Path file = dir.resolve("wrong");
        Files.writeString(dir.resolve("short"), "1 AAAA\n");
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
            assertTrue(message.contains(invalid[1]), message);
        }
    }
}
