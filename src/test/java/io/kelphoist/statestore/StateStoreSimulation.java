package io.kelphoist.statestore;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.simulation.ScheduledEvents;
import io.kelphoist.statestore.protocol.RecordChange;
import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StateStoreResult.NotExecutedCause;
import io.kelphoist.statestore.protocol.StoredChanges;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.statestore.protocol.VersionCondition;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Simulates the state service in virtual time. A request is processed some time after it was sent,
 * and its response arrives some time after that. A transaction may get no response and be applied
 * at once or seconds later, after newer ones. All requests may be refused, or those of one
 * controller.
 */
public final class StateStoreSimulation implements StateStoreWatcher, StateStoreWriter, EventLoop {
    /** A key's value and the revision of its last change. */
    public record Item(String key, ObjectNode value, long revision) {}

    private static final double REQUEST_TIMEOUT_SECONDS = 1.5;
    private static final double WATCH_TIMEOUT_MARGIN_SECONDS = 3;
    private static final double WATCH_POLL_SECONDS = 0.05;

    /** Longest time of a request on its way, and of its response. */
    private static final double MAX_DELAY_SECONDS = 29 / 60.0;

    private final ScheduledEvents events = new ScheduledEvents();
    private final TreeMap<String, Item> stored = new TreeMap<>();
    private final List<Item> changes = new ArrayList<>();

    private final List<String> requests = new ArrayList<>();
    private Consumer<Item> changeListener = item -> {};
    private final StateStoreFaults faults = new StateStoreFaults();
    private int lateWrites;
    private int lostResponses;

    /** Admits a number of changes a second, with bursts of one second's worth. */
    private TokenBucket writeRateLimit = new TokenBucket(1e9, 1);

    private int rateLimitedWrites;
    private long compactedRevision;

    private double nowSeconds;
    private long revision = 10;
    private int randomState;

    public StateStoreSimulation(int salt, double startsAt) {
        this.randomState = salt;
        this.nowSeconds = startsAt;
    }

    /** The kinds of all requests that were sent, oldest first. */
    public List<String> requests() {
        return Collections.unmodifiableList(requests);
    }

    /** Called with each change before any other reader can see it. */
    public void setChangeListener(Consumer<Item> listener) {
        changeListener = listener;
    }

    public StateStoreFaults faults() {
        return faults;
    }

    /** Transactions that were applied late, with their conditions met. */
    public int lateWrites() {
        return lateWrites;
    }

    /** Transactions of which only the response was lost, with their conditions met. */
    public int lostResponses() {
        return lostResponses;
    }

    /** Transactions that were refused by the limit of changes a second. */
    public int rateLimitedWrites() {
        return rateLimitedWrites;
    }

    /** Changes up to this revision are compacted. */
    public long compactedRevision() {
        return compactedRevision;
    }

    public void setCompactedRevision(long oldest) {
        compactedRevision = oldest;
    }

    @Override
    public double nowSeconds() {
        return nowSeconds;
    }

    @Override
    public void schedule(double seconds, Runnable task) {
        events.add(nowSeconds + seconds, task);
    }

    public void advance(double seconds) {
        double until = nowSeconds + seconds;
        events.runUntil(until, atSeconds -> nowSeconds = Math.max(nowSeconds, atSeconds));
        nowSeconds = until;
    }

    public long revision() {
        return revision;
    }

    public void limitWriteRate(double writeRps) {
        writeRateLimit = new TokenBucket(writeRps, 1);
    }

    /** Returns null for a key that is not stored. */
    public Item get(String key) {
        return stored.get(key);
    }

    public List<Item> withPrefix(String prefix) {
        return stored.tailMap(prefix).values().stream()
                .takeWhile(item -> item.key().startsWith(prefix))
                .toList();
    }

    /** Changes below a prefix after a revision, oldest first. */
    public List<Item> changes(String prefix, long after) {
        return changes.stream()
                .filter(item -> item.revision() > after && item.key().startsWith(prefix))
                .toList();
    }

