package io.kelphoist.election;

import io.kelphoist.simulation.EventCounts;

/** Counters of the events in simulated elections. */
final class ElectionCounters extends EventCounts<ElectionCounters.Counter> {
    /** An event that is counted. */
    enum Counter {
        /** A controller was elected. */
        TERMS,
        /** A leader resigned and sent handover messages. */
        HANDOVERS,
        /** The leader key was acquired by a transaction that was committed after its timeout. */
        DELAYED_ACQUISITIONS,
        /** The leader key was acquired by a transaction whose response was lost. */
        ACQUISITIONS_WITHOUT_RESPONSE,
        /**
         * A simulation step in which a controller led by grants alone, because it did not hold the
         * leader key or the state store was down.
         */
        STEPS_LED_WITHOUT_KEY_OR_STORE
    }

    ElectionCounters() {
        super(Counter.class);
    }
}
