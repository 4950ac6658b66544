import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/** Stand-in of the state service. Each controller has an address of its own, so that it can be refused alone. */
final class StateService implements AutoCloseable {
    private record Item(JsonNode value, long version, long lease) {}

    private record Event(String key, long revision, JsonNode value) {}

    private static final class Lease {
        long ttl;
        long ends;
    }

    private static final class Bucket {
        final double rate;
        double tokens;
        long at = System.nanoTime();

        Bucket(double rate) {
            this.rate = rate;
            this.tokens = rate;
        }

        boolean take(int count) {
            long now = System.nanoTime();
            tokens = Math.min(rate, tokens + (now - at) * 1e-9 * rate);
            at = now;
            if (tokens < count) {
                return false;
            }
            tokens -= count;
            return true;
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Http.Server> servers = new ArrayList<>();
    private final Set<Integer> refused = new HashSet<>();
    private final Set<Integer> cut = new HashSet<>();
    private final Bucket requests;
    private final Bucket writes;
    private final int maxValueBytes;
    private final int maxOperations;
    private final Random random;
    private long revision;
    private long lastLease = 100;
    private long discardedUpTo;
    private boolean out;
    private boolean closed;

    /** Share of transactions that get no answer; carried out at once, or 2 to 12 s later. */
    volatile double lateShare;

    volatile boolean lateAtOnce;
    volatile int latencyMillis = 3;

    /** Which transactions take some hundred milliseconds before they are carried out; null: none. */
    volatile java.util.function.Predicate<JsonNode> slow;

    /** A slow transaction isn't carried out if the controller that sent it has ended by then. */
    volatile java.util.function.IntPredicate sender = controller -> true;

    StateService(
            int controllers,
            double rps,
            double writeRps,
            double valueKb,
            int operations,
            long seed)
            throws IOException {
        requests = new Bucket(rps);
        writes = new Bucket(writeRps);
        maxValueBytes = (int) (valueKb * 1024);
        maxOperations = operations;
        random = new Random(seed);
        for (int i = 0; i < controllers; i++) {
            int controller = i;
            servers.add(new Http.Server(request -> handle(controller, request)));
        }
        Http.daemon(this::expire);
    }

    String address(int controller) {
        return servers.get(controller).address();
    }

    synchronized void setOut(boolean isOut) {
        out = isOut;
        if (!isOut) {
            long now = System.nanoTime();
            leases.values().forEach(lease -> lease.ends = now + lease.ttl);
        }
        notifyAll();
    }

    synchronized void setRefused(int controller, boolean isRefused) {
        if (isRefused) {
            refused.add(controller);
        } else {
            refused.remove(controller);
        }
        notifyAll();
    }

    /** Nothing passes between the service and a controller; what is held meanwhile is dropped. */
    synchronized void setCut(int controller, boolean isCut) {
        if (isCut) {
            cut.add(controller);
        } else {
            cut.remove(controller);
        }
        notifyAll();
    }

    private synchronized boolean isCut(int controller) {
        return cut.contains(controller);
    }

    synchronized JsonNode value(String key) {
        Item item = items.get(key);
        return item == null ? null : item.value;
    }

    synchronized int count(String prefix) {
        return items.subMap(prefix, prefix + Character.MAX_VALUE).size();
    }

    /** Stores values as if controllers had done so, each as a change of its own. */
    synchronized void store(Map<String, JsonNode> values) {
        values.forEach((key, value) -> put(key, value, 0, ++revision));
        notifyAll();
    }

    private boolean isUnavailable(int controller) {
        return out || refused.contains(controller);
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                if (closed) {
                    return;
                }
                long now = System.nanoTime();
                if (!out) {
                    List<Long> ended = new ArrayList<>();
                    leases.forEach(
                            (id, lease) -> {
                                if (lease.ends < now) {
                                    ended.add(id);
                                }
                            });
                    ended.forEach(this::end);
                }
            }
            sleep(20);
        }
    }

