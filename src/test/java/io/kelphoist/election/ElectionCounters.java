package io.kelphoist.election;

import io.kelphoist.simulation.EventCounts;

/** Counts of what happened in simulated elections. */
final class ElectionCounters extends EventCounts<ElectionCounters.Counter> {
    /** An event that is counted. */
    enum Counter {
        TERMS,
        HANDOVERS,
        /** Leadership was acquired by a transaction that was carried out late. */
        DELAYED_ACQUISITIONS,
        /** Leadership was acquired by a transaction whose response was lost. */
        ACQUISITIONS_WITHOUT_RESPONSE,
        /** Steps in which a controller led by grants alone, without the leader key. */
        STEPS_LED_BY_GRANTS_ALONE
    }

    ElectionCounters() {
        super(Counter.class);
    }
}
