package io.kelphoist.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MessageEncoding;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Emulates the state store, with faults for tests. Owns the stored items, the leases and the
 * changes, all guarded by its monitor, which is notified of every change, so that a thread can wait
 * for one.
 */
public final class EmulatedStateStore extends EmulatedService {
    private record Item(JsonNode value, long version, long leaseId) {}

    private record ChangeEvent(String key, ObjectNode eventNode, long revision) {}

    private static final String ITEMS_PATH = "/kv";
    private static final String ITEM_PATH_PREFIX = "/kv/";
    private static final String CHANGES_PATH = "/changes";
    private static final String LEASES_PATH = "/leases";
    private static final String TRANSACTION_PATH = "/txn";
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long POLL_MILLIS = 50;
    private static final int MAX_CONDITIONS_PER_OPERATION = 4;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final EmulatedLeases leases = new EmulatedLeases();
    private final List<ChangeEvent> events = new ArrayList<>();
    private long revision;
    private boolean unavailable;
    private boolean closed;
    private boolean watchesUnavailable;

    /** The changes up to this revision have been discarded; 0 if none have. */
    private long compactedRevision;

    private int maxValueBytes = Integer.MAX_VALUE;
    private int maxOperations = Integer.MAX_VALUE;
    private int rejectedTransactionCount;

    /** The next transaction that puts a key with this prefix is held; null to hold none. */
    private String heldKeyPrefix;

    /** The transaction that was held last; null if none was. */
    private ObjectNode heldTransaction;

