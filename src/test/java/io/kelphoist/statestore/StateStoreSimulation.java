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
 * Simulates the state store in virtual time, without leases and deletions. A request is processed
 * some time after it was sent, and its response arrives some time after that. The response to a
 * transaction may be lost; the transaction is then applied after the usual delay, or seconds later
 * and after newer ones. The store may be unavailable to all controllers or to one of them.
 */
public final class StateStoreSimulation implements StateStoreWatcher, StateStoreWriter, EventLoop {
    /** A key's value and the revision of its last change. */
    public record Item(String key, ObjectNode value, long revision) {}

    /** A transaction without response ends after this time, with an unknown outcome. */
    private static final double REQUEST_TIMEOUT_SECONDS = 1.5;

    /** A watch request times out this long after its hold time. */
    private static final double WATCH_TIMEOUT_MARGIN_SECONDS = 3;

    private static final double WATCH_POLL_SECONDS = 0.05;

    /** Maximum delay of a request until it is processed, and of its response after that. */
    private static final double MAX_DELAY_SECONDS = 29 / 60.0;

    private final ScheduledEvents events = new ScheduledEvents();
    private final TreeMap<String, Item> stored = new TreeMap<>();
    private final List<Item> changes = new ArrayList<>();

    private final List<String> requests = new ArrayList<>();
    private Consumer<Item> changeListener = item -> {};
    private final StateStoreFaults faults = new StateStoreFaults();
    private int lateTransactions;
    private int lostResponses;

    /** Limits the mutations per second, with bursts of the mutations of one second. */
    private TokenBucket mutationLimiter = new TokenBucket(1e9, 1);

    private int rateLimitedTransactions;
    private long compactedRevision;

    private double nowSeconds;
    private long revision = 10;
    private int randomState;

    /** Creates an empty store; the seed determines delays and which transactions have faults. */
    public StateStoreSimulation(int seed, double startSeconds) {
        this.randomState = seed;
        this.nowSeconds = startSeconds;
    }

    /** Returns the kinds of all read and watch requests that were sent, oldest first. */
    public List<String> requests() {
        return Collections.unmodifiableList(requests);
    }

    /** Sets a listener that receives each change before any reader can. */
    public void setChangeListener(Consumer<Item> listener) {
        changeListener = listener;
    }

    /** Returns the faults that affect all controllers, to be changed by the test. */
    public StateStoreFaults faults() {
        return faults;
    }

    /** Returns the number of transactions that were applied late, with their conditions met. */
    public int lateTransactions() {
        return lateTransactions;
    }

    /** Returns the number of applied transactions whose response alone was lost. */
    public int lostResponses() {
        return lostResponses;
    }

    /** Returns the number of transactions that exceeded the limit on mutations per second. */
    public int rateLimitedTransactions() {
        return rateLimitedTransactions;
    }

    /** Returns the revision up to which changes are compacted. */
    public long compactedRevision() {
        return compactedRevision;
    }

    /** Compacts the changes up to a revision. */
    public void setCompactedRevision(long newRevision) {
        compactedRevision = newRevision;
    }

    @Override
    public double nowSeconds() {
        return nowSeconds;
    }

    @Override
    public void schedule(double seconds, Runnable task) {
        events.add(nowSeconds + seconds, task);
    }

    /** Advances the virtual time and runs all events that are due. */
    public void advance(double seconds) {
        double endSeconds = nowSeconds + seconds;
        events.runUntil(endSeconds, atSeconds -> nowSeconds = Math.max(nowSeconds, atSeconds));
        nowSeconds = endSeconds;
    }

    /** Returns the revision of the last change. */
    public long revision() {
        return revision;
    }

    /** Limits the mutations per second. */
    public void limitMutationRate(double mutationsPerSecond) {
        mutationLimiter = new TokenBucket(mutationsPerSecond, 1);
    }

    /** Returns what is stored under a key now, or null if the key is not stored. */
    public Item get(String key) {
        return stored.get(key);
    }

    /** Returns what is stored under all keys with a prefix now, ordered by key. */
    public List<Item> withPrefix(String prefix) {
        return stored.tailMap(prefix).values().stream()
                .takeWhile(item -> item.key().startsWith(prefix))
                .toList();
    }

