package io.kelphoist.admission;

import io.kelphoist.model.MachineType;
import io.kelphoist.model.TaskCounts;
import java.util.List;
import java.util.Optional;

/** A cluster view with a fixed list of machine types and without task counts. */
public record FixedMachineTypes(List<MachineType> machineTypes) implements Admission.ClusterView {
    @Override
    public Optional<TaskCounts> taskCounts(String jobId) {
        return Optional.empty();
    }
}