    /** Stores a value directly, whatever faults are active. */
    public long put(String key, ObjectNode value) {
        Item item = new Item(key, value, ++revision);
        stored.put(key, item);
        changes.add(item);
        changeListener.accept(item);
        return revision;
    }

    private int nextRandom(int bound) {
        randomState = (int) ((randomState * 48271L + 11) % 2147483647L);
        return Math.floorMod(randomState, bound);
    }

    private double delay() {
        return nextRandom(1000) / 1000.0 * MAX_DELAY_SECONDS;
    }

    private <T> void respond(Consumer<T> handler, T result) {
        schedule(delay(), () -> handler.accept(result));
    }

    // ---- as a controller that is never refused alone ----

    @Override
    public void get(String key, Consumer<StateStoreResult<StoredRecord>> handler) {
        viewFor(() -> false).get(key, handler);
    }

    @Override
    public void readAll(String prefix, Consumer<Optional<StateSnapshot>> handler) {
        viewFor(() -> false).readAll(prefix, handler);
    }

    @Override
    public void changesSince(
            String prefix, long after, Consumer<StateStoreResult<StoredChanges>> handler) {
        viewFor(() -> false).changesSince(prefix, after, handler);
    }

    @Override
    public void commit(
            List<VersionCondition> conditions,
            List<RecordMutation> puts,
            Consumer<StateStoreResult<Long>> handler) {
        viewFor(() -> false).commit(conditions, puts, handler);
    }

    @Override
    public void awaitChanges(
            String prefix,
            long after,
            int holdMillis,
            Consumer<StateStoreResult<StoredChanges>> handler) {
        viewFor(() -> false).awaitChanges(prefix, after, holdMillis, handler);
    }

    /** The view of a controller that may be refused alone. */
    public View viewFor(BooleanSupplier refused) {
        return new View(refused);
    }

    /** The state service as one controller sees it. */
    public final class View implements StateStoreWatcher, StateStoreWriter {
        private final BooleanSupplier unreachable;

        private View(BooleanSupplier refused) {
            this.unreachable = refused;
        }

        private boolean isUnreachable() {
            return faults.isDown() || unreachable.getAsBoolean();
        }

        private void process(Runnable request, Runnable onRefused) {
            schedule(
                    delay(),
                    () -> {
                        if (isUnreachable()) {
                            onRefused.run();
                        } else {
                            request.run();
                        }
                    });
        }

        private <T> void process(Consumer<StateStoreResult<T>> handler, Runnable request) {
            process(
                    request,
                    () ->
                            respond(
                                    handler,
                                    new StateStoreResult.NotExecuted<>(
                                            NotExecutedCause.STORE_UNAVAILABLE)));
        }

        @Override
        public void get(String key, Consumer<StateStoreResult<StoredRecord>> handler) {
            requests.add("get");
            process(
                    handler,
                    () -> {
                        Item item = stored.get(key);
                        if (item == null) {
                            respond(handler, rejected(StateStoreResult.Reason.NOT_FOUND));
                        } else {
                            respond(handler, new StateStoreResult.Success<>(record(item)));
                        }
                    });
        }

        @Override
        public void readAll(String prefix, Consumer<Optional<StateSnapshot>> handler) {
            requests.add("range");
            process(
                    () -> {
                        List<StoredRecord> records = new ArrayList<>();
                        withPrefix(prefix).forEach(item -> records.add(record(item)));
                        respond(handler, Optional.of(new StateSnapshot(records, revision)));
                    },
                    () -> respond(handler, Optional.empty()));
        }

        @Override
        public void changesSince(
                String prefix, long after, Consumer<StateStoreResult<StoredChanges>> handler) {
            requests.add("changes");
            process(handler, () -> respond(handler, changesAfter(prefix, after)));
        }

        private StateStoreResult<StoredChanges> changesAfter(String prefix, long after) {
            if (after < compactedRevision) {
                return rejected(StateStoreResult.Reason.COMPACTED);
            }
            List<RecordChange> found = new ArrayList<>();
            for (Item item : StateStoreSimulation.this.changes(prefix, after)) {
                found.add(new RecordChange(record(item), false));
            }
            return new StateStoreResult.Success<>(new StoredChanges(found, revision));
        }

