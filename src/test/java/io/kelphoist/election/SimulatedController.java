package io.kelphoist.election;

import io.kelphoist.election.ElectionCounters.Counter;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** A controller's process with its clock, its election, its requests and its messages. */
final class SimulatedController implements Election.Actions {
    /** The parts of the simulation that all controllers share. */
    record Environment(
            SimulatedTimeline timeline,
            Random random,
            SimulatedElectionStore store,
            SimulatedLinks links,
            List<SimulatedController> controllers,
            ElectionCounters counters,
            ElectionSimulation.Listener listener) {}

    private static final double GRANT_SECONDS = 1.5;
    private static final double READ_RETRY_SECONDS = 0.25;
    private static final double TRANSACTION_TIMEOUT_SECONDS = 1.5;

    private final String name;
    private final double clockOffsetSeconds;
    private final double clockRate;
    private final Environment environment;
    private final SimulatedTimeline timeline;
    private final Random random;
    private final SimulatedElectionStore store;
    private Election election;
    private boolean up = true;
    private long incarnation;
    private double frozenUntilSeconds;
    private boolean refusedByStore;
    private boolean hasTriedToAcquire;
    private boolean hasReleasedOldLease;
    private long newestRevision;

    SimulatedController(
            String name, double clockOffsetSeconds, double clockRate, Environment environment) {
        this.name = name;
        this.clockOffsetSeconds = clockOffsetSeconds;
        this.clockRate = clockRate;
        this.environment = environment;
        timeline = environment.timeline();
        random = environment.random();
        store = environment.store();
    }

    String name() {
        return name;
    }

    Election election() {
        return election;
    }

    /** Number of the current process of this controller. */
    long incarnation() {
        return incarnation;
    }

    /** Returns the time of this controller's own clock, which drifts, in seconds. */
    double clock() {
        return clockOffsetSeconds + timeline.nowSeconds() * clockRate;
    }

    boolean isRunning() {
        return up && timeline.nowSeconds() >= frozenUntilSeconds;
    }

    boolean isLeading() {
        return isRunning() && election.isLeader(clock());
    }

    // ---- the process ----

    /** Starts a new process without any state of an earlier one. */
    void start() {
        incarnation++;
        up = true;
        hasTriedToAcquire = false;
        hasReleasedOldLease = false;
        newestRevision = 0;
        election =
                new Election(
                        name,
                        ElectionSimulation.NAMES.stream()
                                .filter(peer -> !peer.equals(name))
                                .toList(),
                        SimulatedElectionStore.LEASE_SECONDS,
                        GRANT_SECONDS,
                        clock(),
                        this);
        readKeys();
    }

    void crash(double restartSeconds) {
        up = false;
        environment.listener().onLeadershipEnded(name);
        long crashedIncarnation = incarnation;
        timeline.schedule(
                restartSeconds,
                () -> {
                    if (incarnation == crashedIncarnation) {
                        start();
                    }
                });
    }

    /** Pauses the process while its clock continues to run. */
    void freeze(double seconds) {
        frozenUntilSeconds = timeline.nowSeconds() + seconds;
    }

    void resign() {
        if (isRunning()) {
            election.resign("test", clock());
        }
    }

    void setRefusedByStore(boolean refused) {
        refusedByStore = refused;
    }

    boolean isRefusedByStore() {
        return refusedByStore;
    }

    /**
     * Runs an action in this process after a delay. It is dropped if the process has ended by then,
     * and run after the pause if the process is frozen.
     */
    void schedule(double delaySeconds, Runnable action) {
        long scheduledIncarnation = incarnation;
        timeline.schedule(delaySeconds, () -> runIn(scheduledIncarnation, action));
    }

    private void runIn(long scheduledIncarnation, Runnable action) {
        if (incarnation != scheduledIncarnation || !up) {
            return;
        }
        double now = timeline.nowSeconds();
        if (now < frozenUntilSeconds) {
            timeline.schedule(
                    frozenUntilSeconds - now + 0.001, () -> runIn(scheduledIncarnation, action));
        } else {
            action.run();
        }
    }

