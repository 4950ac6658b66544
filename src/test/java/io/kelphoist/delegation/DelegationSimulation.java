package io.kelphoist.delegation;

import io.kelphoist.cancellation.ConfirmedCancellations;
import io.kelphoist.model.SchedulingPolicy;
import java.util.ArrayList;
import java.util.List;

/**
 * Simulates lease delegation with two zones, three controllers, one worker, a state store and
 * users, and checks the rules for leases and cancellations in each step.
 *
 * <p>The faults are: clocks drift, messages are held, processes crash, and the state store refuses
 * one controller or is unavailable. Users cancel the job and query it through any controller. Times
 * are in seconds of simulated true time, which the controllers cannot read.
 *
 * <p>Controller 0 is the first leader, in zone {@code b} or outside it. The worker and controller 1
 * are in zone {@code b}. The worker runs the task of the only job until the leader stops it.
 */
final class DelegationSimulation {
    static final double LEASE_SECONDS = 22;
    static final double CANCELLATION_TIMEOUT_SECONDS = 47;
    static final double HEARTBEAT_INTERVAL_SECONDS = 4;
    static final String JOB = "job-1";

    private static final int CONTROLLERS = 3;
    private static final double STEP_SECONDS = 0.25;
    private static final double GRANT_REQUEST_INTERVAL_SECONDS = 0.375;

    private final DelegationTiming timing =
            DelegationTiming.of(CANCELLATION_TIMEOUT_SECONDS, LEASE_SECONDS);
    private final DelegationNetwork network = new DelegationNetwork(CONTROLLERS);
    private final DelegationStore store = new DelegationStore(network);
    private final DelegatedWorker worker = new DelegatedWorker();
    private final List<DelegationController> controllers = new ArrayList<>();
    private DelegationTerm term;
    private long termCount;
    private double readsStaleUntilSeconds;
    private double nextHeartbeatAtSeconds;
    private double nextGrantRequestAtSeconds;

    /** When the cancellation was first acknowledged to a user; infinite before that. */
    private double acknowledgedAtSeconds = Double.POSITIVE_INFINITY;

    private int delegatedRenewals;
    private int assumedLeaseExpirations;
    private int withheldRenewals;
    private int acknowledgementsUnknownToLeader;
    private int expiredLeases;

    DelegationSimulation(boolean leaderInWorkersZone, boolean clocksDrift) {
        double drift = clocksDrift ? SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO : 0;
        addController(
                leaderInWorkersZone ? "b" : "a",
                /* clockOffsetSeconds= */ 1000,
                /* clockRate= */ 1 + drift);
        addController("b", /* clockOffsetSeconds= */ 50, /* clockRate= */ 1);
        addController("a", /* clockOffsetSeconds= */ 7000, /* clockRate= */ 1 + drift / 2);
        beginTerm(controllers.get(0));
    }

    private void addController(String zone, double clockOffsetSeconds, double clockRate) {
        controllers.add(
                new DelegationController(
                        controllers.size(), zone, clockOffsetSeconds, clockRate, timing, network));
    }

    private void beginTerm(DelegationController leader) {
        long number = ++termCount;
        term =
                new DelegationTerm(
                        number,
                        leader,
                        controllers.stream().filter(peer -> peer != leader).toList(),
                        new DelegationTerm.Environment(network, store, worker, timing),
                        () -> termCount == number);
    }

    // ---- faults ----

    /**
     * Blocks or unblocks messages in both directions. Held messages are delivered when the link is
     * unblocked.
     */
    void setLinkBlocked(int first, int second, boolean blocked) {
        network.setBlocked(second, first, blocked);
        network.setBlocked(first, second, blocked);
    }

    /**
     * Blocks or unblocks messages in one direction, for example responses to requests that arrive.
     */
    void setOneWayBlocked(int from, int to, boolean blocked) {
        network.setBlocked(from, to, blocked);
    }

    void setWorkerBlocked(int controller, boolean blocked) {
        controllers.get(controller).setWorkerBlocked(blocked);
    }

    /** Sets whether the worker's heartbeats arrive at a controller while its responses are lost. */
    void setWorkerResponsesBlocked(int controller, boolean blocked) {
        controllers.get(controller).setWorkerResponsesBlocked(blocked);
    }

