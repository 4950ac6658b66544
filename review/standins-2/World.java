import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small deployment: controllers as processes, stand-ins for all else, and the checks of the rules. */
final class World implements AutoCloseable {
    static final String TYPE = "rack-gpu48";

    /** A job as its user knows it. */
    static final class Job {
        String id;
        String kind = "batch";
        String team = "mapping";
        String tide = "normal";
        int fronds = 1;
        double cpus = 8;
        double gpus = 1;
        double ram = 20;
        double imageSeconds = 0.3;
        double runSeconds = 5;
        boolean oneZone;
        boolean scatter;
        boolean spot;
        String zone;
        List<String> needs = List.of();
        final Set<Integer> done = new HashSet<>();
        double acceptedAt = Double.NaN;
        double doneToldAt = Double.NaN;
        double cancelAskedAt = Double.NaN;
        double cancelToldAt = Double.NaN;
        double lastAnswerAt = Double.NaN;
        double firstRunAt = Double.NaN;
        boolean refused;
        String lastState = "";

        boolean isOver() {
            return !Double.isNaN(doneToldAt) || !Double.isNaN(cancelToldAt) || refused;
        }

        boolean isDone() {
            return done.size() == fronds;
        }
    }

    private record Gang(List<Worker.Task> members, boolean[] started) {}

    final long seed;
    final Path folder;
    final List<String> zones = List.of("harbor-dc", "westside-dc", "north-dc");
    final Map<String, Double> limits = new LinkedHashMap<>();
    final double reportSeconds = 1.5;
    final double leaseSeconds = 10;
    final double gangWaitSeconds = 30;
    final double gangPeerSeconds = 8;
    final double cancelSeconds = 30;
    double stateRps = 250;
    double stateWriteRps = 80;
    double stateValueKb = 8;
    int stateOps = 48;
    final List<Controller> controllers = new ArrayList<>();
    final Set<Worker> workers = ConcurrentHashMap.newKeySet();
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    final ScheduledExecutorService users = Executors.newScheduledThreadPool(32, runnable -> {
        Thread thread = new Thread(runnable, "user");
        thread.setDaemon(true);
        return thread;
    });
    final String runCommand;
    String logLevel = "info";
    StateService state;
    CloudService cloud;
    private final Map<String, Link> links = new HashMap<>();
    private final Set<String> kept = ConcurrentHashMap.newKeySet();
    private final Map<String, Gang> gangs = new HashMap<>();
    private final Map<String, List<Worker.Task>> presentByFrond = new HashMap<>();
    private final Set<Worker.Task> present = new HashSet<>();
    private final ConcurrentLinkedQueue<Worker.Task> ready = new ConcurrentLinkedQueue<>();
    private final Set<String> cuts = ConcurrentHashMap.newKeySet();
    final List<String> violations = new ArrayList<>();
    private final PrintStream record;
    private final long startNanos = System.nanoTime();
    private volatile boolean closed;
    final Random random;

    volatile double lateReportShare;
    volatile double lateCommandShare;
    private final List<byte[]> heldCopies = new ArrayList<>();
    volatile boolean holdCopies;