    // ---- requests to the state store ----

    private boolean isStoreReachable() {
        return !store.isUnavailable() && !refusedByStore;
    }

    /** Sends a request; the response is empty if the store did not carry it out. */
    private <T> void request(Supplier<T> carryOut, Consumer<Optional<T>> onResponse) {
        timeline.schedule(
                random.nextInt(20) / 100.0,
                () -> {
                    Optional<T> response =
                            isStoreReachable() ? Optional.of(carryOut.get()) : Optional.empty();
                    schedule(random.nextInt(20) / 100.0, () -> onResponse.accept(response));
                });
    }

    void onKeysChanged() {
        schedule(
                random.nextInt(30) / 100.0,
                () -> {
                    if (isStoreReachable()) {
                        readKeys();
                    }
                });
    }

    void readKeys() {
        request(
                store::read,
                read ->
                        read.ifPresentOrElse(
                                this::onKeysRead,
                                () -> schedule(READ_RETRY_SECONDS, this::readKeys)));
    }

    private void onKeysRead(SimulatedElectionStore.Snapshot keys) {
        if (keys.revision() < newestRevision) {
            return;
        }
        newestRevision = keys.revision();
        SimulatedElectionStore.Key leader = keys.leader();
        if (keys.isHeldBy(name) && !hasTriedToAcquire && !hasReleasedOldLease) {
            // An earlier process of this controller was the leader; its lease is not needed.
            hasReleasedOldLease = true;
            releaseLease(leader.leaseId());
        }
        election.onLeaderKeyRead(
                leader == null ? null : leader.controller(),
                leader == null ? 0 : leader.term(),
                keys.lastTerm(),
                clock());
    }

    @Override
    public void acquireLeadership() {
        hasTriedToAcquire = true;
        double sentAtSeconds = clock();
        request(
                store::grantLease,
                lease ->
                        lease.ifPresentOrElse(
                                leaseId -> readAndAcquire(leaseId, sentAtSeconds),
                                () -> election.onAcquisitionFailed(clock())));
    }

    private void readAndAcquire(long leaseId, double sentAtSeconds) {
        request(
                store::read,
                read -> {
                    if (read.isEmpty() || read.get().leader() != null) {
                        onAcquisitionFailed(leaseId);
                    } else {
                        acquire(leaseId, read.get(), sentAtSeconds);
                    }
                });
    }

    private void acquire(long leaseId, SimulatedElectionStore.Snapshot keys, double sentAtSeconds) {
        long term = keys.lastTerm() + 1;
        Supplier<Long> transaction =
                () -> store.acquire(name, leaseId, keys.lastTerm(), keys.termVersion());
        if (isStoreReachable() && store.drawDelayedTransaction()) {
            timeline.schedule(
                    random.nextInt(120) / 10.0,
                    () ->
                            countIfCommitted(
                                    Counter.DELAYED_ACQUISITIONS,
                                    !store.isUnavailable(),
                                    transaction));
            schedule(
                    TRANSACTION_TIMEOUT_SECONDS,
                    () -> resolveUnknownOutcome(leaseId, term, sentAtSeconds));
        } else if (isStoreReachable() && store.drawLostResponse()) {
            timeline.schedule(
                    random.nextInt(20) / 100.0,
                    () ->
                            countIfCommitted(
                                    Counter.ACQUISITIONS_WITHOUT_RESPONSE,
                                    isStoreReachable(),
                                    transaction));
            schedule(
                    TRANSACTION_TIMEOUT_SECONDS,
                    () -> resolveUnknownOutcome(leaseId, term, sentAtSeconds));
        } else {
            request(
                    transaction,
                    revision -> {
                        if (revision.isPresent() && revision.get() > 0) {
                            onAcquired(leaseId, term, revision.get(), sentAtSeconds);
                        } else {
                            onAcquisitionFailed(leaseId);
                        }
                    });
        }
    }

