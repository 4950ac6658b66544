package io.kelphoist.archive;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.config.InvalidSettingsException;
import io.kelphoist.config.OperatorSettings;
import io.kelphoist.config.PlatformSettings;
import io.kelphoist.controller.ControllerProcess;
import io.kelphoist.emulator.LoopbackPorts;
import io.kelphoist.model.ReplicatedMachine;
import io.kelphoist.peer.GrantCodec;
import io.kelphoist.peer.GrantRequest;
import io.kelphoist.peer.LeaderState;
import io.kelphoist.replication.MachineStatePublisher;
import io.kelphoist.wire.HttpExchanges;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Training run for the class archive: runs a controller on loopback for two terms, so that the
 * build can archive the classes that a start and a failover load. Without the archive, loading them
 * takes a second on a controller with a fifth of a CPU core, in which no worker lease is renewed.
 */
public final class ClassArchiveTraining {
    /**
     * Arguments: id, kind, priority, number of tasks, image, whether spot instances are allowed,
     * checkpoint interval in s, deadline in s or null, ids of the dependencies or null.
     */
    private static final String JOB_TEMPLATE =
            """
            {"name_id":"%s","catch":"c","crew":"t","rig":"%s","tide":"%s","fronds":%d,"cpus":1.0,"accelerators":1.0,"ram_gb":1.0,
             "spore":"%s","image_gb":1.0,"hulls":["m"],"bed":null,"same_place":false,"scatter":false,"driftwood":%b,
             "haul_s":1.0,"mooring_s":%d,"stow_s":1.0,"landfall_s":%s,"holdfast":%s}""";

    private static final int ROUNDS = 8;
    private static final long ROUND_MILLIS = 250;
    private static final int TIMEOUT_MILLIS = 3000;
    private static final int FIRST_ERROR_STATUS = 300;
    private static final double SECONDS_PER_NANO = 1e-9;

    private ClassArchiveTraining() {}

    /**
     * Runs the training, which takes a few seconds.
     *
     * @throws IOException if the controller can't be started, a request fails, or the thread is
     *     interrupted
     */
    public static void run() throws IOException {
        int emulatorPort = LoopbackPorts.nextFreePort();
        int servePort = LoopbackPorts.nextFreePort();
        ClassArchiveTrainingServer trainingServer = new ClassArchiveTrainingServer(emulatorPort);
        try {
            PlatformSettings settings =
                    settings(servePort, LoopbackPorts.nextFreePort(), emulatorPort);
            OperatorSettings operatorSettings = operatorSettings();
            for (int term = 1; term <= 2; term++) {
                ControllerProcess controller =
                        ControllerProcess.start(
                                settings, operatorSettings, System.nanoTime() * SECONDS_PER_NANO);
                runScenario(
                        "http://127.0.0.1:" + servePort,
                        "http://" + settings.peerListenAddress(),
                        trainingServer,
                        term);
                controller.stop();
                trainingServer.endLease();
            }
        } catch (InvalidSettingsException | InterruptedException e) {
            throw new IOException("training run of the class archive failed: " + e, e);
        } finally {
            trainingServer.stop();
        }
    }

    private static PlatformSettings settings(int servePort, int peerPort, int emulatorPort)
            throws IOException, InvalidSettingsException {
        String json =
                """
                {"label":"a","site":"z","serve_on":"127.0.0.1:%d","peer_listen":"127.0.0.1:%d",
                 "known":[{"label":"b","site":"z","peer_addr":"127.0.0.1:%d"}],
                 "external":{"cloud":"127.0.0.1:%d","state":"127.0.0.1:%d"},
                 "cluster":{"zones":["z","y"],"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":8,"gpus_max":20},
                   {"name":"u","cpus":0,"cpus_max":0,"gpus":8,"gpus_max":20}],
                 "objectives":[{"kind":"wait","class":"c","within_s":5,"share":0.9},{"kind":"deadline","class":"c","times":1.0,"share":0.9}],
                 "workers":{"report_s":1,"lease_s":9,"gang_wait_s":9,"gang_peer_s":9,"cancel_s":9},
                 "state":{"rps":200,"write_rps":100,"value_kb":4,"txn_ops":8},"cloud":{"rps":9,"list_lag_s":4}}}"""
                        .formatted(servePort, peerPort, emulatorPort, emulatorPort, emulatorPort);
        Path file = Files.createTempFile("kelphoist", ".json");
        try {
            Files.writeString(file, json);
            return PlatformSettings.read(file);
        } finally {
            Files.delete(file);
        }
    }

    /** Reads the settings from a file, so that the classes that read them are archived. */
    private static OperatorSettings operatorSettings()
            throws IOException, InvalidSettingsException {
        Path file = Files.createTempFile("kelphoist", ".textproto");
        try {
            Files.writeString(file, "caretaking:true\nstandby:true\nidle_s:40\n");
            return OperatorSettings.read(file);
        } finally {
            Files.delete(file);
        }
    }

