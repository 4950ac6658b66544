package io.kelphoist.contract;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.net.HostAndPort;
import io.kelphoist.config.GrpcSettings;
import io.kelphoist.config.OperatorSettings;
import io.kelphoist.config.PlatformSettings;
import io.kelphoist.controller.ControllerProcess;
import io.kelphoist.emulator.LoopbackPorts;
import io.kelphoist.model.Resources;
import io.kelphoist.model.Team;
import io.kelphoist.wire.JobCodec;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/**
 * Runs a whole controller on loopback against {@link LoopbackServices}. Has the requests that
 * contract tests send to the controller, and the waits for requests that it sends itself.
 */
@Timeout(30)
abstract class RunningControllerFixture {
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;
    private static final GrpcSettings GRPC_SETTINGS =
            new GrpcSettings(
                    HostAndPort.fromParts("127.0.0.1", 0),
                    List.of(
                            new GrpcSettings.CursorKey(
                                    1,
                                    "a secret of 24 bytes....".getBytes(StandardCharsets.UTF_8))),
                    /* tls= */ Optional.empty(),
                    /* accessByClient= */ Map.of(),
                    /* maxStreams= */ 100,
                    /* maxStreamsPerClient= */ 10,
                    /* maxBufferedEvents= */ 64,
                    /* maxRetainedEndedJobs= */ 500,
                    /* stallTimeoutSeconds= */ 30,
                    /* submissionsPerSecondPerTeam= */ 20);
    private static final OperatorSettings OPERATOR_SETTINGS =
            new OperatorSettings(
                    /* leaderLeaseMillis= */ 2000,
                    /* grantMillis= */ 500,
                    /* machineHoldBackoffSeconds= */ 5,
                    /* localityWaitSeconds= */ 1,
                    /* machineHoldSeconds= */ 20,
                    /* gangReservationSeconds= */ 15,
                    /* headroom= */ 0.1,
                    /* idleSeconds= */ 40,
                    /* leaseDelegation= */ true,
                    /* standby= */ true,
                    Optional.of(GRPC_SETTINGS),
                    /* traceCollector= */ Optional.empty());

    /** How long {@link #awaitShape} waits: 20 s to compare, 5 s to write golden files. */
    private static final long SHAPE_TIMEOUT_NANOS =
            Boolean.getBoolean("contract.write") ? 5_000_000_000L : 20_000_000_000L;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    LoopbackServices services;
    ControllerProcess controller;

    /** The address at which the controller serves users and workers. */
    String address;

    /** The address at which the controller serves other controllers. */
    String peerAddress;

    void startController() throws IOException {
        address = LoopbackPorts.nextFreeAddress();
        peerAddress = LoopbackPorts.nextFreeAddress();
        List<Team> teams =
                List.of(
                        new Team(
                                "vision",
                                new Resources(/* cpus= */ 100, /* gpus= */ 16, UNLIMITED),
                                new Resources(/* cpus= */ 400, /* gpus= */ 32, UNLIMITED)));
        PlatformSettings settings =
                new PlatformSettings(
                        "hoist-1",
                        "a",
                        address,
                        peerAddress,
                        List.of(new PlatformSettings.Peer("hoist-2", "b", services.peerAddress)),
                        services.cloudAddress,
                        services.stateStoreAddress,
                        List.of("a", "b"),
                        teams,
                        new PlatformSettings.Workers(
                                /* heartbeatIntervalSeconds= */ 1,
                                /* leaseSeconds= */ 6,
                                /* gangWaitSeconds= */ 60,
                                /* gangPeerSeconds= */ 7,
                                /* cancelSeconds= */ 40),
                        new PlatformSettings.StateLimits(
                                /* requestsPerSecond= */ 1000,
                                /* writesPerSecond= */ 500,
                                /* maxValueKilobytes= */ 4,
                                /* maxTransactionChanges= */ 24),
                        new PlatformSettings.CloudLimits(
                                /* requestsPerSecond= */ 20, /* listLagSeconds= */ 1),
                        Map.of(),
                        /* socketLimit= */ 1000,
                        /* clockErrorMillis= */ 250);
        controller = ControllerProcess.start(settings, OPERATOR_SETTINGS, System.nanoTime() * 1e-9);
    }

    @BeforeEach
    void startServices() {
        services = new LoopbackServices(GoldenFiles.readJson("running/grant-answer-of-peer"));
    }

    @AfterEach
    void stopAll() {
        controller.stop();
        services.close();
    }

    // ---- requests and waits ----

    HttpResponse<byte[]> call(String method, String toAddress, String path, byte[] body) {
        HttpRequest.BodyPublisher publisher =
                body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofByteArray(body);
        try {
            return http.send(
                    HttpRequest.newBuilder(URI.create("http://" + toAddress + path))
                            .method(method, publisher)
                            .build(),
                    HttpResponse.BodyHandlers.ofByteArray());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException("interrupted during " + method + " " + path, e);
        }
    }