    /**
     * Crashes a controller's process and restarts it.
     *
     * @param restartSeconds delay until the restart, which may be too short for other controllers
     *     to detect the crash
     */
    void crash(int controller, double restartSeconds) {
        DelegationController crashed = controllers.get(controller);
        crashed.stop();
        network.schedule(restartSeconds, crashed::start);
    }

    /**
     * A controller becomes the leader if it is up, can access the state store and does not lead
     * already, and if the leader key and the last grant that it gave have expired.
     */
    void failOver(int controller) {
        DelegationController next = controllers.get(controller);
        boolean leadsAlready = next == term.leader() && term.isLeaderRunning();
        if (next.isUp()
                && !leadsAlready
                && store.isReachableBy(next)
                && term.isKeyExpired()
                && network.nowSeconds()
                        > next.lastGrantAtSeconds() + DelegationTerm.GRANT_SECONDS + 0.1) {
            beginTerm(next);
        }
    }

    /** Prevents the leader from reading new job records for the duration of a leader lease. */
    void makeReadsStale() {
        readsStaleUntilSeconds = network.nowSeconds() + DelegationTerm.KEY_SECONDS;
    }

    void setStoreUnavailable(boolean unavailable) {
        store.setUnavailable(unavailable);
    }

    void setRefusedByStore(int controller, boolean refused) {
        controllers.get(controller).setRefusedByStore(refused);
    }

    void setLeaderRefusedByStore(boolean refused) {
        term.leader().setRefusedByStore(refused);
    }

    // ---- users ----

    /**
     * A user cancels the job through a controller. Has no effect if the controller is down or
     * cannot access the state store.
     *
     * @param isAcknowledged false if the response is lost; the user may query the job later
     */
    void cancel(int controller, boolean isAcknowledged) {
        DelegationController receiver = controllers.get(controller);
        if (receiver.isUp() && store.isReachableBy(receiver)) {
            store.putCancellation();
            receiver.onCancellationReceived();
            if (isAcknowledged) {
                acknowledge(receiver);
            }
        }
    }

    /**
     * A user queries the job. A controller that has read the cancellation responds even during an
     * outage.
     */
    void query(int controller) {
        DelegationController receiver = controllers.get(controller);
        if (receiver.isUp() && store.isReachableBy(receiver) && store.isCancelled()) {
            receiver.onCancellationReceived();
        }
        if (receiver.isUp() && receiver.hasReceivedCancellation()) {
            acknowledge(receiver);
        }
    }

    private void acknowledge(DelegationController receiver) {
        receiver.confirmed().add(JOB, receiver.clock());
        boolean isLeader = receiver == term.leader();
        if (!isAcknowledged()) {
            if (!isLeader && !store.isReachableBy(term.leader())) {
                acknowledgementsUnknownToLeader++;
            }
            acknowledgedAtSeconds = network.nowSeconds();
        }
        if (isLeader) {
            term.onCancellationReceived();
        }
    }

    /**
     * Users cancel more jobs through one controller than its list of confirmed cancellations can
     * hold.
     */
    void overflowConfirmedCancellations(int controller) {
        DelegationController receiver = controllers.get(controller);
        for (int i = 0; receiver.isUp() && i <= ConfirmedCancellations.MAX_ENTRIES; i++) {
            receiver.confirmed().add("job-" + (1000 + i), receiver.clock());
        }
    }

    // ---- time ----

    /** Advances the simulated time. */
    void advance(double seconds) {
        double end = network.nowSeconds() + seconds;
        while (network.nowSeconds() < end) {
            network.advance(STEP_SECONDS);
            network.runDueEvents();
            step();
            checkRules();
        }
    }

    private void step() {
        double now = network.nowSeconds();
        term.advanceKey(STEP_SECONDS);
        term.renewKey(now < readsStaleUntilSeconds);
        if (term.isLeaderRunning() && now >= nextGrantRequestAtSeconds) {
            nextGrantRequestAtSeconds = now + GRANT_REQUEST_INTERVAL_SECONDS;
            term.requestGrants();
        }
        if (term.mayAct()) {
            term.storeRecords();
            term.offerToSelf();
        }
        if (now >= nextHeartbeatAtSeconds) {
            nextHeartbeatAtSeconds = now + HEARTBEAT_INTERVAL_SECONDS;
            sendHeartbeat();
        }
    }

