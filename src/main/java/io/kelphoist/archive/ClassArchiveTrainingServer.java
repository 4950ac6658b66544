package io.kelphoist.archive;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.HttpExchanges;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import io.kelphoist.wire.RefusedRequests;
import io.kelphoist.wire.RequestBodyReceiver;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Minimal emulator of the state store, the cloud, another controller and the workers, as far as a
 * start and a failover of one controller use them. Runs only in the build. It uses the controller's
 * HTTP classes, so that the archive contains them. The package {@code emulator} is not used,
 * because its classes would get into the archive.
 *
 * <p>Owns the stored items and the machines. Methods that use them are synchronized.
 */
final class ClassArchiveTrainingServer {
    private static final String MACHINE_TYPES =
            """
            {"hulls":[{"label":"m","cpus":8,"accelerators":4,"ram_gb":64,"cache_gb":20,"pull_gb_per_s":1.0,"hourly":2.0,
             "spot_price":1.0,"startup_s":1,"beds":["z","y"]}]}""";
    private static final int CHANGES_HOLD_MILLIS = 200;
    private static final int MAX_MACHINES = 6;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int LEASE_ID = 7;

    /**
     * A stored value.
     *
     * @param version revision at which it was stored
     * @param leaseId lease to which its key is attached; 0 if none
     */
    private record Item(JsonNode value, long version, long leaseId) {}

    /**
     * A change of a stored value.
     *
     * @param eventNode the change as a watch returns it
     */
    private record Change(long revision, ObjectNode eventNode) {}

    private final int port;
    private final Undertow server;
    private final RequestBodyReceiver requestBodies =
            new RequestBodyReceiver(new RefusedRequests(RefusedRequests.Limits.DEFAULT, () -> {}));
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<String, ObjectNode> machines = new TreeMap<>();
    private long revision;

    /** Starts the server on a loopback port. */
    ClassArchiveTrainingServer(int port) {
        this.port = port;
        server =
                RequestBodyReceiver.newServerBuilder()
                        .addHttpListener(port, "127.0.0.1", this::handle)
                        .build();
        server.start();
    }

    /** Stops the server. */
    void stop() {
        server.stop();
    }

    private void handle(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (!exchange.getRequestMethod().equals(Methods.POST)) {
            HttpExchanges.dispatch(exchange, () -> handleGet(exchange, path));
        } else if (path.startsWith("/peer/")) {
            requestBodies.receive(
                    exchange,
                    MAX_BODY_BYTES,
                    (ex, body) ->
                            HttpExchanges.sendJson(
                                    ex,
                                    StatusCodes.OK,
                                    MessageEncoding.newObject()
                                            .put("granted", true)
                                            .put("state_ok", true)));
        } else {
            requestBodies.receive(
                    exchange,
                    MAX_BODY_BYTES,
                    (ex, body) -> {
                        try {
                            handlePost(ex, path, MessageEncoding.decodeCbor(body));
                        } catch (MalformedMessageException e) {
                            HttpExchanges.sendStatus(ex, StatusCodes.BAD_REQUEST);
                        }
                    });
        }
    }

    // ---- state store and cloud ----

    private void handleGet(HttpServerExchange exchange, String path) {
        if (path.equals("/flavors")) {
            HttpExchanges.sendCbor(exchange, StatusCodes.OK, parseJson(MACHINE_TYPES));
        } else if (path.equals("/rentals")) {
            HttpExchanges.sendCbor(exchange, StatusCodes.OK, listInstances());
        } else if (path.equals("/changes")) {
            exchange.getIoThread()
                    .executeAfter(
                            () ->
                                    HttpExchanges.sendCbor(
                                            exchange, StatusCodes.OK, changesSince(exchange)),
                            CHANGES_HOLD_MILLIS,
                            TimeUnit.MILLISECONDS);
        } else if (path.equals("/kv")) {
            HttpExchanges.sendCbor(
                    exchange,
                    StatusCodes.OK,
                    rangeJson(exchange.getQueryParameters().get("starts").getFirst()));
        } else {
            ObjectNode itemNode = itemJson(path.substring("/kv/".length()));
            HttpExchanges.sendCbor(
                    exchange,
                    itemNode == null ? StatusCodes.NOT_FOUND : StatusCodes.OK,
                    itemNode == null
                            ? MessageEncoding.newObject().put("logbook", revision)
                            : itemNode);
        }
    }

