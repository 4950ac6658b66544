import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Stand-in for the worker of one machine: sessions, leases, tokens and commands of the protocol
 * page, for array tasks and replicas. A task needs a moment for its image, then runs for the time
 * that its job says.
 */
final class Worker {
    private static final class Task {
        final String name;
        final long attempt;
        String state = "pulling";
        String why;
        boolean onMachine;
        double pulledAt;
        double endsAt = Double.POSITIVE_INFINITY;

        Task(String name, long attempt) {
            this.name = name;
            this.attempt = attempt;
        }
    }

    final String name;
    final String zone;
    private final World world;
    private final boolean spot;
    private final Http.Server server;
    private final Client client = new Client();
    private final Random random = new Random();
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private long session = 1;
    private long seq;
    private long token;
    private double leaseFrom = Clock.seconds();
    private boolean stopped;
    private boolean changed;
    private double reportDueAt = Clock.seconds();
    private double lastReportAt;
    private double lastTokenChange = Double.NEGATIVE_INFINITY;
    private int node;

    /** Until then the machine has no network: nothing leaves it, and what is sent to it is held. */
    private volatile double cutUntil = Double.NEGATIVE_INFINITY;

    Worker(World world, String name, String zone, boolean spot) throws Exception {
        this.world = world;
        this.name = name;
        this.zone = zone;
        this.spot = spot;
        this.node = random.nextInt(world.controllers.size());
        server = Http.serve(this::answer);
        Thread reporter = new Thread(null, this::report, "report-" + name, 256 * 1024);
        reporter.setDaemon(true);
        reporter.start();
        Thread ticker = new Thread(null, this::tickLoop, "tick-" + name, 256 * 1024);
        ticker.setDaemon(true);
        ticker.start();
        world.log(name, "up in " + zone);
    }

    String address() {
        return server.address();
    }

    synchronized void stop(String reason) {
        if (!stopped) {
            stopped = true;
            for (Task task : tasks.values()) {
                off(task, reason);
            }
            tasks.clear();
            world.log(name, reason);
            server.stop();
        }
    }

    /** The machine loses the network for some time. */
    void cut(double seconds) {
        cutUntil = Clock.seconds() + seconds;
    }

    private boolean isCut() {
        return Clock.seconds() < cutUntil;
    }

    synchronized List<String> running() {
        List<String> names = new ArrayList<>();
        for (Task task : tasks.values()) {
            if (task.onMachine) {
                names.add(task.name);
            }
        }
        return names;
    }

    synchronized boolean isUp() {
        return !stopped;
    }

    /** The tasks that it lists. */
    synchronized String describe() {
        StringBuilder out = new StringBuilder();
        for (Task task : tasks.values()) {
            out.append(task.name).append(' ').append(task.state);
            out.append(task.why == null ? "" : " " + task.why).append(' ');
        }
        return out.length() == 0 ? "no task" : out.toString().trim();
    }

