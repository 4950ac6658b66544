import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the cloud: one machine type, a number of machines in each zone. */
final class Cloud {
    static final String TYPE = "rack-gpu48";

    private static final class Entry {
        final String name;
        final String zone;
        final boolean spot;
        final double rentedAt = Clock.seconds();
        Worker worker;
        double goneAt = Double.POSITIVE_INFINITY;
        double diedAt = Double.POSITIVE_INFINITY;

        Entry(String name, String zone, boolean spot) {
            this.name = name;
            this.zone = zone;
            this.spot = spot;
        }
    }

    private final World world;
    private final Http.Server server;
    private final StateStore.Bucket rate;
    private final double listLag;
    private final double bootSeconds;
    private final int perZone;
    private final TreeMap<String, Entry> machines = new TreeMap<>();
    private final Map<String, ObjectNode> answers = new HashMap<>();
    private int lastName;

    Cloud(World world, double rps, double listLag, double bootSeconds, int perZone)
            throws Exception {
        this.world = world;
        this.rate = new StateStore.Bucket(rps, 2);
        this.listLag = listLag;
        this.bootSeconds = bootSeconds;
        this.perZone = perZone;
        server = Http.serve(this::answer);
    }

    String address() {
        return server.address();
    }

    private Http.Answer answer(Http.Request request) {
        if (!rate.take(1)) {
            return Http.Answer.of(429);
        }
        switch (request.path()) {
            case "/flavors":
                return Http.Answer.of(200, flavors());
            case "/rentals/return":
                return giveBack(request.body());
            default:
                return request.method().equals("POST") ? rent(request.body()) : list(request);
        }
    }

    private ObjectNode flavors() {
        ObjectNode out = Http.map();
        ObjectNode type = out.putArray("hulls").addObject();
        type.put("label", TYPE)
                .put("cpus", 48.0)
                .put("accelerators", 4.0)
                .put("ram_gb", 288.0)
                .put("cache_gb", 120.0)
                .put("pull_gb_per_s", 1.0)
                .put("hourly", 9.73)
                .put("spot_price", 2.78)
                .put("startup_s", bootSeconds);
        ArrayNode zones = type.putArray("beds");
        world.zones.forEach(zones::add);
        return out;
    }

    private synchronized Http.Answer rent(JsonNode body) {
        String charter = body.path("charter").asText();
        ObjectNode known = answers.get(charter);
        if (known != null) {
            return Http.Answer.of(200, known);
        }
        String zone = body.path("bed").asText();
        int count = body.path("count").asInt();
        if (count < 1 || count > 50 || !world.zones.contains(zone)) {
            return Http.Answer.of(400);
        }
        ObjectNode out = Http.map();
        ArrayNode names = out.putArray("buoys");
        for (int i = 0; i < count && used(zone) < perZone; i++) {
            String name = String.format("vm-%06d", ++lastName);
            Entry entry = new Entry(name, zone, body.path("driftwood").asBoolean());
            machines.put(name, entry);
            names.add(name);
            world.timer.schedule(
                    () -> boot(entry),
                    (long) (bootSeconds * 1000),
                    java.util.concurrent.TimeUnit.MILLISECONDS);
        }
        if (names.isEmpty()) {
            return Http.Answer.of(503, Http.map().put("error", "no capacity"));
        }
        answers.put(charter, out);
        world.log("cloud", "rented " + names + " in " + zone);
        return Http.Answer.of(200, out);
    }

    private long used(String zone) {
        return machines.values().stream()
                .filter(
                        e ->
                                e.zone.equals(zone)
                                        && e.goneAt == Double.POSITIVE_INFINITY
                                        && e.diedAt == Double.POSITIVE_INFINITY)
                .count();
    }

    private synchronized void boot(Entry entry) {
        if (entry.goneAt == Double.POSITIVE_INFINITY) {
            try {
                entry.worker = new Worker(world, entry.name, entry.zone, entry.spot);
                world.workers.put(entry.name, entry.worker);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** A machine stops with all that is on it. */
    synchronized void die(String name) {
        Entry entry = machines.get(name);
        entry.diedAt = Clock.seconds();
        entry.worker.stop("machine died");
    }

    private synchronized Http.Answer giveBack(JsonNode body) {
        if (body.path("buoys").size() > 100) {
            return Http.Answer.of(400);
        }
        for (JsonNode name : body.path("buoys")) {
            Entry entry = machines.get(name.asText());
            if (entry != null && entry.goneAt == Double.POSITIVE_INFINITY) {
                entry.goneAt = Clock.seconds();
                if (entry.worker != null) {
                    entry.worker.stop("machine returned");
                }
                world.log("cloud", "returned " + entry.name);
            }
        }
        return Http.Answer.of(200, Http.map());
    }

    private synchronized Http.Answer list(Http.Request request) {
        String after = request.query("after", "");
        int limit = Math.min(500, Integer.parseInt(request.query("limit", "500")));
        double asOf = Clock.seconds() - listLag;
        List<Entry> shown = new ArrayList<>();
        for (Entry e : machines.values()) {
            if (e.name.compareTo(after) > 0 && e.rentedAt <= asOf && e.goneAt > asOf) {
                shown.add(e);
            }
        }
        ObjectNode out = Http.map();
        ArrayNode list = out.putArray("buoys");
        for (Entry e : shown.subList(0, Math.min(limit, shown.size()))) {
            boolean up = e.worker != null && e.rentedAt + bootSeconds <= asOf;
            boolean failed = e.diedAt + 30 <= asOf;
            list.addObject()
                    .put("name_id", e.name)
                    .put("address", e.worker == null ? null : e.worker.address())
                    .put("hull", TYPE)
                    .put("bed", e.zone)
                    .put("driftwood", e.spot)
                    .put("sway", failed ? "failed" : up ? "running" : "starting")
                    .put("age_s", asOf - e.rentedAt);
        }
        return Http.Answer.of(200, out.put("has_next", shown.size() > limit));
    }
}