    /** Decodes a JSON text that is known to be valid, such as a constant. */
    static ObjectNode parseJson(String text) {
        try {
            return MessageEncoding.decodeJson(text.getBytes(StandardCharsets.UTF_8));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException("expected valid JSON, found: " + text, e);
        }
    }

    /** Returns an item as the state store encodes it; null if there is none. */
    private synchronized ObjectNode itemJson(String key) {
        Item item = items.get(key);
        if (item == null) {
            return null;
        }
        ObjectNode itemNode =
                MessageEncoding.newObject()
                        .put("key", key)
                        .put("entry", item.version)
                        .put("tether", item.leaseId);
        itemNode.set("value", item.value);
        return itemNode;
    }

    private synchronized ObjectNode rangeJson(String prefix) {
        ObjectNode response =
                MessageEncoding.newObject().put("has_next", false).put("logbook", revision);
        ArrayNode itemNodes = response.putArray("items");
        items.keySet().stream()
                .filter(key -> key.startsWith(prefix))
                .forEach(key -> itemNodes.add(itemJson(key)));
        return response;
    }

    private synchronized ObjectNode changesSince(HttpServerExchange exchange) {
        String prefix = exchange.getQueryParameters().get("starts").getFirst();
        long after = Long.parseLong(exchange.getQueryParameters().get("after").getFirst());
        ObjectNode response = MessageEncoding.newObject().put("logbook", revision);
        ArrayNode eventNodes = response.putArray("events");
        changes.stream()
                .filter(
                        change ->
                                change.revision > after
                                        && change.eventNode.path("put").asText().startsWith(prefix))
                .forEach(change -> eventNodes.add(change.eventNode));
        return response;
    }

    private synchronized void handlePost(
            HttpServerExchange exchange, String path, ObjectNode body) {
        if (path.equals("/txn")) {
            HttpExchanges.sendCbor(exchange, StatusCodes.OK, applyTransaction(body));
        } else if (path.startsWith("/leases")) {
            HttpExchanges.sendCbor(
                    exchange, StatusCodes.OK, MessageEncoding.newObject().put("tether", LEASE_ID));
        } else if (path.equals("/rentals")) {
            HttpExchanges.sendCbor(exchange, StatusCodes.OK, scaleOut(body));
        } else if (path.equals("/orders")) {
            ObjectNode heartbeat = machines.values().iterator().next();
            executeCommands(heartbeat, body);
            HttpExchanges.sendCbor(exchange, StatusCodes.OK, heartbeat.deepCopy());
        } else {
            HttpExchanges.sendCbor(exchange, StatusCodes.OK, MessageEncoding.newObject());
        }
    }

    private ObjectNode applyTransaction(ObjectNode body) {
        revision++;
        for (JsonNode operation : body.path("apply")) {
            if (operation.has("put")) {
                Item item =
                        new Item(
                                operation.path("value"),
                                revision,
                                operation.path("tether").asLong());
                items.put(operation.path("put").asText(), item);
                changes.add(new Change(revision, ((ObjectNode) operation).put("entry", revision)));
            }
        }
        return MessageEncoding.newObject().put("logbook", revision);
    }

    /**
     * Ends the lease of a controller that has stopped: deletes the keys attached to the lease. No
     * watch returns these deletions.
     */
    synchronized void endLease() {
        items.values().removeIf(item -> item.leaseId != 0);
    }

    // ---- machines and workers ----