    private void tickLoop() {
        while (true) {
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                if (stopped) {
                    return;
                }
                tick(Clock.seconds());
            }
        }
    }

    private void tick(double now) {
        if (now - leaseFrom > world.leaseSeconds) {
            for (Task task : tasks.values()) {
                off(task, "lease over");
            }
            world.log(name, "lease over, session " + (session + 1) + ", dropped " + tasks.size());
            tasks.clear();
            session++;
            leaseFrom = now;
            changed = true;
        }
        for (Task task : tasks.values()) {
            if (task.state.equals("pulling") && now >= task.pulledAt) {
                task.state = "running";
                task.endsAt = now + world.runSeconds(task.name);
                task.onMachine = true;
                world.onTask(task.name, name, true, "attempt " + task.attempt);
                changed = true;
            } else if (task.state.equals("running") && now >= task.endsAt) {
                world.results.add(task.name);
                exit(task, "done");
            }
        }
    }

    private void exit(Task task, String why) {
        task.state = "exited";
        task.why = why;
        off(task, why);
        changed = true;
    }

    private void off(Task task, String why) {
        if (task.onMachine) {
            task.onMachine = false;
            world.onTask(task.name, name, false, why);
        }
    }

    private ObjectNode body() {
        ObjectNode out =
                Http.map()
                        .put("buoy", name)
                        .put("address", address())
                        .put("hull", Cloud.TYPE)
                        .put("bed", zone)
                        .put("driftwood", spot)
                        .put("watch", session)
                        .put("knot", ++seq)
                        .put("helm", token);
        ArrayNode list = out.putArray("fronds");
        for (Task task : tasks.values()) {
            ObjectNode node =
                    list.addObject()
                            .put("frond", task.name)
                            .put("cast", task.attempt)
                            .put("sway", task.state);
            if (task.why != null) {
                node.put("wreck", task.why);
            }
        }
        return out;
    }

    private void report() {
        while (true) {
            try {
                ObjectNode body;
                long sentSession;
                double sentAt;
                synchronized (this) {
                    while (true) {
                        if (stopped) {
                            return;
                        }
                        double now = Clock.seconds();
                        if (now >= reportDueAt || (changed && now >= lastReportAt + 0.5)) {
                            break;
                        }
                        wait(20);
                    }
                    changed = false;
                    body = body();
                    sentSession = session;
                    sentAt = Clock.seconds();
                    lastReportAt = sentAt;
                    reportDueAt = sentAt + world.reportSeconds * (0.75 + 0.5 * random.nextDouble());
                }
                Client.Answer answer = send(body);
                synchronized (this) {
                    onAnswer(answer, sentSession, sentAt);
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** No answer if the machine has no network when the report is sent or answered. */
    private Client.Answer send(ObjectNode body) throws InterruptedException {
        if (isCut()) {
            Thread.sleep(4000);
            return new Client.Answer(0, null);
        }
        Client.Answer answer =
                client.call("POST", world.controllers.get(node), "/v1/report", body, 4000);
        return isCut() ? new Client.Answer(0, null) : answer;
    }

    private void onAnswer(Client.Answer answer, long sentSession, double sentAt) {
        double now = Clock.seconds();
        if (answer.status() == 200 && answer.body() != null) {
            long helm = answer.body().path("helm").asLong(-1);
            if (sentSession != session || helm < token || stopped) {
                return;
            }
            see(helm);
            leaseFrom = Math.max(leaseFrom, sentAt);
            execute(answer.body().path("calls"));
            return;
        }
        if (answer.status() == 421 && answer.body() != null) {
            int target = world.labels.indexOf(answer.body().path("harbormaster").asText());
            if (target >= 0 && target != node) {
                node = target;
                reportDueAt = now + 0.5 * random.nextDouble();
                return;
            }
        }
        node = (node + 1) % world.controllers.size();
        reportDueAt = now + 1;
    }

    private void see(long helm) {
        if (helm > token) {
            token = helm;
            double now = Clock.seconds();
            if (now - lastTokenChange > world.leaseSeconds / 2) {
                lastTokenChange = now;
                changed = true;
            }
        }
    }

    private void execute(JsonNode calls) {
        for (JsonNode call : calls) {
            String task = call.path("frond").asText();
            long attempt = call.path("cast").asLong();
            String key = task + "@" + attempt;
            Task known = tasks.get(key);
            switch (call.path("call").asText()) {
                case "start" -> {
                    if (known == null) {
                        start(task, attempt, key);
                    }
                }
                case "halt" -> {
                    if (known != null && !known.state.equals("exited")) {
                        exit(known, "stopped");
                    }
                }
                case "clear" -> {
                    if (known != null && known.state.equals("exited")) {
                        tasks.remove(key);
                        changed = true;
                    }
                }
                default -> {}
            }
        }
    }

    private void start(String name, long attempt, String key) {
        Task task = new Task(name, attempt);
        task.pulledAt = Clock.seconds() + 0.2;
        tasks.put(key, task);
        changed = true;
        if (!world.isTask(name)) {
            exit(task, "unknown");
            return;
        }
        double cpus = 0;
        for (Task other : tasks.values()) {
            if (other != task && !other.state.equals("exited")) {
                if (other.name.equals(name)) {
                    exit(task, "in_use");
                    return;
                }
                cpus += world.cpus(other.name);
            }
        }
        if (cpus + world.cpus(name) > 48) {
            exit(task, "no_room");
        } else if (world.results.contains(name)) {
            exit(task, "done");
        }
    }

    private Http.Answer answer(Http.Request request) throws InterruptedException {
        while (isCut()) {
            Thread.sleep(50);
        }
        Http.Answer answer = answerNow(request);
        if (world.holdsAnswerTo(request.body())) {
            // Carried out at once; only the answer is held up on its way.
            world.log("TROUBLE", "the answer of " + name + " to the start is held up for 4 s");
            Thread.sleep(4000);
        }
        return answer;
    }

    private synchronized Http.Answer answerNow(Http.Request request) {
        if (request.path().equals("/inspect")) {
            return Http.Answer.of(200, body());
        }
        JsonNode in = request.body();
        if (!in.has("helm") || !in.has("watch")) {
            return Http.Answer.of(400);
        }
        if (in.path("helm").asLong() < token || in.path("watch").asLong() != session) {
            return Http.Answer.of(409, body());
        }
        see(in.path("helm").asLong());
        execute(in.path("calls"));
        return Http.Answer.of(200, body());
    }
}
