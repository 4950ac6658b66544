import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the state service. One port for each controller, so that one of them alone can be
 * refused. Limits, leases, watches and errors are those of the protocol page.
 */
final class StateStore {
    private record Item(JsonNode value, long version, long lease) {}

    private record Change(String key, ObjectNode node, long revision) {}

    private record Lease(long ttlMillis, long expiresMillis) {}

    private static final int MAX_CHANGES = 10_000;
    private static final int MAX_BODY = 64 * 1024;
    private static final int MAX_PAGE_BYTES = 512 * 1024;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final List<Http.Server> servers = new ArrayList<>();
    private final boolean[] refused;
    private final Bucket requests;
    private final Bucket writes;
    private final int valueBytes;
    private final int txnOps;
    private long revision;
    private long compacted;
    private long lastLease;
    private boolean outage;

    /** Extra time before each answer, for "the state service answers slowly". */
    volatile long latencyMillis = 3;

    StateStore(int controllers, double rps, double writeRps, double valueKb, int txnOps)
            throws Exception {
        requests = new Bucket(rps);
        writes = new Bucket(writeRps);
        valueBytes = (int) (valueKb * 1024);
        this.txnOps = txnOps;
        refused = new boolean[controllers];
        for (int i = 0; i < controllers; i++) {
            int node = i;
            servers.add(Http.serve(exchange -> answer(exchange, node)));
        }
    }

    String address(int controller) {
        return servers.get(controller).address();
    }

    /** Refuses one controller with 503; its open watches wait. */
    synchronized void refuse(int controller, boolean on) {
        refused[controller] = on;
        notifyAll();
    }

    synchronized void setOutage(boolean on) {
        outage = on;
        if (!on) {
            long now = Clock.millis();
            leases.replaceAll((id, l) -> new Lease(l.ttlMillis, now + l.ttlMillis));
        }
        notifyAll();
    }

    synchronized String leader() {
        Item item = items.get("k/leader");
        return item == null ? null : item.value.toString();
    }

    synchronized JsonNode value(String key) {
        Item item = items.get(key);
        return item == null ? null : item.value;
    }

    /** Stores a value as if a controller had done so at an earlier time. */
    synchronized void putPast(String key, JsonNode value) {
        revision++;
        items.put(key, new Item(value, revision, 0));
        ObjectNode change = Http.map().put("put", key).put("entry", revision);
        change.set("value", value);
        add(new Change(key, change, revision));
        notifyAll();
    }

    private Http.Answer answer(Http.Request request, int node) throws Exception {
        Thread.sleep(latencyMillis);
        synchronized (this) {
            if (!requests.take(1)) {
                return Http.Answer.of(429);
            }
            if (outage || refused[node]) {
                return Http.Answer.of(503);
            }
            expire();
            String path = request.path();
            String method = request.method();
            if (path.equals("/txn") && method.equals("POST")) {
                return transaction(request);
            }
            if (path.equals("/leases") && method.equals("POST")) {
                long ttl = request.body().path("ttl_ms").asLong();
                if (ttl < 100 || ttl > 600_000) {
                    return Http.Answer.of(400);
                }
                leases.put(++lastLease, new Lease(ttl, Clock.millis() + ttl));
                return Http.Answer.of(200, Http.map().put("tether", lastLease));
            }
            if (path.startsWith("/leases/")) {
                return lease(path, method);
            }
            if (path.equals("/kv")) {
                return range(request);
            }
            if (path.startsWith("/kv/")) {
                String key = path.substring(4);
                Item item = items.get(key);
                return item == null
                        ? Http.Answer.of(404, Http.map().put("logbook", revision))
                        : Http.Answer.of(200, node(key, item));
            }
            if (path.equals("/changes")) {
                return changes(request, node);
            }
            return Http.Answer.of(400);
        }
    }

    private Http.Answer lease(String path, String method) {
        String rest = path.substring("/leases/".length());
        long id = Long.parseLong(rest.contains("/") ? rest.substring(0, rest.indexOf('/')) : rest);
        Lease lease = leases.get(id);
        if (lease == null) {
            return Http.Answer.of(404);
        }
        if (method.equals("DELETE")) {
            leases.remove(id);
            removeKeysOf(id);
        } else {
            leases.put(id, new Lease(lease.ttlMillis, Clock.millis() + lease.ttlMillis));
        }
        return Http.Answer.of(200, Http.map().put("tether", id));
    }

    private void expire() {
        if (outage) {
            return;
        }
        long now = Clock.millis();
        List<Long> ended = new ArrayList<>();
        leases.forEach(
                (id, l) -> {
                    if (l.expiresMillis < now) {
                        ended.add(id);
                    }
                });
        for (Long id : ended) {
            leases.remove(id);
            removeKeysOf(id);
        }
    }

