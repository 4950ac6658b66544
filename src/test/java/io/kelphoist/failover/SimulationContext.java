package io.kelphoist.failover;

import java.util.Random;

/**
 * What all parts of one simulated run share: virtual time in seconds, the source of random draws,
 * the dimensions and the counters.
 */
final class SimulationContext {
    static final double HEARTBEAT_INTERVAL_SECONDS = 2;
    static final double LEASE_SECONDS = 10;
    static final double STEP_SECONDS = 0.1;
    private static final double START_SECONDS = 100;

    private final Random random;
    private final SimulationSize size;
    private final SimulationCounters counters = new SimulationCounters();
    private double nowSeconds = START_SECONDS;
    private boolean randomFaultsDisabled;

    SimulationContext(long seed, SimulationSize size) {
        random = new Random(seed);
        this.size = size;
    }

    /** The one source of random draws: their order is part of a run. */
    Random random() {
        return random;
    }

    SimulationSize size() {
        return size;
    }

    SimulationCounters counters() {
        return counters;
    }

    double nowSeconds() {
        return nowSeconds;
    }

    void advance() {
        nowSeconds += STEP_SECONDS;
    }

    /** From now on nothing is lost by chance. */
    void disableRandomFaults() {
        randomFaultsDisabled = true;
    }

    boolean areRandomFaultsDisabled() {
        return randomFaultsDisabled;
    }
}