    /** Calls a supplier until its result is not null; the test's timeout ends the wait. */
    <T> T await(Supplier<T> supplier) {
        T result = supplier.get();
        while (result == null && !Thread.currentThread().isInterrupted()) {
            services.awaitRequest();
            result = supplier.get();
        }
        assertNotNull(result, "expected a result before the test's timeout");
        return result;
    }

    /** Returns the response if it has the status, otherwise null. */
    static HttpResponse<byte[]> ifStatus(int status, HttpResponse<byte[]> response) {
        return response.statusCode() == status ? response : null;
    }

    /**
     * Waits until the messages have the fields of the golden file, or a timeout has expired, then
     * compares them. If golden files are written, waits until the timeout, to write all fields.
     */
    void awaitShape(String goldenFile, Supplier<List<ObjectNode>> messages) {
        long deadlineNanos = System.nanoTime() + SHAPE_TIMEOUT_NANOS;
        String expected = Boolean.getBoolean("contract.write") ? "" : GoldenFiles.read(goldenFile);
        String shape = MessageShape.of(messages.get());
        while (!shape.equals(expected) && System.nanoTime() < deadlineNanos) {
            services.awaitRequest();
            shape = MessageShape.of(messages.get());
        }
        GoldenFiles.assertSameText(goldenFile, shape);
    }

    /** Returns the messages that the other controller has received at a path. */
    List<ObjectNode> receivedByPeer(String path) {
        return services.received("peer").stream()
                .filter(request -> request.path().equals(path))
                .map(LoopbackServices.Request::body)
                .toList();
    }

    /**
     * Returns the requests that a service has received, each as an object with the request line as
     * the only field and the body as its value. Numbers in the lines are replaced, as they vary.
     */
    List<ObjectNode> requestsTo(String service) {
        return services.received(service).stream()
                .map(
                        request -> {
                            ObjectNode line = MessageEncoding.newObject();
                            line.set(
                                    request.line().replaceAll("[0-9]+", "N"),
                                    request.body().isEmpty()
                                            ? MessageEncoding.newObject().put("without body", true)
                                            : request.body());
                            return line;
                        })
                .toList();
    }

    double metric(String name) {
        String scraped =
                new String(call("GET", address, "/metrics", null).body(), StandardCharsets.UTF_8);
        Matcher line = Pattern.compile("^" + name + " (\\S+)$", Pattern.MULTILINE).matcher(scraped);
        assertTrue(line.find(), "expected the metric " + name + " in the response of /metrics");
        return Double.parseDouble(line.group(1));
    }

    // ---- messages ----

    ObjectNode heartbeat() {
        ObjectNode heartbeat = GoldenFiles.readJson("worker/report-without-optional-fields");
        return heartbeat.put("address", services.workerAddress).put("watch", 1).put("knot", 1);
    }

    byte[] encodedHeartbeat() {
        return MessageEncoding.encodeCbor(heartbeat());
    }

    /** Returns an encoded submission of a gang. */
    static byte[] encodedGang(String id, String team, int tasks) {
        ObjectNode job = JobCodec.encodeJob(SampleJobs.arrayWithoutOptionalFields());
        return MessageEncoding.encodeCbor(
                job.put("name_id", id)
                        .put("crew", team)
                        .put("fronds", tasks)
                        .put("rig", "ensemble")
                        .put("scatter", false));
    }

    static JsonNode json(HttpResponse<byte[]> response) {
        return GoldenFiles.parseJson(
                response.uri().getPath(), new String(response.body(), StandardCharsets.UTF_8));
    }

    static void assertResponse(String name, HttpResponse<byte[]> response) {
        GoldenFiles.assertSameText(name + ".txt", statusLine(response));
        GoldenFiles.assertCborMessage(name, response.body());
    }

    static ObjectNode cbor(HttpResponse<byte[]> response) {
        try {
            return MessageEncoding.decodeCbor(response.body());
        } catch (MalformedMessageException e) {
            throw new IllegalStateException("expected CBOR from " + response.uri(), e);
        }
    }

    /** Returns the status code and the content type if there is one. */
    static String statusLine(HttpResponse<byte[]> response) {
        String contentType =
                response.headers().firstValue("Content-Type").map(type -> " " + type).orElse("");
        return response.statusCode() + contentType + "\n";
    }

    /** Returns the body as text: CBOR as JSON, and any other content as it is. */
    static String body(HttpResponse<byte[]> response) {
        try {
            return response.body().length == 0
                    ? ""
                    : MessageEncoding.decodeCbor(response.body()).toString();
        } catch (MalformedMessageException e) {
            return new String(response.body(), StandardCharsets.UTF_8);
        }
    }
}