        @Override
        public void awaitChanges(
                String prefix,
                long after,
                int holdMillis,
                Consumer<StateStoreResult<StoredChanges>> handler) {
            requests.add("watch");
            process(handler, () -> hold(prefix, after, nowSeconds + holdMillis / 1000.0, handler));
        }

        /**
         * During an outage watches stay open; a client gives up some seconds after their timeout.
         */
        private void hold(
                String prefix,
                long after,
                double until,
                Consumer<StateStoreResult<StoredChanges>> handler) {
            boolean isUnavailable = isUnreachable();
            if (isUnavailable && nowSeconds > until + WATCH_TIMEOUT_MARGIN_SECONDS) {
                handler.accept(new StateStoreResult.OutcomeUnknown<>());
            } else if (!isUnavailable
                    && (nowSeconds >= until
                            || after < compactedRevision
                            || !StateStoreSimulation.this.changes(prefix, after).isEmpty())) {
                respond(handler, changesAfter(prefix, after));
            } else {
                StateStoreSimulation.this.schedule(
                        WATCH_POLL_SECONDS, () -> hold(prefix, after, until, handler));
            }
        }

        @Override
        public void commit(
                List<VersionCondition> conditions,
                List<RecordMutation> puts,
                Consumer<StateStoreResult<Long>> handler) {
            if (!isUnreachable() && nextRandom(10) < faults.lateWritesPerTen()) {
                schedule(
                        2 + nextRandom(100) / 10.0,
                        () -> lateWrites += apply(conditions, puts) > 0 ? 1 : 0);
                timeOut(handler);
            } else if (!isUnreachable() && nextRandom(10) < faults.lostResponsesPerTen()) {
                schedule(delay(), () -> lostResponses += apply(conditions, puts) > 0 ? 1 : 0);
                timeOut(handler);
            } else {
                process(handler, () -> respond(handler, execute(conditions, puts)));
            }
        }

        private void timeOut(Consumer<StateStoreResult<Long>> handler) {
            schedule(
                    REQUEST_TIMEOUT_SECONDS,
                    () -> handler.accept(new StateStoreResult.OutcomeUnknown<>()));
        }

        private StateStoreResult<Long> execute(
                List<VersionCondition> conditions, List<RecordMutation> puts) {
            if (!writeRateLimit.tryAcquire(puts.size(), nowSeconds)) {
                rateLimitedWrites++;
                return new StateStoreResult.NotExecuted<>(NotExecutedCause.RATE_LIMITED);
            }
            long appliedAt = apply(conditions, puts);
            if (appliedAt > 0) {
                return new StateStoreResult.Success<>(appliedAt);
            }
            List<String> failed =
                    conditions.stream()
                            .filter(condition -> !isMet(condition))
                            .map(VersionCondition::key)
                            .toList();
            return new StateStoreResult.Rejected<>(
                    StateStoreResult.Reason.CONDITION_FAILED, failed, "");
        }
    }

    private static <T> StateStoreResult<T> rejected(StateStoreResult.Reason reason) {
        return new StateStoreResult.Rejected<>(reason, List.of(), "");
    }

    private static StoredRecord record(Item item) {
        return new StoredRecord(item.key, item.value, item.revision, StoredRecord.LEASE_NOT_STATED);
    }

    private long version(String key) {
        return stored.containsKey(key) ? stored.get(key).revision() : 0;
    }

    private boolean isMet(VersionCondition condition) {
        return version(condition.key()) == condition.version();
    }

    /** Returns the new revision, or 0 if a condition does not hold. */
    private long apply(List<VersionCondition> conditions, List<RecordMutation> puts) {
        if (!conditions.stream().allMatch(this::isMet)) {
            return 0;
        }
        revision++;
        for (RecordMutation mutation : puts) {
            Item item = new Item(mutation.key(), mutation.value(), revision);
            stored.put(mutation.key(), item);
            changes.add(item);
            changeListener.accept(item);
        }
        return revision;
    }
}
