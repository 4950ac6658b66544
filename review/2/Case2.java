import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Three users submit a last job each that needs many jobs, all done but one, which runs for two
 * seconds. Other users have a service each. The disruption: the machine of that one loses the
 * network for 20 s, so that the last jobs wait a while. Everybody asks as before.
 */
public final class Case2 {
    private static final double FORGOTTEN_SECONDS = 75;
    private static final double END_SECONDS = Double.parseDouble(System.getProperty("end", "113"));

    /** Replicas of other users, who ask about them all the time. */
    private static final int SERVICES = 9;
    private static final double CUT_SECONDS = 20;
    private static final int ASK_MILLIS = 2000;

    private final World world;
    private final boolean trouble;
    private final int needs;
    private final ExecutorService pool = Executors.newCachedThreadPool(Case2::daemon);

    /** When a question about a job was answered last. */
    private final Map<String, Double> answered = new ConcurrentHashMap<>();

    /** When the disruption is over. */
    private double troubleAt = Double.NaN;

    private Case2(World world, boolean trouble, int needs) {
        this.world = world;
        this.trouble = trouble;
        this.needs = needs;
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (World world = new World(Path.of(args[0]), Path.of(args[1], "record.txt"))) {
            try {
                result = new Case2(world, trouble, Integer.getInteger("needs", 160)).run();
            } catch (Exception e) {
                world.log("case", "could not run: " + e);
                result = 2;
            }
            world.log("case", "result " + result);
        }
        System.exit(result);
    }

