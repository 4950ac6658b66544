package io.kelphoist.delegation;

import io.kelphoist.cancellation.ConfirmedCancellations;
import io.kelphoist.model.SchedulingPolicy;
import java.util.ArrayList;
import java.util.List;

/**
 * Two zones, three controllers, one worker, a state store and users, with faults: clocks drift,
 * messages are held, processes crash, and the state store refuses one controller or is down. Users
 * cancel the job through any controller and query any. The rules on leases and cancellations are
 * checked in each step. Time is true time in seconds, which only the checks see.
 *
 * <p>Controller 0 leads first, from zone {@code b} or from outside it. The worker is in zone {@code
 * b}, where controller 1 is, and runs a task of the one job as long as the leader wants it to.
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

    /** When a user was first answered that the job is cancelled; infinite: never. */
    private double acknowledgedAtSeconds = Double.POSITIVE_INFINITY;

    private int delegatedRenewals;
    private int countedLosses;
    private int withheldRenewals;
    private int acknowledgementsUnseenByLeader;
    private int expiredLeases;

    DelegationSimulation(boolean leaderInWorkersZone, boolean clocksDrift) {
        double drift = clocksDrift ? SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO : 0;
        addController(leaderInWorkersZone ? "b" : "a", 1000, 1 + drift);
        addController("b", 50, 1);
        addController("a", 7000, 1 + drift / 2);
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

    /** Blocks messages in both directions; unblocked, what was held is delivered. */
    void setLinkBlocked(int first, int second, boolean blocked) {
        network.setBlocked(second, first, blocked);
        network.setBlocked(first, second, blocked);
    }

    /** Blocks messages in one direction, such as responses to requests that arrive. */
    void setOneWayBlocked(int from, int to, boolean blocked) {
        network.setBlocked(from, to, blocked);
    }

    void setWorkerBlocked(int controller, boolean blocked) {
        controllers.get(controller).setWorkerBlocked(blocked);
    }

    /** The worker's heartbeats reach a controller, whose responses do not reach the worker. */
    void setWorkerResponsesBlocked(int controller, boolean blocked) {
        controllers.get(controller).setWorkerResponsesBlocked(blocked);
    }

    /**
     * @param restartSeconds after which the process is back, perhaps before anybody noticed
     */
    void crash(int controller, double restartSeconds) {
        DelegationController crashed = controllers.get(controller);
        crashed.stop();
        network.schedule(restartSeconds, crashed::start);
    }

    /** A controller takes over once the leader key and its own last grant have expired. */
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

    /** For as long as a leader's lease may last, it does not read what others store. */
    void makeReadsStale() {
        readsStaleUntilSeconds = network.nowSeconds() + DelegationTerm.KEY_SECONDS;
    }

    void setStoreDown(boolean down) {
        store.setDown(down);
    }

    void setRefused(int controller, boolean refused) {
        controllers.get(controller).setRefusedByStore(refused);
    }

    void setLeaderRefused(boolean refused) {
        term.leader().setRefusedByStore(refused);
    }

    // ---- users ----

    /**
     * A user cancels the job through a controller.
     *
     * @param answered false: the response is lost, and the user may query later
     */
    void cancel(int controller, boolean answered) {
        DelegationController frontEnd = controllers.get(controller);
        if (frontEnd.isUp() && store.isReachableBy(frontEnd)) {
            store.putCancellation();
            frontEnd.noteCancellation();
            if (answered) {
                acknowledge(frontEnd);
            }
        }
    }

    /** A user queries: a controller that has read the end of a job answers also in an outage. */
    void query(int controller) {
        DelegationController frontEnd = controllers.get(controller);
        if (frontEnd.isUp() && store.isReachableBy(frontEnd) && store.isCancelled()) {
            frontEnd.noteCancellation();
        }
        if (frontEnd.isUp() && frontEnd.knowsCancellation()) {
            acknowledge(frontEnd);
        }
    }

    private void acknowledge(DelegationController frontEnd) {
        frontEnd.confirmed().add(JOB, frontEnd.clock());
        boolean isLeader = frontEnd == term.leader();
        if (!isAcknowledged()) {
            if (!isLeader && !store.isReachableBy(term.leader())) {
                acknowledgementsUnseenByLeader++;
            }
            acknowledgedAtSeconds = network.nowSeconds();
        }
        if (isLeader) {
            term.noteCancellation();
        }
    }

    /** Users cancel more jobs through one controller than it remembers. */
    void overflowConfirmedCancellations(int controller) {
        DelegationController frontEnd = controllers.get(controller);
        for (int i = 0; frontEnd.isUp() && i <= ConfirmedCancellations.MAX_ENTRIES; i++) {
            frontEnd.confirmed().add("job-" + (1000 + i), frontEnd.clock());
        }
    }

    // ---- time ----

    /** Time passes. */
    void pass(double seconds) {
        double end = network.nowSeconds() + seconds;
        while (network.nowSeconds() < end) {
            network.advance(STEP_SECONDS);
            network.runDueEvents();
            step();
            check();
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
            boolean isAnswered =
                    (controller == term.leader() && term.mayAct())
                            ? isAnsweredByLeader(controller)
                            : isAnsweredByDelegate(controller);
            if (isAnswered) {
                return;
            }
        }
    }

    /** A renewal whose response is lost counts for the leader, and the worker tries the next. */
    private boolean isAnsweredByLeader(DelegationController leader) {
        if (!timing.allowsRenewal(term.knownUntilSeconds(), leader.clock())) {
            withheldRenewals++;
            return false;
        }
        term.onRenewed();
        if (leader.areWorkerResponsesBlocked()) {
            return false;
        }
        worker.onLeaderResponse(term.number(), !term.knowsCancellation(), network.nowSeconds());
        term.onResponseReceived();
        return true;
    }

    private boolean isAnsweredByDelegate(DelegationController controller) {
        double now = network.nowSeconds();
        HeldDelegation delegation = controller.delegation();
        if (!worker.hasLease(now)
                || !delegation.covers(
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

    private void check() {
        double now = network.nowSeconds();
        if (term.countsWorkerAsLost()) {
            countedLosses++;
            if (worker.hasLease(now)) {
                throw new AssertionError(
                        "worker is counted as lost before its lease expires: at="
                                + now
                                + " leaseExpiresAt="
                                + worker.leaseExpiresAtSeconds());
            }
        }
        if (worker.isTaskRunning()
                && now > acknowledgedAtSeconds + CANCELLATION_TIMEOUT_SECONDS
                && worker.hasLease(now)) {
            throw new AssertionError(
                    "task of a cancelled job still runs: at="
                            + now
                            + " acknowledgedAt="
                            + acknowledgedAtSeconds);
        }
        if (worker.stopTaskOfExpiredLease(now)) {
            expiredLeases++;
        }
    }

    // ---- what happened ----

    boolean isTaskRunning() {
        return worker.isTaskRunning();
    }

    /** Whether some user was answered that the job is cancelled. */
    boolean isAcknowledged() {
        return acknowledgedAtSeconds < Double.POSITIVE_INFINITY;
    }

    long term() {
        return termCount;
    }

    /** Leases that another controller than the acting leader renewed. */
    int delegatedRenewals() {
        return delegatedRenewals;
    }

    /** Leases that a leader counted as expired. */
    int countedLosses() {
        return countedLosses;
    }

    /** Heartbeats that the leader did not answer as it may not know all cancellations. */
    int withheldRenewals() {
        return withheldRenewals;
    }

    /** First acknowledgements by another controller while the leader could not read them. */
    int acknowledgementsUnseenByLeader() {
        return acknowledgementsUnseenByLeader;
    }

    /** Leases that expired while the task ran. */
    int expiredLeases() {
        return expiredLeases;
    }
}
