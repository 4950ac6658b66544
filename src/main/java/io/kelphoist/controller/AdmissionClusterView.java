package io.kelphoist.controller;

import io.kelphoist.admission.Admission;
import io.kelphoist.leadership.CloudGateway;
import io.kelphoist.leadership.TaskCountReplication;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.TaskCounts;
import java.util.Collection;
import java.util.Optional;

/**
 * The controller's machine types, task counts and load, which admission uses besides the stored
 * records.
 */
record AdmissionClusterView(
        CloudGateway cloudGateway, TaskCountReplication taskCounts, TickScheduler tickScheduler)
        implements Admission.ClusterView {
    @Override
    public Collection<MachineType> machineTypes() {
        return cloudGateway.machineTypes();
    }

    @Override
    public Optional<TaskCounts> taskCounts(String jobId) {
        return taskCounts.countsOf(jobId);
    }

    @Override
    public boolean isOverloaded() {
        return tickScheduler.isOverloaded();
    }
}
