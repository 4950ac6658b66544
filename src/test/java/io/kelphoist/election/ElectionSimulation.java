package io.kelphoist.election;

import io.kelphoist.election.ElectionCounters.Counter;
import io.kelphoist.model.SchedulingPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Simulates elections of three controllers over a simulated state store and network, and checks in
 * each step that at most one controller leads.
 *
 * <p>The faults are: clocks drift; messages are delayed in one direction or both; processes freeze,
 * crash and restart after a delay; leases do not expire during an outage of the state store;
 * transactions get no response and are committed after a delay; the state store refuses the
 * requests of one controller. Times are in seconds of simulated true time, which the controllers
 * cannot read.
 */
public final class ElectionSimulation {
    /** Receives the events of terms at the simulated time at which they occur. */
    public interface Listener {
        /**
         * The leader key and the term were stored. The controller may not have received the
         * response yet.
         */
        default void onTermStored(String controller, long term) {}

        /** The controller received the response and leads the term. */
        default void onElected(String controller, long term) {}

        /** The controller stopped leading its term, or its process crashed. */
        default void onLeadershipEnded(String controller) {}
    }

    /** The names of the controllers. */
    public static final List<String> NAMES = List.of("n0", "n1", "n2");

    private static final double STEP_SECONDS = 0.05;
    private static final double CLOCK_OFFSET_SPACING_SECONDS = 1000;

    /** A controller reads the leadership keys in one of this many steps on average. */
    private static final int MEAN_STEPS_PER_KEY_READ = 40;

    /** Time after the last fault within which a leader must have been elected. */
    private static final double CONVERGENCE_SECONDS = 40;

    private final SimulatedTimeline timeline = new SimulatedTimeline();
    private final Random random;
    private final SimulatedElectionStore store;
    private final SimulatedLinks links;
    private final List<SimulatedController> controllers = new ArrayList<>();
    private final ElectionCounters counters = new ElectionCounters();

    /** Since when no controller leads; NaN while one does. */
    private double leaderlessSinceSeconds = Double.NaN;

    private double longestLeaderlessSeconds;

    ElectionSimulation(long seed) {
        this(seed, new Listener() {});
    }

    /** Starts three controllers without a leader. */
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

    /**
     * Blocks or unblocks messages in one direction. Held messages are delivered when the link is
     * unblocked.
     */
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

    /** Starts or ends an outage of the state store. */
    public void setStoreUnavailable(boolean unavailable) {
        store.setUnavailable(unavailable);
    }

    void setRefusedByStore(int controller, boolean refused) {
        controllers.get(controller).setRefusedByStore(refused);
    }

    /** Makes the state store refuse the requests of each controller that is in the state LEADER. */
    public void setLeaderRefusedByStore() {
        controllers.stream()
                .filter(controller -> controller.election().state() == Election.State.LEADER)
                .forEach(controller -> controller.setRefusedByStore(true));
    }

    /** Sets how many of ten acquisitions get no response and are committed after a delay. */
    void setDelayedTransactions(int perTen) {
        store.setDelayedTransactions(perTen);
    }

    /** Sets how many of ten acquisitions and lease renewals are carried out without a response. */
    public void setLostResponses(int perTen) {
        store.setLostResponses(perTen);
    }

    /** Pauses the leader's process. */
    public void freezeLeader(double seconds) {
        leader().ifPresent(leader -> leader.freeze(seconds));
    }

    /** Crashes the leader's process and restarts it after a delay. */
    public void crashLeader(double restartSeconds) {
        leader().ifPresent(leader -> leader.crash(restartSeconds));
    }

    /** Makes the leader resign. */
    public void resignLeader() {
        leader().ifPresent(SimulatedController::resign);
    }

    /** Ends all faults. */
    public void endFaults() {
        for (int from = 0; from < NAMES.size(); from++) {
            setRefusedByStore(from, false);
            freeze(from, 0);
            for (int to = 0; to < NAMES.size(); to++) {
                setLinkBlocked(from, to, false);
            }
        }
        setDelayedTransactions(0);
        setLostResponses(0);
        setStoreUnavailable(false);
    }

    /** Ends all faults and checks that a controller leads after {@link #CONVERGENCE_SECONDS}. */
    void endFaultsAndCheckLeader() {
        endFaults();
        advance(CONVERGENCE_SECONDS);
        if (leader().isEmpty()) {
            throw new AssertionError("no leader after all faults ended, expected one: " + this);
        }
    }

    // ---- time ----

    /** Advances the simulated time. */
    public void advance(double seconds) {
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
                if (random.nextInt(MEAN_STEPS_PER_KEY_READ) == 0) {
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
            countStepLedWithoutKeyOrStore(leading.get(0));
        }
    }

    private void checkOneLeader(List<SimulatedController> leading) {
        if (leading.size() > 1) {
            throw new AssertionError(
                    "expected at most one leader: atSeconds="
                            + timeline.nowSeconds()
                            + " leaders="
                            + leading);
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

    private void countStepLedWithoutKeyOrStore(SimulatedController leader) {
        if (store.isUnavailable() || !store.read().isHeldBy(leader.name())) {
            counters.increment(Counter.STEPS_LED_WITHOUT_KEY_OR_STORE);
        }
    }

    // ---- state ----

    private Optional<SimulatedController> leader() {
        return controllers.stream().filter(SimulatedController::isLeading).findFirst();
    }

    /** Whether this controller leads this term now. */
    public boolean isLeading(String name, long term) {
        SimulatedController controller = controller(name);
        return controller.isLeading() && controller.election().term() == term;
    }

    /** Whether the state store refuses this controller's requests. */
    public boolean isRefusedByStore(String name) {
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

    /** Returns the longest time so far without a leader, in seconds; 0 if there was none. */
    double longestLeaderlessSeconds() {
        return longestLeaderlessSeconds;
    }

    @Override
    public String toString() {
        return controllers.toString();
    }
}