    private int run() throws Exception {
        for (int i = 0; i < 3; i++) {
            world.startController(i);
        }
        if (!world.awaitHealthy(20)) {
            return 2;
        }
        List<String> services = new ArrayList<>();
        for (int i = 0; i < SERVICES; i++) {
            String id = "job-90" + i;
            services.add(id);
            ObjectNode service = world.job(id, "standing", 1, 1.0, 1e9, List.of());
            if (!submit(new Client(), id, service, i % 3, 20)) {
                return 2;
            }
        }
        for (int i = 0; i < SERVICES; i++) {
            int n = i;
            answered.put(services.get(n), Clock.seconds());
            pool.submit(() -> ask(services.get(n), n % 3, Clock.seconds() + 0.5 * n));
        }
        lookEverywhere(services);
        List<String> ids = submitMany();
        if (ids == null || !awaitDone(ids)) {
            return 2;
        }
        ids.add("job-800");
        List<ObjectNode> lastJobs = new ArrayList<>();
        ObjectNode late = world.job("job-800", "batch", 1, 1.0, 2, List.of());
        for (int i = 0; i < 3; i++) {
            lastJobs.add(world.job("job-70" + i, "batch", 1, 1.0, 1e9, ids));
        }
        // Each as soon as those that it needs are accepted.
        Client client = new Client();
        if (!submit(client, "job-800", late, 0, 5)) {
            return 2;
        }
        List<Future<Boolean>> submitted = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int n = i;
            submitted.add(
                    pool.submit(() -> submit(new Client(), "job-70" + n, lastJobs.get(n), n, 1)));
        }
        double submittedAt = Clock.seconds();
        if (trouble && !cutMachine()) {
            return 2;
        }
        for (Future<Boolean> accepted : submitted) {
            if (!accepted.get()) {
                return 2;
            }
        }
        for (int i = 0; i < 3; i++) {
            int n = i;
            answered.put("job-70" + n, Clock.seconds());
            pool.submit(() -> ask("job-70" + n, n, submittedAt + 5));
        }
        while (Clock.seconds() < END_SECONDS) {
            Thread.sleep(500);
        }
        return judge(submittedAt);
    }

    private boolean submit(Client client, String id, ObjectNode body, int node, int tries)
            throws InterruptedException {
        for (int i = 0; i < tries; i++) {
            Client.Answer answer =
                    client.call("POST", world.controllers.get(node), "/work", body, 5000);
            if (tries == 1 || i > 0 || body.has("holdfast")) {
                world.log("user", "submits " + id + " at " + world.labels.get(node) + ": " + answer);
            }
            if (answer.status() == 201 || answer.status() == 200) {
                return true;
            }
            Thread.sleep(1000);
        }
        return false;
    }

    /** Right after their jobs were accepted, their users ask at all nodes, three times. */
    private void lookEverywhere(List<String> ids) throws InterruptedException {
        Client client = new Client();
        for (int round = 0; round < 3; round++) {
            for (String id : ids) {
                for (String controller : world.controllers) {
                    client.call("GET", controller, "/work/" + id, null, ASK_MILLIS);
                }
            }
            Thread.sleep(100);
        }
    }

    /** Jobs of one task, all done soon. */
    private List<String> submitMany() throws Exception {
        List<String> ids = new ArrayList<>();
        List<Future<Boolean>> accepted = new ArrayList<>();
        ExecutorService users = Executors.newFixedThreadPool(6, Case2::daemon);
        for (int i = 0; i < needs; i++) {
            String id = "job-" + (1000 + i);
            ids.add(id);
            ObjectNode body = world.job(id, "batch", 1, 1.0, 2, List.of());
            int node = i % 3;
            accepted.add(users.submit(() -> submit(new Client(), id, body, node, 10)));
        }
        for (Future<Boolean> one : accepted) {
            if (!one.get(30, TimeUnit.SECONDS)) {
                return null;
            }
        }
        world.log("user", needs + " jobs accepted");
        return ids;
    }

    /** Their users ask at each node until they are told that the job is done. */
    private boolean awaitDone(List<String> ids) throws Exception {
        List<Future<Boolean>> told = new ArrayList<>();
        for (int node = 0; node < 3; node++) {
            String address = world.controllers.get(node);
            told.add(
                    pool.submit(
                            () -> {
                                Client client = new Client();
                                for (String id : ids) {
                                    while (!client.call("GET", address, "/work/" + id, null, ASK_MILLIS)
                                            .sway()
                                            .equals("done")) {
                                        if (Clock.seconds() > 45) {
                                            return false;
                                        }
                                        Thread.sleep(500);
                                    }
                                }
                                return true;
                            }));
        }
        for (Future<Boolean> one : told) {
            if (!one.get()) {
                return false;
            }
        }
        world.log("user", "all of them called done at all nodes");
        return true;
    }

    /** The machine with the task of job-800 loses the network. */
    private boolean cutMachine() throws InterruptedException {
        double until = Clock.seconds() + 10;
        while (Clock.seconds() < until) {
            String machine = world.machineOf("job-800/0");
            if (machine != null) {
                world.workers.get(machine).cut(CUT_SECONDS);
                troubleAt = Clock.seconds() + CUT_SECONDS;
                world.log("TROUBLE", machine + " loses the network for " + CUT_SECONDS + " s");
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    /** A user asks every 5 s and waits 2 s; after no answer, the next question goes elsewhere. */
    private void ask(String id, int firstNode, double firstAt) {
        int node = firstNode;
        double next = firstAt;
        while (true) {
            try {
                Thread.sleep((long) Math.max(1, (next - Clock.seconds()) * 1000));
            } catch (InterruptedException e) {
                return;
            }
            next = Clock.seconds() + 5;
            Client.Answer answer =
                    new Client()
                            .call("GET", world.controllers.get(node), "/work/" + id, null, ASK_MILLIS);
            world.log("user", "asks " + id + " at " + world.labels.get(node) + ": " + answer);
            if (answer.status() == 200) {
                answered.put(id, Clock.seconds());
            } else {
                node = (node + 1) % 3;
            }
        }
    }

    private int judge(double submittedAt) {
        double now = Clock.seconds();
        boolean broken = false;
        for (String id : new TreeMap<>(answered).keySet()) {
            double from = Math.max(answered.get(id), trouble ? troubleAt : submittedAt);
            boolean forgotten = now - from >= FORGOTTEN_SECONDS;
            world.log(
                    "case",
                    String.format(
                            "%s: no question answered for %.1f s%s",
                            id, now - from, forgotten ? ": FORGOTTEN" : ""));
            broken |= forgotten;
        }
        Client client = new Client();
        for (int i = 0; i < 3; i++) {
            Client.Answer health = client.call("GET", world.controllers.get(i), "/healthz", null, 1000);
            world.log("case", world.labels.get(i) + " /healthz: " + health);
        }
        return broken ? 1 : 0;
    }
}