    /** Returns the changes below a prefix after a revision, oldest first. */
    public List<Item> changes(String prefix, long after) {
        return changes.stream()
                .filter(item -> item.revision() > after && item.key().startsWith(prefix))
                .toList();
    }

    /** Stores a value at once, independent of the faults, and returns the new revision. */
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

    // ---- requests of a controller to which only the faults for all controllers apply ----

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
            List<RecordMutation> mutations,
            Consumer<StateStoreResult<Long>> handler) {
        viewFor(() -> false).commit(conditions, mutations, handler);
    }

    @Override
    public void awaitChanges(
            String prefix,
            long after,
            int holdMillis,
            Consumer<StateStoreResult<StoredChanges>> handler) {
        viewFor(() -> false).awaitChanges(prefix, after, holdMillis, handler);
    }

    /** Returns one controller's view; while {@code refused}, the store is unavailable to it. */
    public View viewFor(BooleanSupplier refused) {
        return new View(refused);
    }

    /** The state store as one controller reaches it. */
    public final class View implements StateStoreWatcher, StateStoreWriter {
        private final BooleanSupplier refused;

        private View(BooleanSupplier refused) {
            this.refused = refused;
        }

        private boolean isUnavailable() {
            return faults.isUnavailable() || refused.getAsBoolean();
        }

        private void process(Runnable request, Runnable onUnavailable) {
            schedule(
                    delay(),
                    () -> {
                        if (isUnavailable()) {
                            onUnavailable.run();
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
            List<RecordChange> recordChanges = new ArrayList<>();
            for (Item item : StateStoreSimulation.this.changes(prefix, after)) {
                recordChanges.add(new RecordChange(record(item), false));
            }
            return new StateStoreResult.Success<>(new StoredChanges(recordChanges, revision));
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

        /** Holds a watch request; an outage leaves it without a response until its timeout. */
        private void hold(
                String prefix,
                long after,
                double until,
                Consumer<StateStoreResult<StoredChanges>> handler) {
            boolean isUnavailable = isUnavailable();
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
                List<RecordMutation> mutations,
                Consumer<StateStoreResult<Long>> handler) {
            if (!isUnavailable() && nextRandom(10) < faults.lateTransactionsPerTen()) {
                schedule(
                        2 + nextRandom(100) / 10.0,
                        () -> lateTransactions += apply(conditions, mutations) > 0 ? 1 : 0);
                timeOut(handler);
            } else if (!isUnavailable() && nextRandom(10) < faults.lostResponsesPerTen()) {
                schedule(delay(), () -> lostResponses += apply(conditions, mutations) > 0 ? 1 : 0);
                timeOut(handler);
            } else {
                process(handler, () -> respond(handler, execute(conditions, mutations)));
            }
        }

        private void timeOut(Consumer<StateStoreResult<Long>> handler) {
            schedule(
                    REQUEST_TIMEOUT_SECONDS,
                    () -> handler.accept(new StateStoreResult.OutcomeUnknown<>()));
        }

        private StateStoreResult<Long> execute(
                List<VersionCondition> conditions, List<RecordMutation> mutations) {
            if (!mutationLimiter.tryAcquire(mutations.size(), nowSeconds)) {
                rateLimitedTransactions++;
                return new StateStoreResult.NotExecuted<>(NotExecutedCause.RATE_LIMITED);
            }
            long appliedRevision = apply(conditions, mutations);
            if (appliedRevision > 0) {
                return new StateStoreResult.Success<>(appliedRevision);
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

    /** Applies a transaction. Returns the new revision, or 0 if a condition does not hold. */
    private long apply(List<VersionCondition> conditions, List<RecordMutation> mutations) {
        if (!conditions.stream().allMatch(this::isMet)) {
            return 0;
        }
        revision++;
        for (RecordMutation mutation : mutations) {
            Item item = new Item(mutation.key(), mutation.value(), revision);
            stored.put(mutation.key(), item);
            changes.add(item);
            changeListener.accept(item);
        }
        return revision;
    }
}
