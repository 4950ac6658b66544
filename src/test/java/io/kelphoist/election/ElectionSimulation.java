package io.kelphoist.election;

import io.kelphoist.election.ElectionCounters.Counter;
import io.kelphoist.model.SchedulingPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Elections of three controllers over a simulated state store and network, with faults: clocks
 * drift, messages are held and delivered late, in one direction or both, processes freeze, crash
 * and restart at once, leases last through an outage, transactions get no response and are carried
 * out late, and the state store refuses one controller. Time is true time in seconds, which only
 * the check sees: no two controllers lead at once.
 */
public final class ElectionSimulation {
    /** Receives what happens to terms, at the instant at which it happens. */
    public interface Listener {
        /** The leader key and the term are stored; the controller may not know it yet. */
        default void onTermStored(String controller, long term) {}

        default void onElected(String controller, long term) {}

        /** The controller knows that its term is over, or its process has crashed. */
        default void onLeadershipEnded(String controller) {}
    }

    public static final List<String> NAMES = List.of("n0", "n1", "n2");

    private static final double STEP_SECONDS = 0.05;
    private static final double CLOCK_OFFSET_SPACING_SECONDS = 1000;
    private static final int READS_ONE_OF = 40;
    private static final double SETTLE_SECONDS = 40;

    private final SimulatedTimeline timeline = new SimulatedTimeline();
    private final Random random;
    private final SimulatedElectionStore store;
    private final SimulatedLinks links;
    private final List<SimulatedController> controllers = new ArrayList<>();
    private final ElectionCounters counters = new ElectionCounters();

    /** NaN: a controller leads. */
    private double leaderlessSinceSeconds = Double.NaN;

    private double longestLeaderlessSeconds;

    ElectionSimulation(long seed) {
        this(seed, new Listener() {});
    }

    public ElectionSimulation(long seed, Listener listener) {
        random = new Random(seed);
        store =
                new SimulatedElectionStore(
                        timeline,
                        random,
                        listener,
                        () -> controllers.forEach(SimulatedController::onKeysChanged));
        links = new SimulatedLinks(timeline, random);
        SimulatedController.Environment environment =
                new SimulatedController.Environment(
                        timeline, random, store, links, controllers, counters, listener);
        double[] clockRates = {
            1,
            1 + SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO,
            1 + SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO / 2
        };
        for (int i = 0; i < NAMES.size(); i++) {
            controllers.add(
                    new SimulatedController(
                            NAMES.get(i),
                            CLOCK_OFFSET_SPACING_SECONDS * i,
                            clockRates[i],
                            environment));
        }
        controllers.forEach(SimulatedController::start);
    }

    // ---- faults ----

    /** Blocks messages in one direction; unblocked, what was held is delivered. */
    public void setLinkBlocked(int from, int to, boolean blocked) {
        links.setBlocked(controllers.get(from), controllers.get(to), blocked);
    }

    void crash(int controller, double restartSeconds) {
        controllers.get(controller).crash(restartSeconds);
    }

    void freeze(int controller, double seconds) {
        controllers.get(controller).freeze(seconds);
    }

    void resign(int controller) {
        controllers.get(controller).resign();
    }

    public void setStoreDown(boolean down) {
        store.setDown(down);
    }

    void setRefused(int controller, boolean refused) {
        controllers.get(controller).setRefusedByStore(refused);
    }

    /** The state store refuses whichever controller is in the leader's state. */
    public void refuseLeader() {
        controllers.stream()
                .filter(controller -> controller.election().state() == Election.State.LEADER)
                .forEach(controller -> controller.setRefusedByStore(true));
    }

    /** Of ten transactions, how many get no response and are carried out late. */
    void setLateTransactions(int ofTen) {
        store.setLateTransactions(ofTen);
    }

    /** Of ten requests to the state store, how many are carried out without a response. */
    public void setLostResponses(int ofTen) {
        store.setLostResponses(ofTen);
    }

    public void freezeLeader(double seconds) {
        leader().ifPresent(leader -> leader.freeze(seconds));
    }

    public void crashLeader(double restartSeconds) {
        leader().ifPresent(leader -> leader.crash(restartSeconds));
    }

    public void resignLeader() {
        leader().ifPresent(SimulatedController::resign);
    }

    /** All faults end now. */
    public void endFaults() {
        for (int from = 0; from < NAMES.size(); from++) {
            setRefused(from, false);
            freeze(from, 0);
            for (int to = 0; to < NAMES.size(); to++) {
                setLinkBlocked(from, to, false);
            }
        }
        setLateTransactions(0);
        setLostResponses(0);
        setStoreDown(false);
    }

    /** All faults end: soon a controller leads. */
    void settle() {
        endFaults();
        pass(SETTLE_SECONDS);
        if (leader().isEmpty()) {
            throw new AssertionError("no leader at the end: " + this);
        }
    }

    // ---- time ----

    /** Time passes. */
    public void pass(double seconds) {
        for (double end = timeline.nowSeconds() + seconds; timeline.nowSeconds() < end; ) {
            step();
        }
    }

    private void step() {
        timeline.advance(STEP_SECONDS);
        store.expireLeases(STEP_SECONDS);
        timeline.runDueEvents();
        for (SimulatedController controller : controllers) {
            if (controller.isRunning()) {
                controller.election().tick(controller.clock());
                if (random.nextInt(READS_ONE_OF) == 0) {
                    controller.readKeys();
                }
            }
        }
        List<SimulatedController> leading =
                controllers.stream().filter(SimulatedController::isLeading).toList();
        checkOneLeader(leading);
        if (leading.isEmpty()) {
            recordLeaderless();
        } else {
            leaderlessSinceSeconds = Double.NaN;
            countStepByGrants(leading.get(0));
        }
    }

    private void checkOneLeader(List<SimulatedController> leading) {
        if (leading.size() > 1) {
            throw new AssertionError(
                    "several leaders at once, at " + timeline.nowSeconds() + ": " + leading);
        }
    }

    private void recordLeaderless() {
        double now = timeline.nowSeconds();
        if (Double.isNaN(leaderlessSinceSeconds)) {
            leaderlessSinceSeconds = now;
        } else {
            longestLeaderlessSeconds =
                    Math.max(longestLeaderlessSeconds, now - leaderlessSinceSeconds);
        }
    }

    private void countStepByGrants(SimulatedController leader) {
        if (store.isDown() || !store.read().isHeldBy(leader.name())) {
            counters.increment(Counter.STEPS_BY_GRANTS);
        }
    }

    // ---- state ----

    private Optional<SimulatedController> leader() {
        return controllers.stream().filter(SimulatedController::isLeading).findFirst();
    }

    /** Whether this controller leads in this term now. */
    public boolean isLeading(String name, long term) {
        SimulatedController controller = controller(name);
        return controller.isLeading() && controller.election().term() == term;
    }

    public boolean isRefused(String name) {
        return controller(name).isRefusedByStore();
    }

    private SimulatedController controller(String name) {
        return controllers.get(NAMES.indexOf(name));
    }

    ElectionCounters counters() {
        return counters;
    }

    int count(Counter counter) {
        return counters.get(counter);
    }

    /** The longest time without a leader. */
    double longestLeaderlessSeconds() {
        return longestLeaderlessSeconds;
    }

    @Override
    public String toString() {
        return controllers.toString();
    }
}