    private ObjectNode scaleOut(ObjectNode body) {
        ObjectNode response = MessageEncoding.newObject();
        ArrayNode names = response.putArray("buoys");
        for (int i = 0; i < body.path("count").asInt() && machines.size() < MAX_MACHINES; i++) {
            String name = "vm-" + machines.size();
            machines.put(name, newMachine(name, body));
            names.add(name);
        }
        return response;
    }

    /** Creates a machine, which is represented by the next heartbeat of its worker. */
    private ObjectNode newMachine(String name, ObjectNode request) {
        ObjectNode heartbeat =
                MessageEncoding.newObject()
                        .put("buoy", name)
                        .put("address", "127.0.0.1:" + port)
                        .put("hull", request.path("hull").asText())
                        .put("bed", request.path("bed").asText())
                        .put("driftwood", request.path("driftwood").asBoolean())
                        .put("watch", 1)
                        .put("knot", 0)
                        .put("helm", 0);
        heartbeat.putArray("fronds");
        return heartbeat;
    }

    private synchronized ObjectNode listInstances() {
        ObjectNode response = MessageEncoding.newObject().put("has_next", false);
        ArrayNode instances = response.putArray("buoys");
        machines.forEach(
                (name, heartbeat) ->
                        instances
                                .addObject()
                                .put("name_id", name)
                                .put("address", heartbeat.path("address").asText())
                                .put("hull", "m")
                                .put("bed", heartbeat.path("bed").asText())
                                .put("driftwood", false)
                                .put("sway", "running")
                                .put("age_s", 1.0));
        return response;
    }

    /** Returns the next heartbeat of each worker, and advances every task by one step. */
    synchronized List<ObjectNode> nextHeartbeats() {
        List<ObjectNode> heartbeats = new ArrayList<>();
        for (ObjectNode heartbeat : machines.values()) {
            heartbeat.put("knot", heartbeat.path("knot").asLong() + 1);
            heartbeats.add(heartbeat.deepCopy());
            heartbeat.path("fronds").forEach(task -> advance((ObjectNode) task));
        }
        return heartbeats;
    }

    private static void advance(ObjectNode task) {
        if (task.path("sway").asText().equals("pulling")) {
            task.put("sway", "running");
        } else if (task.path("sway").asText().equals("running")
                && task.path("frond").asText().startsWith("job-1/0")) {
            task.put("sway", "exited").put("wreck", "done");
        }
    }

    /** Executes the commands in the response to a worker's heartbeat. */
    synchronized void onResponse(ObjectNode heartbeat, ObjectNode response) {
        executeCommands(machines.get(heartbeat.path("buoy").asText()), response);
    }

    /** Applies a message with commands to the machine that a heartbeat represents. */
    private static void executeCommands(ObjectNode heartbeat, ObjectNode message) {
        heartbeat
                .put("helm", message.path("helm").asLong())
                .put("knot", heartbeat.path("knot").asLong() + 1);
        ArrayNode tasks = (ArrayNode) heartbeat.path("fronds");
        for (JsonNode command : message.path("calls")) {
            String taskName = command.path("frond").asText();
            switch (command.path("call").asText()) {
                case "start" ->
                        tasks.addObject()
                                .put("frond", taskName)
                                .put("cast", command.path("cast").asLong())
                                .put("sway", "pulling");
                case "halt" -> stopTask(tasks, taskName);
                default -> removeTask(tasks, taskName);
            }
        }
    }

    private static void stopTask(ArrayNode tasks, String taskName) {
        for (JsonNode task : tasks) {
            if (task.path("frond").asText().equals(taskName)) {
                ((ObjectNode) task).put("sway", "exited").put("wreck", "stopped");
            }
        }
    }

    private static void removeTask(ArrayNode tasks, String taskName) {
        for (Iterator<JsonNode> iterator = tasks.iterator(); iterator.hasNext(); ) {
            if (iterator.next().path("frond").asText().equals(taskName)) {
                iterator.remove();
            }
        }
    }
}
