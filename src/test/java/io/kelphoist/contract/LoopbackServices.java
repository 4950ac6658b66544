package io.kelphoist.contract;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A state store, a cloud, a worker and another controller on loopback. They are implemented from
 * the published protocols and share no field names with the main sources. Otherwise a field name
 * that is changed in both the encoder and the decoder of the main sources would not be detected.
 */
final class LoopbackServices implements AutoCloseable {
    /** A received request. */
    record Request(String method, String path, String contentType, ObjectNode body) {
        /** Returns the method, the path and the content type if there is one. */
        String line() {
            return method + " " + path + (contentType == null ? "" : " " + contentType);
        }
    }

    private record Response(int status, ObjectNode body) {}

    private record Item(JsonNode value, long revision, long leaseId) {}

    private record Change(String key, JsonNode value, long revision) {}

    private static final long MAX_WAIT_MILLIS = 100;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<HttpServer> servers = new ArrayList<>();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<String, List<Request>> requestsByService = new HashMap<>();
    private final ObjectNode grantResponse;

    /** By task name: the status of the tasks that run on the worker, as heartbeats have it. */
    private final TreeMap<String, ObjectNode> tasks = new TreeMap<>();

    private long heartbeatCount;

    /** The number of received requests and of changes in the state store. */
    private long notificationCount;

    private long revision = 10;
    private long lastLeaseId = 100;
    final String stateStoreAddress =
            serve("state", /* json= */ false, this::handleStateStoreRequest);
    final String cloudAddress = serve("cloud", /* json= */ false, this::handleCloudRequest);
    final String workerAddress = serve("worker", /* json= */ false, this::handleWorkerRequest);
    final String peerAddress = serve("peer", /* json= */ true, this::handlePeerRequest);

    /**
     * Starts the services.
     *
     * @param grantResponse the other controller's response to every grant request
     */
    LoopbackServices(ObjectNode grantResponse) {
        this.grantResponse = grantResponse;
    }

    /** Puts a value into the state store. */
    synchronized void put(String key, ObjectNode value) {
        store(key, value, 0, ++revision);
        notifyWaiting();
    }

    /** Returns the value of a key in the state store, or null if there is none. */
    synchronized JsonNode stored(String key) {
        Item item = items.get(key);
        return item == null ? null : item.value;
    }