    private void removeKeysOf(long lease) {
        List<String> keys = new ArrayList<>();
        items.forEach(
                (key, item) -> {
                    if (item.lease == lease) {
                        keys.add(key);
                    }
                });
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::delete);
            notifyAll();
        }
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            add(new Change(key, Http.map().put("delete", key).put("entry", revision), revision));
        }
    }

    private void add(Change change) {
        changes.add(change);
        while (changes.size() > MAX_CHANGES) {
            compacted = changes.poll().revision;
        }
    }

    private static ObjectNode node(String key, Item item) {
        ObjectNode node = Http.map().put("key", key).put("entry", item.version);
        node.set("value", item.value);
        if (item.lease != 0) {
            node.put("tether", item.lease);
        }
        return node;
    }

    private Http.Answer range(Http.Request request) {
        String prefix = request.query("starts", "");
        String after = request.query("after", "");
        int limit = Math.min(1000, Integer.parseInt(request.query("limit", "1000")));
        ObjectNode out = Http.map();
        ArrayNode list = out.putArray("items");
        boolean more = false;
        int bytes = 0;
        for (Map.Entry<String, Item> e : items.tailMap(prefix, true).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            if (e.getKey().compareTo(after) <= 0) {
                continue;
            }
            int size = e.getValue().value.toString().length() + 100;
            if (list.size() >= limit || bytes + size > MAX_PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += size;
            list.add(node(e.getKey(), e.getValue()));
        }
        return Http.Answer.of(200, out.put("has_next", more).put("logbook", revision));
    }

    private Http.Answer transaction(Http.Request request) {
        JsonNode body = request.body();
        JsonNode apply = body.path("apply");
        JsonNode conditions = body.path("if");
        if (!writes.take(apply.size())) {
            return Http.Answer.of(429);
        }
        if (apply.size() > txnOps
                || conditions.size() > 4 * txnOps
                || body.toString().length() > MAX_BODY) {
            return Http.Answer.of(400, Http.map().put("error", "too large"));
        }
        for (JsonNode op : apply) {
            if (op.path("value").toString().length() > valueBytes) {
                return Http.Answer.of(400, Http.map().put("error", "value too large"));
            }
            long lease = op.path("tether").asLong();
            if (op.has("put") && lease != 0 && !leases.containsKey(lease)) {
                return Http.Answer.of(400, Http.map().put("error", "no such lease"));
            }
        }
        ObjectNode conflict = Http.map();
        ArrayNode failed = conflict.putArray("failed");
        for (JsonNode c : conditions) {
            Item item = items.get(c.path("key").asText());
            if ((item == null ? 0 : item.version) != c.path("entry").asLong()) {
                failed.add(c.path("key").asText());
            }
        }
        if (!failed.isEmpty()) {
            return Http.Answer.of(409, conflict.put("logbook", revision));
        }
        if (!apply.isEmpty()) {
            revision++;
        }
        for (JsonNode op : apply) {
            if (op.has("delete")) {
                delete(op.path("delete").asText());
            } else {
                String key = op.path("put").asText();
                items.put(key, new Item(op.path("value"), revision, op.path("tether").asLong()));
                ObjectNode change = Http.map().put("put", key).put("entry", revision);
                change.set("value", op.path("value"));
                add(new Change(key, change, revision));
            }
        }
        notifyAll();
        return Http.Answer.of(200, Http.map().put("logbook", revision));
    }

    private Http.Answer changes(Http.Request request, int node) throws InterruptedException {
        String prefix = request.query("starts", "");
        long after = Long.parseLong(request.query("after", "0"));
        long hold = Math.min(60_000, Long.parseLong(request.query("hold_ms", "0")));
        long until = Clock.millis() + hold;
        while (true) {
            expire();
            boolean waits = outage || refused[node];
            if (!waits && after < compacted) {
                return Http.Answer.of(410);
            }
            ObjectNode out = Http.map();
            ArrayNode events = out.putArray("events");
            if (!waits) {
                for (Change change : changes) {
                    if (change.revision > after && change.key.startsWith(prefix)) {
                        events.add(change.node);
                    }
                }
            }
            long left = until - Clock.millis();
            if (!waits && (!events.isEmpty() || left <= 0)) {
                return Http.Answer.of(200, out.put("logbook", revision));
            }
            wait(Math.max(10, Math.min(100, waits ? 100 : left)));
        }
    }

    /** A rate with bursts of one second's worth. */
    static final class Bucket {
        private final double rate;
        private final double burst;
        private double tokens;
        private long last = System.nanoTime();

        Bucket(double rate) {
            this(rate, 1);
        }

        Bucket(double rate, double burstSeconds) {
            this.rate = rate;
            this.burst = rate * burstSeconds;
            this.tokens = burst;
        }

        synchronized boolean take(int n) {
            long now = System.nanoTime();
            tokens = Math.min(burst, tokens + (now - last) * 1e-9 * rate);
            last = now;
            if (tokens < n) {
                return false;
            }
            tokens -= n;
            return true;
        }
    }
}
