import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Stand-in of one machine's worker. */
final class Worker {
    /** An attempt at a task on this machine. */
    static final class Task {
        World.Job job;
        int index;
        long cast;
        String state;
        String wreck;
        double hasImageAt;
        double endsAt = Double.POSITIVE_INFINITY;
        double peersAt = Double.POSITIVE_INFINITY;
        boolean present;
        Worker worker;

        String frond() {
            return job.id + "/" + index;
        }
    }

    final String name;
    final String zone;
    final boolean spot;
    private final World world;
    private final Http.Server server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Random random;
    private final List<Http.Client> clients = new ArrayList<>();
    private long session = 1;
    private long sequence;
    private long token;
    private double lastAnsweredSent;
    private boolean changed;
    private double lastTokenChange = Double.NEGATIVE_INFINITY;
    private double lastSent = Double.NEGATIVE_INFINITY;
    private double nextReport;
    private int node;
    volatile boolean dead;

    /** While it hangs, nothing happens on the machine. */
    volatile double hangsUntil;

    /** Reports arrive, but answers and direct commands don't. */
    volatile double deafUntil;

    /** Reaches no controller, but direct commands arrive. */
    volatile double muteUntil;

    /** Direct commands don't arrive. */
    volatile double noOrdersUntil;

    volatile Double ebbs;

    Worker(World world, String name, String zone, boolean spot) throws IOException {
        this.world = world;
        this.name = name;
        this.zone = zone;
        this.spot = spot;
        this.random = new Random(name.hashCode() + world.seed);
        this.lastAnsweredSent = world.now();
        this.node = random.nextInt(world.controllers.size());
        this.server = new Http.Server(this::handle);
        for (int i = 0; i < world.controllers.size(); i++) {
            clients.add(new Http.Client(world.controllers.get(i).publicAddress));
        }
    }

    String address() {
        return server.address();
    }

    void start() {
        world.workers.add(this);
        Http.daemon(this::reportLoop);
    }

    /** The machine is gone, and all tasks with it. */
    void die() {
        dead = true;
        world.workers.remove(this);
        synchronized (this) {
            dropAll("machine gone");
        }
        server.close();
        clients.forEach(Http.Client::close);
    }

    private void dropAll(String why) {
        for (Task task : tasks.values()) {
            leave(task, why);
        }
        tasks.clear();
    }

    private void leave(Task task, String why) {
        if (task.present) {
            task.present = false;
            world.onLeft(task, why);
        }
    }

    private void exit(Task task, String wreck) {
        leave(task, wreck);
        task.state = "exited";
        task.wreck = wreck;
        changed = true;
    }

    boolean hangs() {
        return world.now() < hangsUntil;
    }

    boolean leaseOver() {
        return world.now() - lastAnsweredSent > world.leaseSeconds;
    }

    // ---- time ----

    synchronized void tick(double now) {
        if (dead) {
            return;
        }
        if (leaseOver()) {
            if (hangs()) {
                // The tasks can't go on after the lease; they are killed when the machine goes on.
                tasks.values().forEach(task -> leave(task, "lease over while it hangs"));
                return;
            }
            if (!tasks.isEmpty()) {
                world.log("%s: lease of session %d over, %d tasks killed", name, session, tasks.size());
            }
            dropAll("lease over");
            session++;
            lastAnsweredSent = now;
            changed = true;
        }
        if (hangs()) {
            return;
        }
        for (Task task : new ArrayList<>(tasks.values())) {
            if (task.state.equals("pulling") && now >= task.hasImageAt) {
                task.present = true;
                world.onPresent(task);
                changed = true;
                if (world.isKept(task)) {
                    exit(task, "done");
                } else if (task.job.kind.equals("ensemble")) {
                    task.state = "gathering";
                    world.gather(task);
                } else {
                    run(task, now);
                }
            } else if (task.state.equals("gathering")
                    && now > task.hasImageAt + world.gangWaitSeconds) {
                exit(task, "alone");
            } else if (task.state.equals("running")
                    && now >= task.endsAt
                    && world.isWhole(task)) {
                exit(task, "done");
                world.onDone(task);
            } else if (task.state.equals("running") && now >= task.peersAt) {
                exit(task, "peers");
            }
        }
    }

    void run(Task task, double now) {
        task.state = "running";
        changed = true;
        if (!task.job.kind.equals("standing")) {
            task.endsAt = now + task.job.runSeconds;
        }
        world.onRunning(task);
    }

    // ---- reports ----

    private ObjectNode report() {
        ObjectNode report =
                Http.object()
                        .put("buoy", name)
                        .put("address", address())
                        .put("hull", World.TYPE)
                        .put("bed", zone)
                        .put("driftwood", spot)
                        .put("watch", session)
                        .put("knot", ++sequence)
                        .put("helm", token);
        if (ebbs != null) {
            report.put("ebb_s", ebbs);
        }
        ArrayNode list = report.putArray("fronds");
        for (Task task : tasks.values()) {
            ObjectNode node =
                    list.addObject()
                            .put("frond", task.frond())
                            .put("cast", task.cast)
                            .put("sway", task.state);
            if (task.wreck != null) {
                node.put("wreck", task.wreck);
            }
        }
        return report;
    }

    private void reportLoop() {
        while (!dead) {
            double now = world.now();
            boolean due;
            synchronized (this) {
                due = now >= nextReport || (changed && now >= lastSent + 0.5);
            }
            if (!due || hangs()) {
                World.sleep(20);
                continue;
            }
            try {
                reportOnce();
            } catch (IOException | RuntimeException e) {
                if (!dead) {
                    node = (node + 1) % clients.size();
                    nextReport = world.now() + 1;
                    synchronized (this) {
                        changed = false;
                    }
                }
            }
        }
    }

