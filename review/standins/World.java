import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/**
 * A small deployment on loopback: stand-ins for state service, cloud and workers in this process,
 * and the controllers as processes, started with the run command of the deploy file. Settings are
 * those of the site lppa-chargefind.
 */
final class World implements AutoCloseable {
    final double reportSeconds = 1.5;
    final double leaseSeconds = 10;
    final double cancelSeconds = 30;
    final List<String> zones = List.of("harbor-dc", "westside-dc", "north-dc");
    final List<String> labels = List.of("hoist-0", "hoist-1", "hoist-2");
    final List<String> controllers = new ArrayList<>();
    final Map<String, Worker> workers = new ConcurrentHashMap<>();
    final Set<String> results = ConcurrentHashMap.newKeySet();
    final ScheduledExecutorService timer =
            Executors.newScheduledThreadPool(
                    4,
                    r -> {
                        Thread t = new Thread(r);
                        t.setDaemon(true);
                        return t;
                    });
    final StateStore state;
    final Cloud cloud;

    private record JobInfo(int tasks, double cpus, double runSeconds) {}

    private final Map<String, JobInfo> jobs = new ConcurrentHashMap<>();
    private final Map<String, String> where = new ConcurrentHashMap<>();
    private final Map<String, Integer> starts = new ConcurrentHashMap<>();
    private final PrintWriter record;
    private final Path folder;
    private final Path root;
    private final List<Process> processes = new java.util.concurrent.CopyOnWriteArrayList<>();
    private final List<Integer> listenPorts = new ArrayList<>();
    private final List<Integer> peerPorts = new ArrayList<>();

    private volatile String heldTask;

    /** Set as soon as a task starts while it is on another machine. */
    volatile String ranTwice;

