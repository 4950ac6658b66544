package io.kelphoist.election;

import io.kelphoist.simulation.EventCounts;

/** Counters of the events in simulated elections. */
final class ElectionCounters extends EventCounts<ElectionCounters.Counter> {
    /** An event that is counted. */
    enum Counter {
        /** A controller was elected. */
        TERMS,
        /** A leader resigned and started the handover. */
        HANDOVERS,
        /** The leader key was acquired by a transaction that was delayed and had no response. */
        DELAYED_ACQUISITIONS,
        /** The leader key was acquired by a transaction whose response was lost. */
        ACQUISITIONS_WITHOUT_RESPONSE,
        /**
         * A simulation step in which a controller led although it did not hold the leader key or
         * the state store was unavailable: by its lease, while that was still valid, or by grants
         * alone.
         */
        STEPS_LED_WITHOUT_KEY_OR_STORE
    }

    ElectionCounters() {
        super(Counter.class);
    }
}