    /**
     * Waits until a service receives a request or the state store changes, for at most {@link
     * #MAX_WAIT_MILLIS}. A controller sends several requests per second.
     */
    synchronized void awaitRequest() {
        long countBefore = notificationCount;
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MILLIS);
        try {
            long remainingNanos = deadlineNanos - System.nanoTime();
            while (notificationCount == countBefore && remainingNanos > 0) {
                TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
                remainingNanos = deadlineNanos - System.nanoTime();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void notifyWaiting() {
        notificationCount++;
        notifyAll();
    }

    /**
     * Returns the requests that a service has received so far, in the order of arrival.
     *
     * @param service state, cloud, worker or peer
     */
    synchronized List<Request> received(String service) {
        return List.copyOf(requestsByService.getOrDefault(service, List.of()));
    }

    /**
     * Starts a service and returns its address.
     *
     * @param json whether its messages are JSON; otherwise they are CBOR
     */
    private String serve(String service, boolean json, Function<Request, Response> handler) {
        try {
            HttpServer server =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
            server.setExecutor(threads);
            server.createContext("/", exchange -> handle(exchange, service, json, handler));
            server.start();
            servers.add(server);
            return "127.0.0.1:" + server.getAddress().getPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void handle(
            HttpExchange exchange,
            String service,
            boolean json,
            Function<Request, Response> handler)
            throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Response response;
        try {
            ObjectNode message =
                    body.length == 0
                            ? MessageEncoding.newObject()
                            : json
                                    ? MessageEncoding.decodeJson(body)
                                    : MessageEncoding.decodeCbor(body);
            Request request =
                    new Request(
                            exchange.getRequestMethod(),
                            exchange.getRequestURI().toString(),
                            exchange.getRequestHeaders().getFirst("Content-Type"),
                            message);
            synchronized (this) {
                requestsByService.computeIfAbsent(service, key -> new ArrayList<>()).add(request);
                notifyWaiting();
            }
            response = handler.apply(request);
        } catch (MalformedMessageException e) {
            response = new Response(400, MessageEncoding.newObject());
        }
        byte[] encoded =
                json
                        ? MessageEncoding.encodeJson(response.body)
                        : MessageEncoding.encodeCbor(response.body);
        exchange.sendResponseHeaders(response.status, encoded.length);
        exchange.getResponseBody().write(encoded);
        exchange.close();
    }

    // ---- the state store ----

    private synchronized Response handleStateStoreRequest(Request request) {
        String path =
                request.path.contains("?")
                        ? request.path.substring(0, request.path.indexOf('?'))
                        : request.path;
        if (path.equals("/kv")) {
            return readRange(query(request.path, "starts"), query(request.path, "after"));
        } else if (path.startsWith("/kv/")) {
            return readItem(path.substring("/kv/".length()));
        } else if (path.equals("/txn")) {
            return applyTransaction(request.body);
        } else if (path.equals("/leases")) {
            return new Response(200, MessageEncoding.newObject().put("tether", ++lastLeaseId));
        } else if (path.startsWith("/leases/")) {
            return new Response(200, MessageEncoding.newObject());
        }
        return awaitChanges(
                query(request.path, "starts"),
                Long.parseLong(query(request.path, "after")),
                query(request.path, "hold_ms"));
    }

    private Response readItem(String key) {
        Item item = items.get(key);
        if (item == null) {
            return new Response(404, MessageEncoding.newObject().put("logbook", revision));
        }
        ObjectNode body = MessageEncoding.newObject().put("key", key).put("entry", item.revision);
        body.set("value", item.value);
        return new Response(200, item.leaseId == 0 ? body : body.put("tether", item.leaseId));
    }

    private Response readRange(String prefix, String afterKey) {
        ObjectNode body =
                MessageEncoding.newObject().put("has_next", false).put("logbook", revision);
        ArrayNode itemNodes = body.putArray("items");
        items.forEach(
                (key, item) -> {
                    if (key.startsWith(prefix) && key.compareTo(afterKey) > 0) {
                        itemNodes
                                .addObject()
                                .put("key", key)
                                .put("entry", item.revision)
                                .set("value", item.value);
                    }
                });
        return new Response(200, body);
    }

    private Response applyTransaction(ObjectNode body) {
        ObjectNode conflict = MessageEncoding.newObject().put("logbook", revision);
        ArrayNode failedKeys = conflict.putArray("failed");
        for (JsonNode condition : body.path("if")) {
            Item item = items.get(condition.get("key").asText());
            if ((item == null ? 0 : item.revision) != condition.get("entry").asLong()) {
                failedKeys.add(condition.get("key").asText());
            }
        }
        if (!failedKeys.isEmpty()) {
            return new Response(409, conflict);
        }
        revision++;
        for (JsonNode operation : body.path("apply")) {
            if (operation.has("put")) {
                store(
                        operation.get("put").asText(),
                        operation.get("value"),
                        operation.path("tether").asLong(),
                        revision);
            } else {
                items.remove(operation.get("delete").asText());
            }
        }
        notifyWaiting();
        return new Response(200, MessageEncoding.newObject().put("logbook", revision));
    }

    private void store(String key, JsonNode value, long leaseId, long atRevision) {
        items.put(key, new Item(value, atRevision, leaseId));
        changes.add(new Change(key, value, atRevision));
    }

    private Response awaitChanges(String prefix, long afterRevision, String holdMillis) {
        long deadlineNanos =
                System.nanoTime()
                        + (holdMillis.isEmpty() ? 0 : Long.parseLong(holdMillis)) * 1_000_000;
        while (true) {
            ObjectNode body = MessageEncoding.newObject().put("logbook", revision);
            ArrayNode events = body.putArray("events");
            for (Change change : changes) {
                if (change.revision > afterRevision && change.key.startsWith(prefix)) {
                    events.addObject()
                            .put("put", change.key)
                            .put("entry", change.revision)
                            .set("value", change.value);
                }
            }
            long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || remainingMillis <= 0) {
                return new Response(200, body);
            }
            try {
                wait(remainingMillis);
            } catch (InterruptedException e) {
                return new Response(503, MessageEncoding.newObject());
            }
        }
    }

    private static String query(String path, String name) {
        for (String pair : path.substring(path.indexOf('?') + 1).split("&", -1)) {
            if (pair.startsWith(name + "=")) {
                return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    // ---- the cloud and the other controller ----

    private Response handleCloudRequest(Request request) {
        if (request.path.equals("/flavors")) {
            return new Response(200, GoldenFiles.readJson("cloud/machine-types"));
        } else if (request.method.equals("GET")) {
            return new Response(200, GoldenFiles.readJson("cloud/machine-list-last-page"));
        }
        return new Response(503, MessageEncoding.newObject().put("error", "no capacity"));
    }

    private Response handlePeerRequest(Request request) {
        return new Response(
                200,
                request.path.equals("/peer/grant") ? grantResponse : MessageEncoding.newObject());
    }

    // ---- the worker, whose tasks run until they are stopped ----

    private synchronized Response handleWorkerRequest(Request request) {
        execute(request.body);
        return new Response(200, nextHeartbeat());
    }

    /** Executes the commands of a direct message to the worker or of a heartbeat response. */
    synchronized void execute(ObjectNode message) {
        for (JsonNode command : message.path("calls")) {
            String task = command.get("frond").asText();
            if (command.get("call").asText().equals("start")) {
                tasks.put(
                        task,
                        MessageEncoding.newObject()
                                .put("frond", task)
                                .put("cast", command.get("cast").asLong())
                                .put("sway", "running"));
            } else {
                tasks.remove(task);
            }
        }
    }

    /** Returns the worker's next heartbeat. */
    synchronized ObjectNode nextHeartbeat() {
        ObjectNode heartbeat = GoldenFiles.readJson("worker/report-without-optional-fields");
        heartbeat
                .put("address", workerAddress)
                .put("watch", 1)
                .put("knot", ++heartbeatCount)
                .put("helm", 1);
        ArrayNode taskNodes = heartbeat.putArray("fronds");
        tasks.values().forEach(taskNodes::add);
        return heartbeat;
    }

    @Override
    public void close() {
        servers.forEach(server -> server.stop(0));
        threads.shutdownNow();
    }
}