    World(Path root, Path recordFile) throws Exception {
        this.root = root;
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        state = new StateStore(3, 250, 80, 8, 48);
        cloud = new Cloud(this, 5, 5, 2, 9);
        for (int i = 0; i < 3; i++) {
            listenPorts.add(freePort());
            peerPorts.add(freePort());
            processes.add(null);
            controllers.add("127.0.0.1:" + listenPorts.get(i));
        }
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    synchronized void log(String who, String what) {
        record.printf("%8.3f %-10s %s%n", Clock.seconds(), who, what);
    }

    // ---- controllers ----

    private Path settings(int i) throws Exception {
        ObjectMapper json = new ObjectMapper();
        ObjectNode s = json.createObjectNode();
        s.put("label", labels.get(i)).put("site", zones.get(i));
        s.put("serve_on", controllers.get(i)).put("peer_listen", "127.0.0.1:" + peerPorts.get(i));
        ArrayNode known = s.putArray("known");
        for (int j = 0; j < 3; j++) {
            if (j != i) {
                known.addObject()
                        .put("label", labels.get(j))
                        .put("site", zones.get(j))
                        .put("peer_addr", "127.0.0.1:" + peerPorts.get(j));
            }
        }
        s.putObject("external").put("cloud", cloud.address()).put("state", state.address(i));
        ObjectNode c = s.putObject("cluster");
        c.put("initial_size", 3);
        ArrayNode zoneList = c.putArray("zones");
        zones.forEach(zoneList::add);
        ArrayNode teams = c.putArray("teams");
        String[] names = {"mapping", "forecasting", "field-ops"};
        double[][] gpus = {{16, 40}, {24, 40}, {56, 120}};
        for (int t = 0; t < 3; t++) {
            teams.addObject()
                    .put("name", names[t])
                    .put("cpus", 0.0)
                    .put("cpus_max", 0.0)
                    .put("gpus", gpus[t][0])
                    .put("gpus_max", gpus[t][1]);
        }
        c.putArray("objectives");
        c.putObject("workers")
                .put("report_s", reportSeconds)
                .put("lease_s", leaseSeconds)
                .put("gang_wait_s", 30.0)
                .put("gang_peer_s", 8.0)
                .put("cancel_s", cancelSeconds);
        c.putObject("state")
                .put("rps", 250.0)
                .put("write_rps", 80.0)
                .put("value_kb", 8.0)
                .put("txn_ops", 48);
        c.putObject("cloud").put("rps", 5.0).put("list_lag_s", 5.0);
        c.putObject("quota").put("cores", 0.22).put("mem_mb", 176.0).put("fd_limit", 800);
        c.put("clock_error_ms", 25.0);
        Path file = folder.resolve("settings-" + i + ".json");
        json.writeValue(file.toFile(), s);
        return file;
    }

    /** Starts a controller with the run command of the deploy file. */
    void startController(int i) throws Exception {
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        List<String> command = new ArrayList<>(List.of(run.trim().split("\\s+")));
        command.add(settings(i).toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("LOG_LEVEL", System.getProperty("level", "info"));
        builder.environment().remove("JAVA_TOOL_OPTIONS");
        File log = folder.resolve(labels.get(i) + ".log").toFile();
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        if (processes.get(i) != null) {
            processes.get(i).waitFor();
        }
        processes.set(i, builder.start());
        log(labels.get(i), "process started");
    }

    Process process(int i) {
        return processes.get(i);
    }

    /** Sends a signal to a controller that this test started. */
    void signal(int i, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(processes.get(i).pid()))
                .start()
                .waitFor();
        log(labels.get(i), "signal " + name);
    }

    /** Waits until all controllers are healthy. */
    boolean awaitHealthy(double seconds) throws Exception {
        Client client = new Client();
        double until = Clock.seconds() + seconds;
        while (Clock.seconds() < until) {
            int healthy = 0;
            for (String controller : controllers) {
                healthy += client.call("GET", controller, "/healthz", null, 1000).status() == 200 ? 1 : 0;
            }
            if (healthy == 3) {
                log("world", "all controllers healthy");
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    /** The index of the controller that holds the leader's key; -1 if none. */
    int leader() {
        String value = state.leader();
        for (int i = 0; i < 3; i++) {
            if (value != null && value.contains("\"" + labels.get(i) + "\"")) {
                return i;
            }
        }
        return -1;
    }

    String controllerLog(int i) throws Exception {
        Path file = folder.resolve(labels.get(i) + ".log");
        return Files.exists(file) ? Files.readString(file) : "";
    }

    // ---- jobs and tasks ----

    /** A job as a user submits it; users upload its description for the workers, too. */
    ObjectNode job(
            String id, String kind, int tasks, double cpus, double runSeconds, List<String> needs) {
        jobs.put(id, new JobInfo(tasks, cpus, runSeconds));
        ObjectNode out = Http.map();
        out.put("name_id", id)
                .put("catch", "meter-pull")
                .put("crew", "field-ops")
                .put("rig", kind)
                .put("tide", "normal")
                .put("fronds", tasks)
                .put("cpus", cpus)
                .put("accelerators", 0.0)
                .put("ram_gb", 1.0)
                .put("spore", "img-01")
                .put("image_gb", 0.2);
        out.putNull("hulls");
        out.putNull("bed");
        out.put("same_place", false)
                .put("scatter", false)
                .put("driftwood", false)
                .put("haul_s", kind.equals("standing") ? 0.0 : runSeconds)
                .put("mooring_s", 0.0)
                .put("stow_s", 0.0);
        out.putNull("landfall_s");
        if (!needs.isEmpty()) {
            ArrayNode list = out.putArray("holdfast");
            needs.forEach(list::add);
        }
        return out;
    }

    private JobInfo info(String task) {
        return jobs.get(task.substring(0, task.indexOf('/')));
    }

    boolean isTask(String task) {
        JobInfo info = info(task);
        return info != null && Integer.parseInt(task.substring(task.indexOf('/') + 1)) < info.tasks;
    }

    double runSeconds(String task) {
        return info(task).runSeconds;
    }

    double cpus(String task) {
        JobInfo info = info(task);
        return info == null ? 0 : info.cpus;
    }

    /** From now on the answer to the first direct command that starts this task is held up. */
    void holdAnswerToStart(String task) {
        heldTask = task;
    }

    synchronized boolean holdsAnswerTo(JsonNode command) {
        for (JsonNode call : command.path("calls")) {
            if (call.path("call").asText().equals("start")
                    && call.path("frond").asText().equals(heldTask)) {
                heldTask = null;
                return true;
            }
        }
        return false;
    }

    void onTask(String task, String machine, boolean on, String note) {
        if (on) {
            String other = where.put(task, machine);
            starts.merge(task, 1, Integer::sum);
            if (other != null && !other.equals(machine)) {
                ranTwice = task + " started on " + machine + " while on " + other;
                log("RULE", "ran_twice " + ranTwice);
            }
        } else {
            where.remove(task, machine);
        }
        log(machine, (on ? "runs " : "ends ") + task + " (" + note + ")");
    }

    String machineOf(String task) {
        return where.get(task);
    }

    int startCount(String task) {
        return starts.getOrDefault(task, 0);
    }

    Map<String, String> running() {
        return where;
    }

    private void killAll() {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws Exception {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
                process.waitFor();
            }
        }
        for (int i = 0; i < 3; i++) {
            String text = controllerLog(i);
            if (System.getProperty("dump") != null) {
                Files.writeString(Path.of(System.getProperty("dump"), labels.get(i) + ".log"), text);
            }
            log(labels.get(i), "its log, of each trace the first lines:");
            int frames = 0;
            for (String line : text.split("\n")) {
                frames = line.startsWith("\tat ") ? frames + 1 : 0;
                if (frames < 8) {
                    record.println("    " + line);
                }
            }
        }
        record.close();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
