import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** Stand-in of the cloud: rents machines, each with a worker, and lists them late. */
final class CloudService implements AutoCloseable {
    /** A machine. */
    static final class Machine {
        String name;
        String zone;
        boolean spot;
        double rentedAt;
        double goneAt = Double.POSITIVE_INFINITY;
        double unlistedAt = Double.POSITIVE_INFINITY;
        double bootsAt;
        volatile Worker worker;
    }

    private final World world;
    private final Http.Server server;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<String>> charters = new HashMap<>();
    private final Random random;
    private final double lag;
    private final double bootSeconds;
    private final int perZone;
    private final double rps;
    private double tokens;
    private double tokensAt;
    private int lastNumber;
    volatile boolean out;

    CloudService(World world, double rps, double lag, double bootSeconds, int perZone, long seed)
            throws IOException {
        this.world = world;
        this.rps = rps;
        this.tokens = 2 * rps;
        this.lag = lag;
        this.bootSeconds = bootSeconds;
        this.perZone = perZone;
        this.random = new Random(seed);
        this.server = new Http.Server(this::handle);
    }

    String address() {
        return server.address();
    }

    synchronized List<Machine> all() {
        return new ArrayList<>(machines.values());
    }

    private synchronized Http.Reply handle(Http.Request request) throws IOException {
        if (out) {
            return Http.Reply.of(503, Http.object().put("error", "trouble"));
        }
        double now = world.now();
        tokens = Math.min(2 * rps, tokens + (now - tokensAt) * rps);
        tokensAt = now;
        if (tokens < 1) {
            return Http.Reply.of(429);
        }
        tokens--;
        return switch (request.path()) {
            case "/flavors" -> Http.Reply.of(200, types());
            case "/rentals/return" -> giveBack(request.json(), now);
            default ->
                    request.method().equals("POST") ? rent(request.json(), now) : list(request, now);
        };
    }

    private ObjectNode types() {
        ObjectNode reply = Http.object();
        ObjectNode type = reply.putArray("hulls").addObject();
        type.put("label", World.TYPE)
                .put("cpus", 48.0)
                .put("accelerators", 4.0)
                .put("ram_gb", 288.0)
                .put("cache_gb", 120.0)
                .put("pull_gb_per_s", 4.0)
                .put("hourly", 9.73)
                .put("spot_price", 2.78)
                .put("startup_s", bootSeconds);
        ArrayNode zones = type.putArray("beds");
        world.zones.forEach(zones::add);
        return reply;
    }

    private Http.Reply rent(JsonNode body, double now) throws IOException {
        String charter = body.path("charter").asText();
        List<String> names = charters.get(charter);
        if (names == null) {
            String zone = body.path("bed").asText();
            boolean spot = body.path("driftwood").asBoolean();
            long used =
                    machines.values().stream()
                            .filter(m -> m.zone.equals(zone) && m.spot == spot && m.goneAt > now)
                            .count();
            int free = (int) ((spot ? Math.max(1, perZone / 3) : perZone) - used);
            int count = Math.min(free, body.path("count").asInt());
            if (count <= 0) {
                return Http.Reply.of(503, Http.object().put("error", "no capacity"));
            }
            names = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                Machine machine = new Machine();
                machine.name = "vm-%06d".formatted(++lastNumber);
                machine.zone = zone;
                machine.spot = spot;
                machine.rentedAt = now;
                machine.bootsAt = now + bootSeconds * (0.6 + 0.9 * random.nextDouble());
                machines.put(machine.name, machine);
                names.add(machine.name);
            }
            charters.put(charter, names);
            world.log("rented %s in %s for %s", names, zone, charter);
        }
        ObjectNode reply = Http.object();
        ArrayNode list = reply.putArray("buoys");
        names.forEach(list::add);
        return Http.Reply.of(200, reply);
    }

    private Http.Reply giveBack(JsonNode body, double now) throws IOException {
        for (JsonNode name : body.path("buoys")) {
            Machine machine = machines.get(name.asText());
            if (machine != null && machine.goneAt > now) {
                end(machine, now, 0);
                world.log("returned %s", machine.name);
            }
        }
        return Http.Reply.of(200, Http.object());
    }

    /** The machine is gone with all that is on it; it stays listed for some time if it died. */
    private void end(Machine machine, double now, double listedFor) {
        machine.goneAt = now;
        machine.unlistedAt = now + listedFor;
        if (machine.worker != null) {
            machine.worker.die();
        }
    }

    synchronized void kill(Machine machine) {
        if (machine.goneAt > world.now()) {
            end(machine, world.now(), 30);
        }
    }

    private Http.Reply list(Http.Request request, double now) throws IOException {
        double at = now - lag * (random.nextInt(6) == 0 ? 2 : 1) * random.nextDouble();
        String after = request.query().getOrDefault("after", "");
        ObjectNode reply = Http.object();
        ArrayNode list = reply.putArray("buoys");
        for (Machine machine : machines.tailMap(after, false).values()) {
            if (machine.rentedAt <= at && machine.unlistedAt > at) {
                list.addObject()
                        .put("name_id", machine.name)
                        .put("address", machine.worker == null ? "127.0.0.1:1" : machine.worker.address())
                        .put("hull", World.TYPE)
                        .put("bed", machine.zone)
                        .put("driftwood", machine.spot)
                        .put("sway", machine.bootsAt <= at ? "running" : "starting")
                        .put("age_s", at - machine.rentedAt);
            }
        }
        return Http.Reply.of(200, reply.put("has_next", false));
    }

    /** Starts the workers of machines that are up by now; called on the world's ticks. */
    void tick(double now) {
        List<Machine> booted = new ArrayList<>();
        synchronized (this) {
            for (Machine machine : machines.values()) {
                if (machine.worker == null && machine.bootsAt <= now && machine.goneAt > now) {
                    booted.add(machine);
                }
            }
        }
        for (Machine machine : booted) {
            try {
                Worker worker = new Worker(world, machine.name, machine.zone, machine.spot);
                synchronized (this) {
                    machine.worker = worker;
                    if (machine.goneAt <= now) {
                        worker.die();
                    }
                }
                worker.start();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** The machine's worker starts anew at once, with nothing on it. */
    synchronized void restart(Machine machine) throws IOException {
        if (machine.worker == null || machine.goneAt <= world.now()) {
            return;
        }
        machine.worker.die();
        machine.worker = new Worker(world, machine.name, machine.zone, machine.spot);
        machine.worker.start();
    }

    @Override
    public synchronized void close() {
        server.close();
        machines.values().stream().filter(m -> m.worker != null).forEach(m -> m.worker.die());
    }
}
