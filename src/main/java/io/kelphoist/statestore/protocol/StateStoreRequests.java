package io.kelphoist.statestore.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.HttpRequest;
import io.kelphoist.wire.MessageEncoding;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Encodes the HTTP requests of the state store's protocol. Field names and paths of the protocol
 * occur only here and in {@link StateStoreResponses}.
 */
public final class StateStoreRequests {
    /** Maximum number of records per page of a snapshot. */
    private static final int PAGE_SIZE = 500;

    private StateStoreRequests() {}

    /** Reads one key. */
    public static HttpRequest get(String key) {
        return HttpRequest.get("/kv/" + key);
    }

    /**
     * Reads one page of the records below a prefix.
     *
     * @param afterKey last key of the previous page; empty for the first page
     */
    public static HttpRequest page(String prefix, String afterKey) {
        String firstPage = "/kv?starts=" + urlEncode(prefix) + "&limit=" + PAGE_SIZE;
        String path = afterKey.isEmpty() ? firstPage : firstPage + "&after=" + urlEncode(afterKey);
        return HttpRequest.get(path);
    }

    /** Reads the changes below a prefix after a revision. The store responds at once. */
    public static HttpRequest changes(String prefix, long afterRevision) {
        return HttpRequest.get(changesPath(prefix, afterRevision));
    }

    /**
     * As {@link #changes}, but the store holds the request until a change is available or the hold
     * time has expired; the response then has no changes.
     */
    public static HttpRequest watch(String prefix, long afterRevision, int holdMillis) {
        String path = changesPath(prefix, afterRevision) + "&hold_ms=" + holdMillis;
        return HttpRequest.get(path);
    }

    /** Applies all mutations atomically if all conditions hold. */
    public static HttpRequest transaction(
            List<VersionCondition> conditions, List<RecordMutation> mutations) {
        ObjectNode message = MessageEncoding.newObject();
        ArrayNode conditionList = message.putArray("if");
        for (VersionCondition condition : conditions) {
            conditionList.addObject().put("key", condition.key()).put("entry", condition.version());
        }
        ArrayNode operations = message.putArray("apply");
        for (RecordMutation mutation : mutations) {
            encode(mutation, operations.addObject());
        }
        return HttpRequest.post("/txn", MessageEncoding.encodeCbor(message));
    }

    /** Creates a lease that expires unless it is renewed within its time to live. */
    public static HttpRequest createLease(long timeToLiveMillis) {
        ObjectNode message = MessageEncoding.newObject().put("ttl_ms", timeToLiveMillis);
        return HttpRequest.post("/leases", MessageEncoding.encodeCbor(message));
    }

    /** Renews a lease: it expires one time to live after the renewal. */
    public static HttpRequest renewLease(long leaseId) {
        byte[] emptyMessage = MessageEncoding.encodeCbor(MessageEncoding.newObject());
        return HttpRequest.post("/leases/" + leaseId + "/renew", emptyMessage);
    }

    /** Revokes a lease, which deletes the keys attached to it. */
    public static HttpRequest revokeLease(long leaseId) {
        return HttpRequest.delete("/leases/" + leaseId);
    }

    private static void encode(RecordMutation mutation, ObjectNode operation) {
        if (mutation.isDeletion()) {
            operation.put("delete", mutation.key());
            return;
        }
        operation.put("put", mutation.key()).set("value", mutation.value());
        if (mutation.leaseId() != RecordMutation.NO_LEASE) {
            operation.put("tether", mutation.leaseId());
        }
    }

    private static String changesPath(String prefix, long afterRevision) {
        return "/changes?starts=" + urlEncode(prefix) + "&after=" + afterRevision;
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("%2F", "/");
    }
}