    private void reportOnce() throws IOException {
        byte[] body;
        long sentSession;
        double sentAt = world.now();
        synchronized (this) {
            changed = false;
            lastSent = sentAt;
            nextReport = sentAt + world.reportSeconds * (0.75 + 0.5 * random.nextDouble());
            sentSession = session;
            body = Http.CBOR.writeValueAsBytes(report());
        }
        if (sentAt < muteUntil || world.isCut(this, node)) {
            World.sleep(4000);
            throw new IOException("not reached");
        }
        world.copyLater(body, random);
        Http.Client client = clients.get(node);
        Http.Reply reply = client.callBytes("POST", "/v1/report", body, 1000, 4000);
        double got = world.now();
        if (got < deafUntil || world.isCut(this, node)) {
            client.close();
            World.sleep(Math.max(0, (long) ((sentAt + 4 - got) * 1000)));
            throw new IOException("answer lost");
        }
        while (hangs()) {
            World.sleep(20);
        }
        if (world.now() > sentAt + 4) {
            client.close();
            throw new IOException("too late");
        }
        if (reply.status() == 421) {
            String to = reply.json().path("harbormaster").asText("");
            int target = world.controllerIndex(to);
            client.close();
            if (target >= 0 && target != node) {
                node = target;
                nextReport = world.now() + random.nextDouble() * 0.5;
            } else {
                node = (node + 1) % clients.size();
                nextReport = world.now() + 1;
            }
            return;
        }
        if (reply.status() != 200) {
            throw new IOException("status " + reply.status());
        }
        JsonNode answer = reply.json();
        synchronized (this) {
            if (sentSession != session || dead) {
                return;
            }
            if (!answer.has("helm") || answer.path("helm").asLong() < token) {
                return;
            }
            if (leaseOver()) {
                return;
            }
            see(answer.path("helm").asLong());
            lastAnsweredSent = Math.max(lastAnsweredSent, sentAt);
            execute(answer.path("calls"));
        }
    }

    private void see(long newToken) {
        if (newToken > token) {
            token = newToken;
            if (world.now() > lastTokenChange + world.leaseSeconds / 2) {
                lastTokenChange = world.now();
                changed = true;
            }
        }
    }

    // ---- commands ----

    private Http.Reply handle(Http.Request request) throws Exception {
        while (hangs() && !dead) {
            World.sleep(20);
        }
        if (world.now() < Math.max(deafUntil, noOrdersUntil)) {
            World.sleep(10_000);
            return null;
        }
        if (request.path().equals("/inspect")) {
            synchronized (this) {
                return Http.Reply.of(200, report());
            }
        }
        double delay = world.commandDelay(random);
        if (delay > 0) {
            World.sleep((long) (delay * 1000));
        }
        Http.Reply reply;
        synchronized (this) {
            if (dead) {
                return null;
            }
            ObjectNode body = request.json();
            if (!body.has("helm") || !body.has("watch")) {
                return Http.Reply.of(400);
            }
            tick(world.now());
            if (body.path("helm").asLong() < token || body.path("watch").asLong() != session) {
                reply = Http.Reply.of(409, report());
            } else {
                see(body.path("helm").asLong());
                execute(body.path("calls"));
                reply = Http.Reply.of(200, report());
            }
        }
        return delay > 0 ? null : reply;
    }

    private void execute(JsonNode calls) {
        for (JsonNode call : calls) {
            String frond = call.path("frond").asText();
            long cast = call.path("cast").asLong();
            String key = frond + "#" + cast;
            Task task = tasks.get(key);
            switch (call.path("call").asText()) {
                case "start" -> {
                    if (task == null) {
                        begin(frond, cast, key);
                    }
                }
                case "halt" -> {
                    if (task != null && !task.state.equals("exited")) {
                        exit(task, "stopped");
                    }
                }
                case "clear" -> {
                    if (task != null && task.state.equals("exited")) {
                        tasks.remove(key);
                        changed = true;
                    }
                }
                default -> {}
            }
        }
    }

    private void begin(String frond, long cast, String key) {
        int slash = frond.indexOf('/');
        Task task = new Task();
        task.worker = this;
        task.cast = cast;
        task.job = world.job(frond.substring(0, slash));
        task.index = Integer.parseInt(frond.substring(slash + 1));
        changed = true;
        if (task.job == null) {
            task.job = new World.Job();
            task.job.id = frond.substring(0, slash);
            refuse(task, key, "unknown");
            return;
        }
        double cpus = task.job.cpus;
        double gpus = task.job.gpus;
        double ram = task.job.ram;
        for (Task other : tasks.values()) {
            if (!other.state.equals("exited")) {
                if (other.frond().equals(frond)) {
                    refuse(task, key, "in_use");
                    return;
                }
                cpus += other.job.cpus;
                gpus += other.job.gpus;
                ram += other.job.ram;
            }
        }
        if (cpus > 48.001 || gpus > 4.001 || ram > 288.001) {
            refuse(task, key, "no_room");
            return;
        }
        task.state = "pulling";
        task.hasImageAt = world.now() + task.job.imageSeconds;
        tasks.put(key, task);
        world.log("%s: start %s cast %d", name, frond, cast);
    }

    private void refuse(Task task, String key, String why) {
        task.state = "exited";
        task.wreck = why;
        tasks.put(key, task);
        world.log("%s: refused %s cast %d: %s", name, task.frond(), task.cast, why);
    }

    synchronized List<Task> list() {
        return new ArrayList<>(tasks.values());
    }
}
