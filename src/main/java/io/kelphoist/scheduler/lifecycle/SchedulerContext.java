package io.kelphoist.scheduler.lifecycle;

import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.MachineCatalog;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.placement.ActiveCandidates;
import io.kelphoist.scheduler.spi.SchedulerOutput;

/**
 * The objects that the components of one term's scheduler share.
 *
 * @param policy the parameters of the scheduler
 * @param output receives requests to other systems, and events
 * @param term the leader's term
 * @param catalog the zones and machine types
 * @param machines the machines of the term
 * @param jobs the jobs of the term
 * @param attemptLifecycle starts, stops and removes attempts
 * @param machineLifecycle handles expired leases and terminated machines
 * @param activeCandidates the machines on which the allocator's current run may place tasks
 */
public record SchedulerContext(
        SchedulingPolicy policy,
        SchedulerOutput output,
        long term,
        MachineCatalog catalog,
        MachineRegistry machines,
        JobRegistry jobs,
        AttemptLifecycle attemptLifecycle,
        MachineLifecycle machineLifecycle,
        ActiveCandidates activeCandidates) {}
