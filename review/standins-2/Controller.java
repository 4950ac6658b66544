import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One controller process, started with the run command of the deploy file. */
final class Controller {
    final int index;
    final String label;
    final String zone;
    final int publicPort;
    final int peerPort;
    final String publicAddress;
    final Path logFile;
    private final World world;
    private final Path settings;
    volatile Process process;
    volatile boolean healthy;

    /** Users don't reach it. */
    volatile boolean cutOff;

    Controller(World world, int index, String zone, int publicPort, int peerPort) {
        this.world = world;
        this.index = index;
        this.label = "hoist-" + index;
        this.zone = zone;
        this.publicPort = publicPort;
        this.peerPort = peerPort;
        this.publicAddress = "127.0.0.1:" + publicPort;
        this.settings = world.folder.resolve(label + ".json");
        this.logFile = world.folder.resolve(label + ".log");
    }

    void writeSettings() throws IOException {
        ObjectNode node = Http.object();
        node.put("label", label)
                .put("site", zone)
                .put("serve_on", publicAddress)
                .put("peer_listen", "127.0.0.1:" + peerPort);
        ArrayNode known = node.putArray("known");
        for (Controller other : world.controllers) {
            if (other != this) {
                known.addObject()
                        .put("label", other.label)
                        .put("site", other.zone)
                        .put("peer_addr", world.link(index, other.index).address());
            }
        }
        node.putObject("external")
                .put("cloud", world.cloud.address())
                .put("state", world.state.address(index));
        ObjectNode cluster = node.putObject("cluster");
        cluster.put("initial_size", world.controllers.size());
        ArrayNode zones = cluster.putArray("zones");
        world.zones.forEach(zones::add);
        ArrayNode teams = cluster.putArray("teams");
        world.limits.forEach(
                (team, gpus) ->
                        teams.addObject()
                                .put("name", team)
                                .put("cpus", 0.0)
                                .put("cpus_max", 0.0)
                                .put("gpus", gpus / 2)
                                .put("gpus_max", gpus));
        cluster.putArray("objectives");
        cluster.putObject("workers")
                .put("report_s", world.reportSeconds)
                .put("lease_s", world.leaseSeconds)
                .put("gang_wait_s", world.gangWaitSeconds)
                .put("gang_peer_s", world.gangPeerSeconds)
                .put("cancel_s", world.cancelSeconds);
        cluster.putObject("state")
                .put("rps", world.stateRps)
                .put("write_rps", world.stateWriteRps)
                .put("value_kb", world.stateValueKb)
                .put("txn_ops", world.stateOps);
        cluster.putObject("cloud").put("rps", 5.0).put("list_lag_s", 5.0);
        cluster.putObject("quota").put("cores", 0.22).put("mem_mb", 176.0).put("fd_limit", 800);
        cluster.put("clock_error_ms", 25.0);
        Files.write(settings, Http.JSON.writeValueAsBytes(node));
    }

    void start() throws IOException {
        List<String> command = new ArrayList<>(List.of(world.runCommand.trim().split("\\s+")));
        command.add(settings.toAbsolutePath().toString());
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .directory(new File("."))
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
        Map<String, String> environment = builder.environment();
        environment.put("LOG_LEVEL", world.logLevel);
        process = builder.start();
        world.log("%s started", label);
        Process started = process;
        Http.daemon(
                () -> {
                    try {
                        int code = started.waitFor();
                        world.log("%s ended with status %d", label, code);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    boolean isUp() {
        return process != null && process.isAlive();
    }

    void kill() {
        world.log("%s killed", label);
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a signal, by name. */
    void signal(String name) {
        world.log("%s gets SIG%s", label, name);
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void crash(double downSeconds) {
        kill();
        World.sleep((long) (downSeconds * 1000));
        try {
            start();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