    /** Runs a transaction without a response, and counts it if it was received and committed. */
    private void countIfCommitted(Counter counter, boolean isReceived, Supplier<Long> transaction) {
        if (isReceived && transaction.get() != 0) {
            environment.counters().increment(counter);
        }
    }

    /** Reads the keys to determine whether a transaction without a response was committed. */
    private void resolveUnknownOutcome(long leaseId, long term, double sentAtSeconds) {
        request(
                store::read,
                read -> {
                    boolean isAcquired =
                            read.isPresent()
                                    && read.get().isHeldBy(name)
                                    && read.get().leader().term() == term
                                    && read.get().leader().leaseId() == leaseId;
                    if (isAcquired) {
                        onAcquired(leaseId, term, read.get().leader().revision(), sentAtSeconds);
                    } else {
                        onAcquisitionFailed(leaseId);
                    }
                });
    }

    private void onAcquired(long leaseId, long term, long revision, double sentAtSeconds) {
        newestRevision = Math.max(newestRevision, revision);
        election.onLeadershipAcquired(term, leaseId, sentAtSeconds, clock());
    }

    private void onAcquisitionFailed(long leaseId) {
        releaseLease(leaseId);
        election.onAcquisitionFailed(clock());
        readKeys();
    }

    @Override
    public void renewLease(long leaseId) {
        double sentAtSeconds = clock();
        boolean isResponseLost = store.drawLostResponse();
        request(
                () -> store.renewLease(leaseId),
                renewed -> {
                    if (renewed.isPresent() && !isResponseLost) {
                        election.onLeaseRenewed(leaseId, renewed.get(), sentAtSeconds, clock());
                        if (!renewed.get()) {
                            readKeys();
                        }
                    }
                });
    }

    @Override
    public void releaseLease(long leaseId) {
        request(() -> revokeLease(leaseId), ended -> readKeys());
    }

    private boolean revokeLease(long leaseId) {
        store.removeLease(leaseId);
        return true;
    }

    // ---- messages to other controllers ----

    @Override
    public void handOverLeadership(long endedTerm, long leaseId) {
        environment.counters().increment(Counter.HANDOVERS);
        boolean isPreferred = random.nextBoolean();
        request(
                () -> revokeLease(leaseId),
                ended ->
                        environment.controllers().stream()
                                .filter(peer -> peer != this)
                                .forEach(peer -> sendTermEnded(peer, endedTerm, isPreferred)));
    }

    private void sendTermEnded(SimulatedController peer, long endedTerm, boolean isPreferred) {
        environment
                .links()
                .send(
                        this,
                        peer,
                        () -> {
                            peer.election.onTermEnded(endedTerm, isPreferred, peer.clock());
                            peer.election.tick(peer.clock());
                        });
    }

    @Override
    public void requestGrant(String peerName, long term, double sentAtSeconds) {
        SimulatedController peer =
                environment.controllers().get(ElectionSimulation.NAMES.indexOf(peerName));
        Runnable onGranted = () -> election.onGrantReceived(peerName, term, sentAtSeconds);
        environment
                .links()
                .send(
                        this,
                        peer,
                        () -> {
                            if (peer.election.onGrantRequested(term, peer.clock())) {
                                environment.links().send(peer, this, onGranted);
                            }
                        });
    }

    @Override
    public boolean isReplicaCurrent() {
        return true;
    }

    @Override
    public void onElected(long term) {
        environment.counters().increment(Counter.TERMS);
        environment.listener().onElected(name, term);
    }

    @Override
    public void onLeadershipEnded() {
        environment.listener().onLeadershipEnded(name);
    }

    @Override
    public String toString() {
        return name + " state=" + election.state() + " leader=" + election.leader();
    }
}
