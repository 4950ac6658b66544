package io.kelphoist.failover;

import java.util.Random;

/**
 * The state that all parts of a simulated run share: virtual time in seconds, the random number
 * generator, the dimensions of the run and the counters.
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

    /**
     * Returns the only random number generator of the run. The order of draws is part of the run: a
     * change of it changes what a seed simulates.
     */
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

    /** Disables the random loss of responses to heartbeats and to scale-out requests. */
    void disableRandomFaults() {
        randomFaultsDisabled = true;
    }

    boolean areRandomFaultsDisabled() {
        return randomFaultsDisabled;
    }
}