    private static void runScenario(
            String userAddress,
            String peerAddress,
            ClassArchiveTrainingServer trainingServer,
            int term)
            throws IOException, InterruptedException {
        for (int round = 0; round < ROUNDS; round++) {
            call(userAddress + "/healthz", null, /* isJson= */ false);
            submitJob(userAddress, term, round);
            call(userAddress + "/work/job-1", null, /* isJson= */ false);
            call(userAddress + "/work/job-" + term + "1", null, /* isJson= */ false);
            call(userAddress + "/work/job-999", null, /* isJson= */ false);
            sendHeartbeats(userAddress, peerAddress, trainingServer);
            call(peerAddress + "/peer/grant", grantRequest(round), /* isJson= */ true);
            if (round == ROUNDS - 2) {
                call(
                        userAddress + "/work/job-" + term + "5/cancel",
                        MessageEncoding.newObject(),
                        /* isJson= */ false);
            }
            Thread.sleep(ROUND_MILLIS);
        }
    }

    /** Sends each heartbeat as the worker does, and again as another controller would relay it. */
    private static void sendHeartbeats(
            String userAddress, String peerAddress, ClassArchiveTrainingServer trainingServer)
            throws IOException {
        for (ObjectNode heartbeat : trainingServer.nextHeartbeats()) {
            ObjectNode response = call(userAddress + "/v1/report", heartbeat, /* isJson= */ false);
            if (response != null) {
                trainingServer.onResponse(heartbeat, response);
            }
            call(peerAddress + "/peer/report", heartbeat, /* isJson= */ true);
        }
    }

    /** Returns a grant request as another controller sends it as leader, with a machine's state. */
    private static ObjectNode grantRequest(int round) {
        MachineStatePublisher publisher = new MachineStatePublisher();
        publisher.publish(
                List.of(
                        new ReplicatedMachine(
                                "vm-" + round,
                                "127.0.0.1:9",
                                "m",
                                "z",
                                /* spot= */ false,
                                /* agentEpoch= */ 1,
                                /* hasReported= */ true,
                                /* drainedAsFaulty= */ false,
                                /* possiblyDisconnected= */ false,
                                /* commandOutcomeUnknown= */ false,
                                /* launchedAtSeconds= */ 0,
                                /* terminationAtSeconds= */ Double.POSITIVE_INFINITY)));
        LeaderState state =
                new LeaderState(
                        Optional.empty(),
                        Optional.of(publisher.nextUpdate("a", round)),
                        Optional.empty(),
                        Optional.empty());
        return GrantCodec.encodeRequest(new GrantRequest(0, "b", true, state));
    }

    /** Submits the job of a round, if it has one; later jobs preempt earlier ones. */
    private static void submitJob(String userAddress, int term, int round) throws IOException {
        String jobId = "job-" + (term == 1 && round == 0 ? "1" : "" + term + round);
        String job =
                switch (round) {
                    case 0, 3 ->
                            JOB_TEMPLATE.formatted(
                                    jobId, "batch", "normal", 12, "i", true, 1, "9.0", "null");
                    case 1 ->
                            JOB_TEMPLATE.formatted(
                                    jobId, "batch", "high", 2, "i", true, 1, "9.0", "[\"job-1\"]");
                    case 4 ->
                            JOB_TEMPLATE.formatted(
                                    jobId, "ensemble", "high", 4, "k", false, 1, "null", "null");
                    case 5 ->
                            JOB_TEMPLATE.formatted(
                                    jobId,
                                    "standing",
                                    "critical",
                                    3,
                                    "l",
                                    false,
                                    0,
                                    "null",
                                    "null");
                    case 6 ->
                            JOB_TEMPLATE.formatted(
                                    jobId, "ensemble", "high", 2, "l", false, 0, "null", "null");
                    default -> null;
                };
        if (job != null) {
            call(
                    userAddress + "/work",
                    ClassArchiveTrainingServer.parseJson(job),
                    /* isJson= */ false);
        }
    }

    /**
     * Sends a request and decodes the response.
     *
     * @param body null for a GET request
     * @param isJson whether the messages are JSON; otherwise they are CBOR
     * @return null if the request or the response has no body, or the status is an error
     */
    private static ObjectNode call(String address, ObjectNode body, boolean isJson)
            throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection) URI.create(address).toURL().openConnection();
        connection.setConnectTimeout(TIMEOUT_MILLIS);
        connection.setReadTimeout(TIMEOUT_MILLIS);
        if (body != null) {
            connection.setDoOutput(true);
            connection.setRequestProperty(
                    "Content-Type", isJson ? HttpExchanges.JSON : HttpExchanges.CBOR);
            byte[] encoded =
                    isJson ? MessageEncoding.encodeJson(body) : MessageEncoding.encodeCbor(body);
            connection.getOutputStream().write(encoded);
        }
        boolean isSuccess = connection.getResponseCode() < FIRST_ERROR_STATUS;
        byte[] response = isSuccess ? connection.getInputStream().readAllBytes() : new byte[0];
        return response.length == 0 || body == null ? null : decode(response, isJson);
    }

    private static ObjectNode decode(byte[] response, boolean isJson) throws IOException {
        try {
            return isJson
                    ? MessageEncoding.decodeJson(response)
                    : MessageEncoding.decodeCbor(response);
        } catch (MalformedMessageException e) {
            throw new IOException(
                    "expected a response in " + (isJson ? "JSON" : "CBOR") + ": " + e.getMessage(),
                    e);
        }
    }
}