    /**
     * Sets whether requests get the status 503, except watch requests, which get no changes. Leases
     * don't expire while the store is unavailable; all are renewed once it is available again.
     */
    public synchronized void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
        if (!isUnavailable) {
            leases.renewAll(nowMillis());
        }
        notifyAll();
    }

    /** Waits until a key has a value that meets a condition; has no timeout of its own. */
    public synchronized JsonNode awaitValue(String key, Predicate<JsonNode> condition)
            throws InterruptedException {
        while (true) {
            expireLeases();
            Item item = items.get(key);
            if (item != null && condition.test(item.value)) {
                return item.value;
            }
            wait(POLL_MILLIS);
        }
    }

    /** From now on rejects transactions with a larger value (as JSON) or more operations. */
    public synchronized void setLimits(int valueByteLimit, int operationLimit) {
        maxValueBytes = valueByteLimit;
        maxOperations = operationLimit;
    }

    /** Returns the number of transactions that were rejected because they exceeded a limit. */
    public synchronized int rejectedTransactionCount() {
        return rejectedTransactionCount;
    }

    /** Stores a value directly and without a lease, instead of on a request of a controller. */
    public synchronized void put(String key, JsonNode value) {
        revision++;
        putItem(key, value, 0);
        notifyAll();
    }

    /**
     * As {@link #setUnavailable}, but watch requests, also waiting ones, get the status 503 too.
     */
    public synchronized void setUnavailableWithWatches(boolean isUnavailable) {
        watchesUnavailable = isUnavailable;
        setUnavailable(isUnavailable);
    }

    /**
     * Makes some changes, then discards them and all earlier changes: a client that polls for them
     * must read a snapshot instead.
     */
    public synchronized void compactChanges(Runnable lastChanges) {
        lastChanges.run();
        events.clear();
        compactedRevision = revision;
        notifyAll();
    }

    /**
     * Holds the next transaction that puts a key with a prefix for {@link #applyHeldTransaction},
     * and responds to it with an error: the client does not know the outcome.
     */
    public synchronized void holdNextTransaction(String prefix) {
        heldKeyPrefix = prefix;
    }

    /** Waits, without a timeout, for a held transaction; applies it and returns its HTTP status. */
    public synchronized int applyHeldTransaction() throws InterruptedException {
        while (heldTransaction == null) {
            wait();
        }
        return applyTransaction(heldTransaction).status();
    }

    /** Ends the waiting polls for changes, so that they don't delay the stop, and stops. */
    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        super.close();
    }

    @Override
    protected synchronized Response respond(HttpServerExchange exchange, ObjectNode body)
            throws InterruptedException {
        String path = exchange.getRequestPath();
        if (watchesUnavailable || (unavailable && !path.equals(CHANGES_PATH))) {
            return emptyResponse(StatusCodes.SERVICE_UNAVAILABLE);
        }
        expireLeases();
        if (path.equals(TRANSACTION_PATH)) {
            return holdOrApplyTransaction(body);
        }
        if (path.equals(ITEMS_PATH)) {
            return readRange(
                    query(exchange, "starts", ""),
                    query(exchange, "after", ""),
                    Integer.parseInt(query(exchange, "limit", "1000")));
        }
        if (path.startsWith(ITEM_PATH_PREFIX)) {
            return readItem(path.substring(ITEM_PATH_PREFIX.length()));
        }
        if (path.equals(CHANGES_PATH)) {
            return pollChanges(
                    query(exchange, "starts", ""),
                    Long.parseLong(query(exchange, "after", "0")),
                    nowMillis() + Long.parseLong(query(exchange, "hold_ms", "0")));
        }
        return path.equals(LEASES_PATH) ? createLease(body) : renewOrRevokeLease(path);
    }

    private static Response emptyResponse(int status) {
        return new Response(status, MessageEncoding.newObject());
    }

    private static Response errorResponse(String error) {
        return new Response(
                StatusCodes.BAD_REQUEST, MessageEncoding.newObject().put("error", error));
    }

    // ---- leases ----

    private static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    private void expireLeases() {
        if (!unavailable) {
            leases.removeExpired(nowMillis()).forEach(this::deleteKeysOfLease);
        }
    }

    private void deleteKeysOfLease(long leaseId) {
        List<String> keys =
                items.entrySet().stream()
                        .filter(entry -> entry.getValue().leaseId == leaseId)
                        .map(Map.Entry::getKey)
                        .toList();
        for (String key : keys) {
            deleteItem(key, ++revision);
        }
    }

    private Response createLease(ObjectNode body) {
        long leaseId = leases.create(body.path("ttl_ms").asLong(), nowMillis());
        return new Response(StatusCodes.OK, MessageEncoding.newObject().put("tether", leaseId));
    }

    /** Renews or revokes the lease whose id is in a path. */
    private Response renewOrRevokeLease(String path) {
        int idStart = LEASES_PATH.length() + 1;
        int idEnd = path.indexOf('/', idStart);
        long leaseId =
                Long.parseLong(
                        idEnd < 0 ? path.substring(idStart) : path.substring(idStart, idEnd));
        if (!leases.contains(leaseId)) {
            return emptyResponse(StatusCodes.NOT_FOUND);
        }
        if (path.endsWith("/renew")) {
            leases.renew(leaseId, nowMillis());
        } else {
            leases.remove(leaseId);
            deleteKeysOfLease(leaseId);
        }
        return emptyResponse(StatusCodes.OK);
    }

    // ---- items ----

    /** Stores an item with the current revision as its version. */
    private void putItem(String key, JsonNode value, long leaseId) {
        items.put(key, new Item(value, revision, leaseId));
        ObjectNode event = MessageEncoding.newObject().put("put", key).put("entry", revision);
        event.set("value", value);
        events.add(new ChangeEvent(key, event, revision));
    }

    private void deleteItem(String key, long atRevision) {
        items.remove(key);
        events.add(
                new ChangeEvent(
                        key,
                        MessageEncoding.newObject().put("delete", key).put("entry", atRevision),
                        atRevision));
        notifyAll();
    }

    private static ObjectNode itemJson(String key, Item item) {
        ObjectNode itemNode =
                MessageEncoding.newObject()
                        .put("key", key)
                        .put("entry", item.version)
                        .put("tether", item.leaseId);
        itemNode.set("value", item.value);
        return itemNode;
    }

    private Response readItem(String key) {
        Item item = items.get(key);
        return item == null
                ? new Response(
                        StatusCodes.NOT_FOUND, MessageEncoding.newObject().put("logbook", revision))
                : new Response(StatusCodes.OK, itemJson(key, item));
    }

    private Response readRange(String prefix, String afterKey, int limit) {
        ObjectNode response = MessageEncoding.newObject().put("logbook", revision);
        ArrayNode itemNodes = response.putArray("items");
        boolean hasMore = false;
        for (Map.Entry<String, Item> entry : items.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(afterKey) > 0) {
                if (itemNodes.size() == limit) {
                    hasMore = true;
                    break;
                }
                itemNodes.add(itemJson(entry.getKey(), entry.getValue()));
            }
        }
        return new Response(StatusCodes.OK, response.put("has_next", hasMore));
    }

    // ---- transactions ----

    private Response holdOrApplyTransaction(ObjectNode body) {
        for (JsonNode operation : body.path("apply")) {
            if (heldKeyPrefix != null && operation.path("put").asText().startsWith(heldKeyPrefix)) {
                heldTransaction = body;
                heldKeyPrefix = null;
                notifyAll();
                return emptyResponse(StatusCodes.INTERNAL_SERVER_ERROR);
            }
        }
        return applyTransaction(body);
    }

    private Response applyTransaction(ObjectNode body) {
        if (isTooLarge(body)) {
            rejectedTransactionCount++;
            return errorResponse("too large");
        }
        if (namesUnknownLease(body)) {
            return errorResponse("no such lease");
        }
        ObjectNode failure = MessageEncoding.newObject().put("logbook", revision);
        ArrayNode failedKeys = failure.putArray("failed");
        addFailedConditions(body, failedKeys);
        if (!failedKeys.isEmpty()) {
            return new Response(StatusCodes.CONFLICT, failure);
        }
        revision++;
        for (JsonNode operation : body.path("apply")) {
            apply(operation);
        }
        notifyAll();
        return new Response(StatusCodes.OK, MessageEncoding.newObject().put("logbook", revision));
    }

    private boolean isTooLarge(ObjectNode body) {
        if (body.path("apply").size() > maxOperations
                || body.path("if").size() > (long) MAX_CONDITIONS_PER_OPERATION * maxOperations) {
            return true;
        }
        for (JsonNode operation : body.path("apply")) {
            if (operation.has("value")
                    && MessageEncoding.encodeJson((ObjectNode) operation.path("value")).length
                            > maxValueBytes) {
                return true;
            }
        }
        return false;
    }

    private boolean namesUnknownLease(ObjectNode body) {
        for (JsonNode operation : body.path("apply")) {
            long leaseId = operation.path("tether").asLong();
            if (leaseId != 0 && !leases.contains(leaseId)) {
                return true;
            }
        }
        return false;
    }

    private void addFailedConditions(ObjectNode body, ArrayNode failedKeys) {
        for (JsonNode condition : body.path("if")) {
            String key = condition.path("key").asText();
            Item item = items.get(key);
            long version = item == null ? 0 : item.version;
            if (version != condition.path("entry").asLong()) {
                failedKeys.add(key);
            }
        }
    }

    private void apply(JsonNode operation) {
        if (operation.has("delete")) {
            deleteItem(operation.path("delete").asText(), revision);
        } else {
            putItem(
                    operation.path("put").asText(),
                    operation.path("value"),
                    operation.path("tether").asLong());
        }
    }

    // ---- changes ----

    /** Blocks until keys with a prefix change, or until a deadline: then there are no events. */
    private Response pollChanges(String prefix, long afterRevision, long deadlineMillis)
            throws InterruptedException {
        while (true) {
            expireLeases();
            if (watchesUnavailable) {
                return emptyResponse(StatusCodes.SERVICE_UNAVAILABLE);
            }
            if (afterRevision < compactedRevision) {
                return emptyResponse(StatusCodes.GONE);
            }
            ObjectNode response = changesAfter(prefix, afterRevision);
            long remainingMillis = deadlineMillis - nowMillis();
            if (!response.path("events").isEmpty() || remainingMillis <= 0 || closed) {
                return new Response(StatusCodes.OK, response);
            }
            wait(Math.min(remainingMillis, POLL_MILLIS));
        }
    }

    private ObjectNode changesAfter(String prefix, long afterRevision) {
        ObjectNode response = MessageEncoding.newObject().put("logbook", revision);
        ArrayNode matchingEvents = response.putArray("events");
        for (ChangeEvent event : events) {
            if (!unavailable && event.revision > afterRevision && event.key.startsWith(prefix)) {
                matchingEvents.add(event.eventNode);
            }
        }
        return response;
    }
}