    World(long seed, Path recordFile) throws IOException {
        this.seed = seed;
        this.random = new Random(seed);
        this.folder = Files.createTempDirectory("review-2-");
        this.record = new PrintStream(Files.newOutputStream(recordFile), true, StandardCharsets.UTF_8);
        this.runCommand = runCommand();
        limits.put("mapping", 8.0);
        limits.put("forecasting", 8.0);
        limits.put("field-ops", 16.0);
    }

    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(7, line.length() - 1);
            }
        }
        throw new IOException("no run command");
    }

    void open(double bootSeconds, int perZone) throws IOException {
        state = new StateService(3, stateRps, stateWriteRps, stateValueKb, stateOps, seed);
        cloud = new CloudService(this, 5, 5, bootSeconds, perZone, seed);
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[6];
        for (int i = 0; i < 6; i++) {
            ServerSocket socket = new ServerSocket(0);
            held.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        for (int i = 0; i < 3; i++) {
            controllers.add(new Controller(this, i, zones.get(i), ports[2 * i], ports[2 * i + 1]));
        }
        for (int i = 0; i < 3; i++) {
            for (int j = 0; j < 3; j++) {
                if (i != j) {
                    links.put(i + "-" + j, new Link(controllers.get(j).peerPort));
                }
            }
        }
        for (Controller controller : controllers) {
            controller.writeSettings();
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        for (Controller controller : controllers) {
            controller.start();
        }
        Http.daemon(this::tickLoop);
        for (Controller controller : controllers) {
            Http.daemon(() -> probe(controller));
        }
    }

    private void endProcesses() {
        for (Controller controller : controllers) {
            if (controller.process != null) {
                controller.process.destroyForcibly();
            }
        }
    }

    Link link(int from, int to) {
        return links.get(from + "-" + to);
    }

    double now() {
        return (System.nanoTime() - startNanos) * 1e-9;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void sleepUntil(double at) {
        while (now() < at) {
            sleep(Math.max(1, (long) ((at - now()) * 1000)));
        }
    }

    void log(String format, Object... values) {
        String line = "%8.3f %s".formatted(now(), format.formatted(values));
        synchronized (record) {
            record.println(line);
        }
    }

    synchronized void violate(String rule, String format, Object... values) {
        String text = rule + ": " + format.formatted(values);
        violations.add(text);
        log("BROKEN %s", text);
    }

    int controllerIndex(String label) {
        for (Controller controller : controllers) {
            if (controller.label.equals(label)) {
                return controller.index;
            }
        }
        return -1;
    }

    /** The controller whose name the leader key holds; null if there is none. */
    Controller leader() {
        JsonNode value = state.value("k/leader");
        int index = value == null ? -1 : controllerIndex(value.path("node").asText());
        return index < 0 ? null : controllers.get(index);
    }

    Controller awaitLeader(double seconds) {
        double until = now() + seconds;
        while (now() < until) {
            Controller leader = leader();
            if (leader != null) {
                return leader;
            }
            sleep(50);
        }
        return null;
    }

    void cutWorkers(String zone, int controller, boolean isCut) {
        if (isCut) {
            cuts.add(zone + controller);
        } else {
            cuts.remove(zone + controller);
        }
    }

    boolean isCut(Worker worker, int controller) {
        return cuts.contains(worker.zone + controller);
    }

    // ---- late copies and commands ----

    void copyLater(byte[] report, Random by) {
        if (by.nextDouble() >= lateReportShare) {
            return;
        }
        if (holdCopies) {
            synchronized (heldCopies) {
                heldCopies.add(report);
            }
            return;
        }
        double delay = 2 + by.nextDouble() * 28;
        users.schedule(() -> deliverCopy(report), (long) (delay * 1000), TimeUnit.MILLISECONDS);
    }

    void releaseCopies() {
        List<byte[]> copies;
        synchronized (heldCopies) {
            copies = new ArrayList<>(heldCopies);
            heldCopies.clear();
        }
        copies.forEach(copy -> users.execute(() -> deliverCopy(copy)));
    }

    private void deliverCopy(byte[] report) {
        for (Controller controller : controllers) {
            try (Http.Client client = new Http.Client(controller.publicAddress)) {
                client.callBytes("POST", "/v1/report", report, 500, 1500);
            } catch (IOException e) {
                // No answer matters.
            }
        }
    }

    double commandDelay(Random by) {
        return by.nextDouble() < lateCommandShare ? 2 + by.nextDouble() * 14 : 0;
    }

    // ---- tasks on machines ----

    Job job(String id) {
        return jobs.get(id);
    }

    boolean isKept(Worker.Task task) {
        return kept.contains(task.frond());
    }

    synchronized void onPresent(Worker.Task task) {
        Job job = task.job;
        log("%s: %s cast %d is on the machine", task.worker.name, task.frond(), task.cast);
        List<Worker.Task> same =
                presentByFrond.computeIfAbsent(task.frond(), key -> new ArrayList<>());
        for (Worker.Task other : same) {
            violate(
                    "ran_twice",
                    "%s starts on %s while it is on %s",
                    task.frond(),
                    task.worker.name,
                    other.worker.name);
        }
        same.add(task);
        present.add(task);
        double gpus = 0;
        Map<String, Integer> perZone = new HashMap<>();
        for (Worker.Task other : present) {
            if (other.job.team.equals(job.team)) {
                gpus += other.job.gpus;
            }
            if (other.job == job) {
                perZone.merge(other.worker.zone, 1, Integer::sum);
            }
        }
        if (gpus > limits.get(job.team) + 0.001) {
            violate("quota", "%s uses %.1f with %s", job.team, gpus, task.frond());
        }
        if ((job.oneZone && perZone.size() > 1)
                || (job.scatter && perZone.get(task.worker.zone) > (job.fronds + 1) / 2)
                || (job.zone != null && !job.zone.equals(task.worker.zone))
                || (task.worker.spot && !job.spot)) {
            violate("wrong_place", "%s on %s %s", task.frond(), task.worker.name, perZone);
        }
        if (now() > job.cancelToldAt + cancelSeconds) {
            violate("ran_cancelled", "%s starts on %s", task.frond(), task.worker.name);
        }
        for (String need : job.needs) {
            if (!jobs.get(need).isDone()) {
                violate("too_early", "%s starts before %s is done", task.frond(), need);
            }
        }
    }

    synchronized void onLeft(Worker.Task task, String why) {
        log("%s: %s cast %d left: %s", task.worker.name, task.frond(), task.cast, why);
        presentByFrond.get(task.frond()).remove(task);
        present.remove(task);
    }

    synchronized void onRunning(Worker.Task task) {
        if (Double.isNaN(task.job.firstRunAt)) {
            task.job.firstRunAt = now();
        }
    }

    synchronized void onDone(Worker.Task task) {
        if (task.job.kind.equals("ensemble")) {
            for (int i = 0; i < task.job.fronds; i++) {
                kept.add(task.job.id + "/" + i);
                task.job.done.add(i);
            }
        } else {
            kept.add(task.frond());
            task.job.done.add(task.index);
        }
    }

    synchronized void gather(Worker.Task task) {
        Gang gang =
                gangs.computeIfAbsent(
                        task.job.id + "#" + task.cast,
                        key -> new Gang(new ArrayList<>(), new boolean[1]));
        gang.members.removeIf(member -> !member.present);
        gang.members.add(task);
        if (!gang.started[0] && gang.members.size() == task.job.fronds) {
            gang.started[0] = true;
            ready.addAll(gang.members);
        }
    }

    /** A gang gets on only while all its tasks do: none is gone, and no machine of theirs hangs. */
    synchronized boolean isWhole(Worker.Task task) {
        Gang gang = gangs.get(task.job.id + "#" + task.cast);
        if (gang == null) {
            return true;
        }
        for (Worker.Task member : gang.members) {
            boolean finished = "done".equals(member.wreck);
            if (!finished && (!member.present || member.worker.hangs())) {
                return false;
            }
        }
        return true;
    }

    private synchronized void watchGangs(double now) {
        for (Gang gang : gangs.values()) {
            if (!gang.started[0]) {
                continue;
            }
            boolean broken = false;
            boolean finished = false;
            for (Worker.Task member : gang.members) {
                finished |= "done".equals(member.wreck);
                broken |= !member.present || (member.worker.hangs() && now + 2 < member.worker.hangsUntil);
            }
            if (broken && !finished) {
                for (Worker.Task member : gang.members) {
                    if (member.present && member.peersAt == Double.POSITIVE_INFINITY) {
                        member.peersAt = now + gangPeerSeconds * 0.6;
                    }
                }
            }
        }
    }

    private void tickLoop() {
        while (!closed) {
            double now = now();
            cloud.tick(now);
            for (Worker worker : workers) {
                worker.tick(now);
            }
            for (Worker.Task task = ready.poll(); task != null; task = ready.poll()) {
                synchronized (task.worker) {
                    if (task.state.equals("gathering")) {
                        task.worker.run(task, now);
                    }
                }
            }
            watchGangs(now);
            checkCancelled(now);
            sleep(20);
        }
    }

    private final Set<String> reported = new HashSet<>();

    private synchronized void checkCancelled(double now) {
        for (Worker.Task task : present) {
            if (now > task.job.cancelToldAt + cancelSeconds && reported.add(task.frond())) {
                violate(
                        "ran_cancelled",
                        "%s is on %s %.1f s after its user was told",
                        task.frond(),
                        task.worker.name,
                        now - task.job.cancelToldAt);
            }
        }
    }

    // ---- users ----

    private void probe(Controller controller) {
        int good = 0;
        int bad = 0;
        while (!closed) {
            boolean ok = false;
            try (Http.Client client = new Http.Client(controller.publicAddress)) {
                ok = !controller.cutOff && client.call("GET", "/healthz", null, 500, 1000).status() == 200;
            } catch (IOException e) {
                // Not healthy.
            }
            good = ok ? good + 1 : 0;
            bad = ok ? 0 : bad + 1;
            if (good >= 2) {
                controller.healthy = true;
            } else if (bad >= 2) {
                controller.healthy = false;
            }
            sleep(1000);
        }
    }

    /** Cuts a zone off from everything, with its controller and its workers, or ends that. */
    void cutZone(String zone, double seconds) {
        int inside = zones.indexOf(zone);
        setZoneCut(zone, inside, true);
        for (Worker worker : workers) {
            if (worker.zone.equals(zone)) {
                worker.noOrdersUntil = now() + seconds;
            }
        }
        users.schedule(
                () -> setZoneCut(zone, inside, false),
                (long) (seconds * 1000),
                TimeUnit.MILLISECONDS);
    }

    private void setZoneCut(String zone, int inside, boolean isCut) {
        state.setCut(inside, isCut);
        controllers.get(inside).cutOff = isCut;
        for (int i = 0; i < 3; i++) {
            if (i != inside) {
                Link.Mode mode = isCut ? Link.Mode.HOLD : Link.Mode.PASS;
                link(i, inside).setMode(mode);
                link(inside, i).setMode(mode);
                cutWorkers(zone, i, isCut);
                cutWorkers(zones.get(i), inside, isCut);
            }
        }
    }

    private Controller pick() {
        List<Controller> healthy = new ArrayList<>();
        for (Controller controller : controllers) {
            if (controller.healthy) {
                healthy.add(controller);
            }
        }
        List<Controller> from = healthy.isEmpty() ? controllers : healthy;
        synchronized (random) {
            return from.get(random.nextInt(from.size()));
        }
    }

    /** Asks one node; up to three are tried until one accepts the connection. Null: no answer. */
    Http.Reply ask(String method, String path, JsonNode body, int timeoutMillis) {
        for (int attempt = 0; attempt < 3; attempt++) {
            Controller controller = pick();
            if (controller.cutOff) {
                sleep(500);
                continue;
            }
            try (Http.Client client = new Http.Client(controller.publicAddress)) {
                Http.Reply reply = client.call(method, path, body, 500, timeoutMillis);
                log(
                        "%s %s %s at %s: %d %s",
                        method,
                        path,
                        body == null ? "" : body,
                        controller.label,
                        reply.status(),
                        reply.json());
                return reply;
            } catch (java.net.ConnectException e) {
                continue;
            } catch (IOException e) {
                log("%s %s at %s: %s", method, path, controller.label, e);
                return null;
            }
        }
        log("%s %s: no node accepts the connection", method, path);
        return null;
    }

    ObjectNode spec(Job job) {
        ObjectNode node =
                Http.object()
                        .put("name_id", job.id)
                        .put("catch", "class-" + job.kind)
                        .put("crew", job.team)
                        .put("rig", job.kind)
                        .put("tide", job.tide)
                        .put("fronds", job.fronds)
                        .put("cpus", job.cpus)
                        .put("accelerators", job.gpus)
                        .put("ram_gb", job.ram)
                        .put("spore", "img-" + job.kind)
                        .put("image_gb", 1.0)
                        .put("same_place", job.oneZone)
                        .put("scatter", job.scatter)
                        .put("driftwood", job.spot)
                        .put("haul_s", job.kind.equals("standing") ? 0.0 : job.runSeconds)
                        .put("mooring_s", 0.0)
                        .put("stow_s", 0.0);
        node.putArray("hulls").add(TYPE);
        if (job.zone == null) {
            node.putNull("bed");
        } else {
            node.put("bed", job.zone);
        }
        node.putNull("landfall_s");
        if (!job.needs.isEmpty()) {
            ArrayNode needs = node.putArray("holdfast");
            job.needs.forEach(needs::add);
        }
        return node;
    }

    /** Submits a job as a user does; true if it was accepted. */
    boolean submit(Job job) {
        jobs.put(job.id, job);
        double until = now() + 60;
        while (now() < until && !closed) {
            Http.Reply reply = ask("POST", "/work", spec(job), 5000);
            if (reply != null && (reply.status() == 201 || reply.status() == 200)) {
                synchronized (this) {
                    job.acceptedAt = now();
                    job.lastAnswerAt = now();
                }
                note(job, reply, now());
                return true;
            }
            if (reply != null && (reply.status() == 400 || reply.status() == 422)) {
                job.refused = true;
                return false;
            }
            sleep(1000);
        }
        return false;
    }

    /** Submits and follows a job. */
    void launch(Job job) {
        users.execute(
                () -> {
                    if (submit(job)) {
                        users.schedule(() -> poll(job), 2, TimeUnit.SECONDS);
                    }
                });
    }

    void poll(Job job) {
        if (closed) {
            return;
        }
        pollOnce(job);
        if (!job.isOver()) {
            users.schedule(() -> poll(job), 4500 + random.nextInt(1000), TimeUnit.MILLISECONDS);
        }
    }

    Http.Reply pollOnce(Job job) {
        double began = now();
        Http.Reply reply = ask("GET", "/work/" + job.id, null, 2000);
        if (reply != null && reply.status() == 404) {
            if (began > job.acceptedAt) {
                violate("forgotten", "%s is answered 404", job.id);
            }
        } else if (reply != null && reply.status() == 200) {
            note(job, reply, began);
        }
        return reply;
    }

    /** Checks what a user is told. */
    private synchronized void note(Job job, Http.Reply reply, double began) {
        String state = reply.json().path("sway").asText();
        job.lastAnswerAt = now();
        job.lastState = state;
        if (state.equals("done")) {
            if (!job.isDone()) {
                violate("not_done", "%s is called done with %s of %d", job.id, job.done, job.fronds);
            }
            if (Double.isNaN(job.doneToldAt)) {
                job.doneToldAt = now();
            }
            if (!Double.isNaN(job.cancelToldAt)) {
                violate("went_back", "%s: cancelled, then done", job.id);
            }
        } else if (state.equals("aborted")) {
            if (!isCancelAsked(job)) {
                violate("went_back", "%s is called cancelled, nobody asked for it", job.id);
            }
            if (Double.isNaN(job.cancelToldAt)) {
                job.cancelToldAt = now();
            }
            if (!Double.isNaN(job.doneToldAt)) {
                violate("went_back", "%s: done, then cancelled", job.id);
            }
        } else if (began > job.doneToldAt || began > job.cancelToldAt) {
            violate("went_back", "%s is over, then %s", job.id, state);
        } else {
            for (String need : job.needs) {
                if (began > jobs.get(need).cancelToldAt + cancelSeconds) {
                    violate("orphaned", "%s is %s long after %s is cancelled", job.id, state, need);
                }
            }
        }
    }

    private boolean isCancelAsked(Job job) {
        if (!Double.isNaN(job.cancelAskedAt)) {
            return true;
        }
        for (String need : job.needs) {
            if (isCancelAsked(jobs.get(need))) {
                return true;
            }
        }
        return false;
    }

    void cancel(Job job) {
        if (Double.isNaN(job.cancelAskedAt)) {
            job.cancelAskedAt = now();
        }
        double until = now() + 60;
        while (now() < until && !closed) {
            double began = now();
            Http.Reply reply = ask("POST", "/work/" + job.id + "/cancel", Http.object(), 5000);
            if (reply != null && reply.status() == 200) {
                note(job, reply, began);
                return;
            }
            sleep(1000);
        }
    }

    /** Jobs that were accepted and whose users wait for their end, longest wait first. */
    List<Job> unfinished() {
        return jobs.values().stream()
                .filter(job -> !Double.isNaN(job.acceptedAt) && !job.isOver())
                .sorted(Comparator.comparingDouble(job -> job.acceptedAt))
                .toList();
    }

    synchronized double usedGpus(String team) {
        double used = 0;
        for (Worker.Task task : present) {
            used += task.job.team.equals(team) ? task.job.gpus : 0;
        }
        return used;
    }

    /** How many machines are up and have room for one more task of the job. */
    int machinesWithRoom(Job job) {
        int count = 0;
        for (Worker worker : workers) {
            double cpus = job.cpus;
            double gpus = job.gpus;
            double ram = job.ram;
            for (Worker.Task task : worker.list()) {
                if (!task.state.equals("exited")) {
                    cpus += task.job.cpus;
                    gpus += task.job.gpus;
                    ram += task.job.ram;
                }
            }
            boolean allowed = (job.spot || !worker.spot) && !worker.hangs();
            count += allowed && cpus <= 48 && gpus <= 4 && ram <= 288 ? 1 : 0;
        }
        return count;
    }

    synchronized int presentCount(String team) {
        return (int) present.stream().filter(task -> task.job.team.equals(team)).count();
    }

    @Override
    public void close() {
        closed = true;
        users.shutdownNow();
        endProcesses();
        cloud.close();
        links.values().forEach(Link::close);
        state.close();
    }

    void keepLogs(Path target) throws IOException {
        Files.createDirectories(target);
        for (Controller controller : controllers) {
            if (Files.exists(controller.logFile)) {
                Files.copy(
                        controller.logFile,
                        target.resolve(controller.label + ".log"),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
