package io.kelphoist.statestore.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.statestore.protocol.StateStoreResult.Reason;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decodes the state store's responses. A missing field is decoded as empty, as zero or as a
 * constant that says that it is missing. A response is malformed only if its body is neither empty
 * nor a CBOR map.
 */
public final class StateStoreResponses {
    /**
     * Decodes the body of a successful response.
     *
     * @param <T> type of the decoded value
     */
    public interface Decoder<T> {
        /** Decodes a body; never throws. */
        T decode(ObjectNode body);
    }

    /**
     * A page of a snapshot.
     *
     * @param revision the store's revision when this page was read
     * @param hasNext whether more pages follow
     */
    public record Page(List<StoredRecord> records, long revision, boolean hasNext) {}

    /** Status of a successful response. */
    public static final int OK = 200;

    /** Status of a request that is malformed or exceeds a limit other than the rate limit. */
    public static final int BAD_REQUEST = 400;

    /** Status of a request for a key or a lease that does not exist. */
    public static final int NOT_FOUND = 404;

    /** Status of a transaction whose conditions do not hold. */
    public static final int CONFLICT = 409;

    /** Status of a request for changes that the store has compacted. */
    public static final int GONE = 410;

    /** Status of a request that exceeds the rate limit; it was not executed. */
    public static final int TOO_MANY_REQUESTS = 429;

    /** Status of a request that was not executed while the store has no quorum. */
    public static final int SERVICE_UNAVAILABLE = 503;

    private StateStoreResponses() {}

    /** Decodes the response to a request for one key; the key is taken from the request. */
    public static Decoder<StoredRecord> record(String key) {
        return body -> new StoredRecord(key, body.path("value"), version(body), leaseId(body));
    }

    /** Decodes a page of records; empty if the body has no list of records. */
    public static Decoder<Optional<Page>> page() {
        return StateStoreResponses::decodePage;
    }

    /** Decodes changes of keys. */
    public static Decoder<StoredChanges> changes() {
        return StateStoreResponses::decodeChanges;
    }

    /**
     * Decodes the revision in a response, which for a transaction is the transaction's revision.
     */
    public static Decoder<Long> revision() {
        return StateStoreResponses::decodeRevision;
    }

    /** Decodes the id of a created lease. */
    public static Decoder<Long> createdLeaseId() {
        return body -> body.path("tether").asLong();
    }

    /** Ignores the body and returns the id of the lease that the request named. */
    public static Decoder<Long> requestedLeaseId(long leaseId) {
        return body -> leaseId;
    }

    /**
     * Decodes a response with one of the statuses {@link #OK}, {@link #BAD_REQUEST}, {@link
     * #NOT_FOUND}, {@link #CONFLICT} and {@link #GONE}.
     *
     * @throws MalformedMessageException if the body is neither empty nor a CBOR map
     */
    public static <T> StateStoreResult<T> decodeResponse(
            int status, byte[] bytes, Decoder<T> decoder) throws MalformedMessageException {
        ObjectNode body =
                bytes.length == 0 ? MessageEncoding.newObject() : MessageEncoding.decodeCbor(bytes);
        return switch (status) {
            case OK -> new StateStoreResult.Success<>(decoder.decode(body));
            case NOT_FOUND -> rejected(Reason.NOT_FOUND, body);
            case CONFLICT -> rejected(Reason.CONDITION_FAILED, body);
            case GONE -> rejected(Reason.COMPACTED, body);
            default -> rejected(Reason.INVALID, body);
        };
    }

    private static <T> StateStoreResult<T> rejected(Reason reason, ObjectNode body) {
        JsonNode failed = body.path("failed");
        List<String> failedKeys = new ArrayList<>(failed.size());
        failed.forEach(key -> failedKeys.add(key.asText()));
        return new StateStoreResult.Rejected<>(reason, failedKeys, body.path("error").asText());
    }

    private static Optional<Page> decodePage(ObjectNode body) {
        JsonNode items = body.path("items");
        if (!items.isArray()) {
            return Optional.empty();
        }
        List<StoredRecord> records = new ArrayList<>(items.size());
        for (JsonNode item : items) {
            records.add(
                    new StoredRecord(
                            item.path("key").asText(),
                            item.path("value"),
                            version(item),
                            leaseId(item)));
        }
        boolean hasNext = body.path("has_next").asBoolean();
        return Optional.of(new Page(records, decodeRevision(body), hasNext));
    }

    private static StoredChanges decodeChanges(ObjectNode body) {
        JsonNode events = body.path("events");
        List<RecordChange> changes = new ArrayList<>(events.size());
        for (JsonNode event : events) {
            boolean deleted = !event.has("put");
            String key = event.path(deleted ? "delete" : "put").asText();
            changes.add(
                    new RecordChange(
                            new StoredRecord(key, event.path("value"), version(event)), deleted));
        }
        long revision = body.path("logbook").asLong(StoredChanges.REVISION_NOT_STATED);
        return new StoredChanges(changes, revision);
    }

    private static long decodeRevision(ObjectNode body) {
        return body.path("logbook").asLong();
    }

    private static long version(JsonNode item) {
        return item.path("entry").asLong();
    }

    private static long leaseId(JsonNode item) {
        return item.path("tether").asLong(StoredRecord.LEASE_NOT_STATED);
    }
}
