package io.kelphoist.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.config.OperatorSettings;
import io.kelphoist.config.Settings;
import io.kelphoist.wire.BadMessage;
import io.kelphoist.wire.Cbor;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Two controllers on loopback, with stand-ins for what is outside, and ways to ask them. */
abstract class OnSite {
    static final OperatorSettings QUICK = new OperatorSettings(600, 500, 5, 1, 20, 15, 0.1, 40, true, null);
    @TempDir
    Path dir;
    final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);
    final WorkerStandIn.Ledger ledger = new WorkerStandIn.Ledger();
    final List<Daemon> daemons = new ArrayList<>();
    final List<String> serving = new ArrayList<>();
    final List<Settings> settings = new ArrayList<>();
    StateStandIn state;
    CloudStandIn cloud;

    @BeforeEach
    void start() throws IOException, Settings.Invalid {
        state = new StateStandIn();
        cloud = new CloudStandIn((name, zone) -> new WorkerStandIn(name, zone, serving, ledger, timers, 150));
        String[] names = {"a", "b"};
        String[] peers = {free(), free()};
        serving.addAll(List.of(free(), free()));
        for (int i = 0; i < 2; i++) {
            Path file = Files.writeString(dir.resolve(names[i]), """
                    {"label":"%s","site":"z","serve_on":"%s","peer_listen":"%s","known":[{"label":"%s","site":"z","peer_addr":"%s"}],
                     "external":{"cloud":"%s","state":"%s"},
                     "cluster":{"zones":["z"],"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":4,"gpus_max":8}],
                     "workers":{"report_s":0.2,"lease_s":6,"gang_wait_s":9,"gang_peer_s":2,"cancel_s":40},
                     "state":{"rps":1000,"write_rps":500,"value_kb":4,"txn_ops":8},"cloud":{"rps":20,"list_lag_s":1}}}"""
                    .formatted(names[i], serving.get(i), peers[i], names[1 - i], peers[1 - i], cloud.address(), state.address()));
            settings.add(Settings.read(file));
        }
        startAll();
    }

    /** The operators' settings of all of them. */
    OperatorSettings operator() {
        return QUICK;
    }

    void startAll() throws IOException {
        for (Settings s : settings) {
            daemons.add(Daemon.start(s, operator(), System.nanoTime() * 1e-9));
        }
    }

    @AfterEach
    void stop() {
        daemons.forEach(Daemon::stop);
        timers.shutdownNow();
        cloud.close();
        state.close();
    }

    static String free() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + s.getLocalPort();
        }
    }

    HttpResponse<byte[]> call(String node, String method, String path, byte[] body) throws IOException, InterruptedException {
        return http.send(HttpRequest.newBuilder(URI.create("http://" + node + path))
                .method(method, body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofByteArray(body)).build(),
                HttpResponse.BodyHandlers.ofByteArray());
    }

    static byte[] job(String id, String rig, int tasks) throws BadMessage {
        return Cbor.encode(Cbor.decodeJson("""
                {"name_id":"%s","catch":"c","crew":"t","rig":"%s","tide":"normal","fronds":%d,"cpus":1.0,"accelerators":1.0,
                 "ram_gb":1.0,"spore":"i","image_gb":1.0,"hulls":null,"bed":null,"same_place":false,"scatter":false,"driftwood":true,
                 "haul_s":1.0,"mooring_s":0.0,"stow_s":0.0,"landfall_s":null}""".formatted(id, rig, tasks).getBytes(StandardCharsets.UTF_8)));
    }

    static byte[] job(String id, String rig, int tasks, String... needs) throws BadMessage {
        ObjectNode m = Cbor.decode(job(id, rig, tasks));
        for (String need : needs) {
            m.withArray("holdfast").add(need);
        }
        return Cbor.encode(m);
    }

    /** As a user does: again while the answer is 503. */
    HttpResponse<byte[]> insist(String node, String method, String path, byte[] body) throws IOException, InterruptedException {
        HttpResponse<byte[]> r = call(node, method, path, body);
        while (r.statusCode() == 503) {
            r = call(node, method, path, body);
        }
        return r;
    }

    String status(String node, String id) throws IOException, InterruptedException, BadMessage {
        HttpResponse<byte[]> r = insist(node, "GET", "/work/" + id, null);
        assertEquals(200, r.statusCode());
        return Cbor.decode(r.body()).path("sway").asText();
    }

    String leader() throws InterruptedException {
        return state.await("k/leader", v -> true).path("node").asText();
    }

    void awaitMetric(String node, String pattern) throws IOException, InterruptedException {
        Pattern wanted = Pattern.compile(pattern);
        while (!wanted.matcher(new String(call(node, "GET", "/metrics", null).body(), StandardCharsets.UTF_8)).find()) {
            Thread.onSpinWait();
        }
    }
}