    /** The worker tries one controller after the other until it receives a response. */
    private void sendHeartbeat() {
        worker.dropTokenOfExpiredLease(network.nowSeconds());
        for (DelegationController controller : controllers) {
            if (controller.isWorkerBlocked() || !controller.isUp()) {
                continue;
            }
            boolean isResponseReceived =
                    (controller == term.leader() && term.mayAct())
                            ? sendToLeader(controller)
                            : sendToDelegate(controller);
            if (isResponseReceived) {
                return;
            }
        }
    }

    /**
     * Returns whether the worker receives a response. If the response is lost, the leader has
     * recorded the renewal nevertheless, and the worker tries the next controller.
     */
    private boolean sendToLeader(DelegationController leader) {
        if (!timing.allowsRenewal(term.watermarkSeconds(), leader.clock())) {
            withheldRenewals++;
            return false;
        }
        term.onRenewed();
        if (leader.areWorkerResponsesBlocked()) {
            return false;
        }
        worker.onLeaderResponse(
                term.number(), !term.hasReceivedCancellation(), network.nowSeconds());
        term.onResponseReceived();
        return true;
    }

    /** Returns whether the worker receives a response that renews its lease under a delegation. */
    private boolean sendToDelegate(DelegationController controller) {
        double now = network.nowSeconds();
        HeldDelegation delegation = controller.delegation();
        if (!worker.hasLease(now)
                || !delegation.allowsRenewal(
                        DelegatedWorker.NAME,
                        DelegatedWorker.ZONE,
                        worker.fencingToken(),
                        controller.clock())) {
            return false;
        }
        delegation.onRenewal(controller.clock());
        if (controller == term.leader()) {
            term.onLocalDelegatedRenewal();
        }
        if (controller.areWorkerResponsesBlocked()) {
            return false;
        }
        worker.renewLease(now);
        delegatedRenewals++;
        return true;
    }

    // ---- rules ----

    private void checkRules() {
        double now = network.nowSeconds();
        if (term.assumesLeaseExpired()) {
            assumedLeaseExpirations++;
            if (worker.hasLease(now)) {
                throw new AssertionError(
                        "leader assumes that the lease has expired before it does: atSeconds="
                                + now
                                + " leaseExpiresAtSeconds="
                                + worker.leaseExpiresAtSeconds());
            }
        }
        if (worker.isTaskRunning()
                && now > acknowledgedAtSeconds + CANCELLATION_TIMEOUT_SECONDS
                && worker.hasLease(now)) {
            throw new AssertionError(
                    "task of a cancelled job still runs: atSeconds="
                            + now
                            + " acknowledgedAtSeconds="
                            + acknowledgedAtSeconds);
        }
        if (worker.stopTaskOfExpiredLease(now)) {
            expiredLeases++;
        }
    }

    // ---- results ----

    boolean isTaskRunning() {
        return worker.isTaskRunning();
    }

    /** Whether the cancellation was acknowledged to a user. */
    boolean isAcknowledged() {
        return acknowledgedAtSeconds < Double.POSITIVE_INFINITY;
    }

    /** Returns the number of the newest term. */
    long term() {
        return termCount;
    }

    /** Returns the number of lease renewals under a delegation. */
    int delegatedRenewals() {
        return delegatedRenewals;
    }

    /** Returns how often a leader assumed that the lease has expired. */
    int assumedLeaseExpirations() {
        return assumedLeaseExpirations;
    }

    /**
     * Returns the number of heartbeats to which the leader did not respond, because its
     * cancellation watermark was too old.
     */
    int withheldRenewals() {
        return withheldRenewals;
    }

    /**
     * Returns the number of first acknowledgements by another controller while the leader could not
     * read the state store.
     */
    int acknowledgementsUnknownToLeader() {
        return acknowledgementsUnknownToLeader;
    }

    /** Returns how often the lease expired while the task was running. */
    int expiredLeases() {
        return expiredLeases;
    }
}
