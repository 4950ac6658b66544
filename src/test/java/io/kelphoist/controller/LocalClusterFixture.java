package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.config.InvalidSettingsException;
import io.kelphoist.config.OperatorSettings;
import io.kelphoist.config.PlatformSettings;
import io.kelphoist.emulator.EmulatedStateStore;
import io.kelphoist.emulator.EmulatedWorker;
import io.kelphoist.emulator.LocalEnvironment;
import io.kelphoist.grpc.v1.Job;
import io.kelphoist.grpc.v1.Kind;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Two controllers on loopback, with emulators of the state store, the cloud and the workers, and
 * helpers that send them users' requests. Tasks of jobs named job-9... run until they are stopped;
 * the tasks of other jobs end by themselves.
 */
abstract class LocalClusterFixture {
    /** Settings with a short leader lease and short grants, for a quick failover. */
    static final OperatorSettings SHORT_TIMEOUTS =
            new OperatorSettings(
                    /* leaderLeaseMillis= */ 600,
                    /* grantMillis= */ 500,
                    /* machineHoldBackoffSeconds= */ 5,
                    /* localityWaitSeconds= */ 1,
                    /* machineHoldSeconds= */ 20,
                    /* gangReservationSeconds= */ 15,
                    /* headroom= */ 0.1,
                    /* idleSeconds= */ 40,
                    /* leaseDelegation= */ true,
                    /* standby= */ true,
                    /* grpc= */ Optional.empty(),
                    /* traceCollector= */ Optional.empty());

    @TempDir Path dir;
    final HttpClient httpClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** The running controllers. A test that stops one may remove it, which moves the others. */
    final List<ControllerProcess> controllers = new ArrayList<>();

    private LocalEnvironment environment;
    EmulatedStateStore stateStore;
    EmulatedWorker.TaskLog taskLog;

    /** By index of the controller: the address at which it serves users and workers. */
    List<String> userAddresses;

    /** By index of the controller; the names are a and b. */
    List<PlatformSettings> settings;

    @BeforeEach
    void startCluster() throws IOException, InvalidSettingsException {
        environment = new LocalEnvironment(dir, /* controllerCount= */ 2, /* taskMillis= */ 0);
        stateStore = environment.stateStore();
        taskLog = environment.taskLog();
        userAddresses = environment.publicAddresses();
        settings = environment.settings();
        startAll();
    }

    /** Returns the operators' settings of all controllers. */
    OperatorSettings operatorSettings() {
        return SHORT_TIMEOUTS;
    }

    /** Starts a controller process for each of the settings. */
    void startAll() throws IOException {
        for (PlatformSettings controllerSettings : settings) {
            controllers.add(
                    ControllerProcess.start(
                            controllerSettings, operatorSettings(), System.nanoTime() * 1e-9));
        }
    }

    @AfterEach
    void stopCluster() {
        controllers.forEach(ControllerProcess::stop);
        environment.close();
    }

    /**
     * Sends a request once.
     *
     * @param address host and port of a controller, for users or for its peers
     * @param body null for a request without a body
     */
    HttpResponse<byte[]> call(String address, String method, String path, byte[] body)
            throws IOException, InterruptedException {
        return httpClient.send(
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .method(
                                method,
                                body == null
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofByteArray(body))
                        .build(),
                HttpResponse.BodyHandlers.ofByteArray());
    }

    /** Returns a job as users submit it over gRPC. */
    static Job job(String id, String team, Kind kind, int tasks) {
        return Job.newBuilder()
                .setId(id)
                .setJobClass("c")
                .setTeam(team)
                .setKind(kind)
                .setTasks(tasks)
                .setCpus(1)
                .setGpus(1)
                .setMemoryGb(1)
                .setImage("i")
                .setImageGb(1)
                .setEstimateS(1)
                .setSpotAllowed(true)
                .build();
    }

    /**
     * Returns an encoded job as users submit it over HTTP.
     *
     * @param kind the kind's name in messages: batch (array), ensemble (gang) or standing (service)
     */
    static byte[] job(String id, String kind, int tasks) throws MalformedMessageException {
        return MessageEncoding.encodeCbor(
                MessageEncoding.decodeJson(
                        """
                {"name_id":"%s","catch":"c","crew":"t","rig":"%s","tide":"normal","fronds":%d,"cpus":1.0,"accelerators":1.0,
                 "ram_gb":1.0,"spore":"i","image_gb":1.0,"hulls":null,"bed":null,"same_place":false,"scatter":false,"driftwood":true,
                 "haul_s":1.0,"mooring_s":0.0,"stow_s":0.0,"landfall_s":null}"""
                                .formatted(id, kind, tasks)
                                .getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns an encoded job that depends on other jobs. */
    static byte[] job(String id, String kind, int tasks, String... dependencies)
            throws MalformedMessageException {
        ObjectNode message = MessageEncoding.decodeCbor(job(id, kind, tasks));
        for (String dependency : dependencies) {
            message.withArray("holdfast").add(dependency);
        }
        return MessageEncoding.encodeCbor(message);
    }

    /** Submits a job, retries while the response status is 503, and checks the final status. */
    void assertSubmissionStatus(int expected, String address, byte[] body)
            throws IOException, InterruptedException {
        assertEquals(expected, callWithRetry(address, "POST", "/work", body).statusCode());
    }

    /** Sends a request and, as a client does, retries it while the response status is 503. */
    HttpResponse<byte[]> callWithRetry(String address, String method, String path, byte[] body)
            throws IOException, InterruptedException {
        HttpResponse<byte[]> response = call(address, method, path, body);
        while (response.statusCode() == 503) {
            response = call(address, method, path, body);
        }
        return response;
    }

    /**
     * Queries a job over HTTP; returns its status as in the message: a cancelled one is aborted.
     */
    String jobStatus(String address, String id)
            throws IOException, InterruptedException, MalformedMessageException {
        HttpResponse<byte[]> response = callWithRetry(address, "GET", "/work/" + id, null);
        assertEquals(200, response.statusCode(), () -> "HTTP status of the query for " + id);
        return MessageEncoding.decodeCbor(response.body()).path("sway").asText();
    }

    /** Waits until the state store has a leader, and returns the leader's name. */
    String storedLeader() throws InterruptedException {
        return stateStore.awaitValue("k/leader", value -> true).path("node").asText();
    }

    /** Returns the index of the leader among the controllers: 0 or 1. */
    int leaderIndex() throws InterruptedException {
        return storedLeader().equals("a") ? 0 : 1;
    }

    /** Waits until the state store has a term, and returns the newest one. */
    long storedTerm() throws InterruptedException {
        return stateStore.awaitValue("k/term", value -> true).path("term").asLong();
    }

    /** Waits until a regular expression is found in the metrics of a controller. */
    void awaitMetric(String address, String pattern) throws IOException, InterruptedException {
        Pattern expected = Pattern.compile(pattern);
        while (!expected.matcher(
                        new String(
                                call(address, "GET", "/metrics", null).body(),
                                StandardCharsets.UTF_8))
                .find()) {
            Thread.onSpinWait();
        }
    }
}