    private void end(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.forEach(
                (key, item) -> {
                    if (item.lease == id) {
                        keys.add(key);
                    }
                });
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::delete);
        }
        notifyAll();
    }

    private void put(String key, JsonNode value, long lease, long atRevision) {
        items.put(key, new Item(value, atRevision, lease));
        add(new Event(key, atRevision, value));
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            add(new Event(key, revision, null));
        }
    }

    private void add(Event event) {
        events.add(event);
        while (events.size() > 10_000) {
            discardedUpTo = events.poll().revision;
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Http.Reply handle(int controller, Http.Request request) throws Exception {
        if (latencyMillis > 0) {
            sleep(latencyMillis);
        }
        if (isCut(controller)) {
            while (isCut(controller)) {
                sleep(50);
            }
            return null;
        }
        Http.Reply reply = answer(controller, request);
        if (isCut(controller)) {
            while (isCut(controller)) {
                sleep(50);
            }
            return null;
        }
        return reply;
    }

    private Http.Reply answer(int controller, Http.Request request) throws Exception {
        String path = request.path();
        ObjectNode body = request.json();
        if (path.equals("/txn")) {
            if (slow != null && slow.test(body)) {
                sleep(400);
                if (!sender.test(controller)) {
                    return null;
                }
            }
            boolean late;
            synchronized (this) {
                late = !isUnavailable(controller) && random.nextDouble() < lateShare;
            }
            if (late) {
                if (lateAtOnce) {
                    transaction(controller, body);
                } else {
                    long delay = 2000 + random.nextInt(10_000);
                    Http.daemon(
                            () -> {
                                sleep(delay);
                                try {
                                    transaction(-1, body);
                                } catch (IOException e) {
                                    throw new IllegalStateException(e);
                                }
                            });
                }
                sleep(20_000);
                return null;
            }
            return transaction(controller, body);
        }
        if (path.equals("/changes")) {
            return changes(controller, request);
        }
        synchronized (this) {
            if (isUnavailable(controller)) {
                return Http.Reply.of(503);
            }
            if (!requests.take(1)) {
                return Http.Reply.of(429);
            }
            if (path.equals("/kv")) {
                return range(request);
            }
            if (path.startsWith("/kv/")) {
                String key = path.substring(4);
                Item item = items.get(key);
                return item == null
                        ? Http.Reply.of(404, Http.object().put("logbook", revision))
                        : Http.Reply.of(200, node(key, item));
            }
            if (path.equals("/leases")) {
                Lease lease = new Lease();
                lease.ttl = body.path("ttl_ms").asLong() * 1_000_000;
                lease.ends = System.nanoTime() + lease.ttl;
                leases.put(++lastLease, lease);
                return Http.Reply.of(200, Http.object().put("tether", lastLease));
            }
            if (path.startsWith("/leases/")) {
                long id = Long.parseLong(path.split("/")[2]);
                Lease lease = leases.get(id);
                if (lease == null) {
                    return Http.Reply.of(404, Http.object());
                }
                if (request.method().equals("DELETE")) {
                    end(id);
                } else {
                    lease.ends = System.nanoTime() + lease.ttl;
                }
                return Http.Reply.of(200, Http.object().put("tether", id));
            }
        }
        return Http.Reply.of(400);
    }

    private static ObjectNode node(String key, Item item) {
        ObjectNode node = Http.object().put("key", key).put("entry", item.version);
        if (item.lease != 0) {
            node.put("tether", item.lease);
        }
        node.set("value", item.value);
        return node;
    }

    private Http.Reply range(Http.Request request) throws IOException {
        String prefix = request.query().getOrDefault("starts", "");
        String after = request.query().getOrDefault("after", "");
        int limit = Math.min(1000, Integer.parseInt(request.query().getOrDefault("limit", "1000")));
        ObjectNode reply = Http.object();
        ArrayNode list = reply.putArray("items");
        boolean more = false;
        int bytes = 0;
        String from = after.compareTo(prefix) > 0 ? after : prefix;
        for (Map.Entry<String, Item> entry : items.tailMap(from, !from.equals(after)).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            ObjectNode node = node(entry.getKey(), entry.getValue());
            bytes += node.toString().length() + 1;
            if (list.size() == limit || bytes > 500 * 1024) {
                more = true;
                break;
            }
            list.add(node);
        }
        return Http.Reply.of(200, reply.put("has_next", more).put("logbook", revision));
    }

    private synchronized Http.Reply transaction(int controller, ObjectNode body)
            throws IOException {
        if (controller >= 0) {
            if (isUnavailable(controller)) {
                return Http.Reply.of(503);
            }
            if (!requests.take(1) || !writes.take(body.path("apply").size())) {
                return Http.Reply.of(429);
            }
        }
        JsonNode apply = body.path("apply");
        if (apply.size() > maxOperations || body.path("if").size() > 4 * maxOperations) {
            return Http.Reply.of(400, Http.object().put("error", "too many"));
        }
        for (JsonNode operation : apply) {
            if (operation.path("value").toString().length() > maxValueBytes) {
                return Http.Reply.of(400, Http.object().put("error", "too large"));
            }
            long lease = operation.path("tether").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return Http.Reply.of(400, Http.object().put("error", "no such lease"));
            }
        }
        ObjectNode failure = Http.object();
        ArrayNode failed = failure.putArray("failed");
        for (JsonNode condition : body.path("if")) {
            Item item = items.get(condition.path("key").asText());
            if ((item == null ? 0 : item.version) != condition.path("entry").asLong()) {
                failed.add(condition.path("key").asText());
            }
        }
        if (!failed.isEmpty()) {
            return Http.Reply.of(409, failure.put("logbook", revision));
        }
        if (!apply.isEmpty()) {
            revision++;
            for (JsonNode operation : apply) {
                if (operation.has("delete")) {
                    delete(operation.path("delete").asText());
                } else {
                    put(
                            operation.path("put").asText(),
                            operation.path("value"),
                            operation.path("tether").asLong(),
                            revision);
                }
            }
            notifyAll();
        }
        return Http.Reply.of(200, Http.object().put("logbook", revision));
    }

    private synchronized Http.Reply changes(int controller, Http.Request request)
            throws Exception {
        if (isUnavailable(controller)) {
            return Http.Reply.of(503);
        }
        if (!requests.take(1)) {
            return Http.Reply.of(429);
        }
        String prefix = request.query().getOrDefault("starts", "");
        long after = Long.parseLong(request.query().getOrDefault("after", "0"));
        long hold = Long.parseLong(request.query().getOrDefault("hold_ms", "0"));
        long deadline = System.nanoTime() + hold * 1_000_000;
        while (true) {
            if (!isUnavailable(controller)) {
                if (after < discardedUpTo) {
                    return Http.Reply.of(410, Http.object().put("logbook", revision));
                }
                ObjectNode reply = Http.object().put("logbook", revision);
                ArrayNode list = reply.putArray("events");
                if (after < revision) {
                    for (Event event : events) {
                        if (event.revision > after && event.key.startsWith(prefix)) {
                            ObjectNode node = list.addObject();
                            node.put(event.value == null ? "delete" : "put", event.key);
                            if (event.value != null) {
                                node.set("value", event.value);
                            }
                            node.put("entry", event.revision);
                        }
                    }
                }
                if (!list.isEmpty() || System.nanoTime() >= deadline || closed) {
                    return Http.Reply.of(200, reply);
                }
            }
            if (System.nanoTime() > deadline + 30_000_000_000L || closed) {
                return null;
            }
            wait(isUnavailable(controller) ? 200 : Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        notifyAll();
        servers.forEach(Http.Server::close);
    }
}
