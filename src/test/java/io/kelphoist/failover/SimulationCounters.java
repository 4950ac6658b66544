package io.kelphoist.failover;

import io.kelphoist.simulation.EventCounts;

/** Counters of the events in simulated runs of the scheduler. */
final class SimulationCounters extends EventCounts<SimulationCounters.Counter> {
    /** An event that is counted. */
    enum Counter {
        TASKS_STARTED,
        LEASES_EXPIRED,
        /** Leaders that made their first decision before a full heartbeat round had passed. */
        QUICK_FAILOVERS,
        WORKER_RESTARTS,
        MACHINES_TERMINATED,
        MACHINES_SCALED_OUT,
        HEARTBEAT_COPIES_DELIVERED,
        /** Copies of direct commands that workers executed again. */
        COMMAND_COPIES_EXECUTED,
        HEARTBEATS_KEPT_FOR_NEXT_LEADER,
        JOBS_CANCELLED,
        JOBS_DONE,
        GANGS_DONE,
        CHECKPOINTS_SAVED,
        RETRY_LATER_RESPONSES,
        QUERY_BURSTS
    }

    SimulationCounters() {
        super(Counter.class);
    }
}
