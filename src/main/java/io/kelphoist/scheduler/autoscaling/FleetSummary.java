package io.kelphoist.scheduler.autoscaling;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.Resources;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;

/**
 * Summary of the machines and of the tasks that are not placed, for a debug log line. Amounts of
 * resources are given in machines, as the sum of the dominant shares of each machine's capacity.
 */
final class FleetSummary {
    private final Map<String, Integer> machinesByState = new TreeMap<>();
    private final Map<JobKind, Integer> unplacedTasksByKind = new TreeMap<>();

    /** Resources that attempts occupy, in machines. */
    private double usedMachines;

    /** Resources of the running tasks, in machines. */
    private double runningMachines;

    /** Free resources of held machines and resources reserved for gangs, in machines. */
    private double heldMachines;

    private FleetSummary() {}

    static FleetSummary of(Collection<Machine> machines, List<Job> unplacedJobs) {
        FleetSummary summary = new FleetSummary();
        machines.forEach(summary::add);
        unplacedJobs.forEach(
                job ->
                        summary.unplacedTasksByKind.merge(
                                job.spec().kind(), job.tasks().pendingCount(), Integer::sum));
        return summary;
    }

    private void add(Machine machine) {
        String state =
                machine.state()
                        + (machine.spot() ? " spot" : "")
                        + (machine.attempts().isEmpty() ? " idle" : "");
        machinesByState.merge(state, 1, Integer::sum);
        Resources capacity = machine.type().capacity();
        Resources held =
                machine.hold().job() != null ? machine.free() : machine.resources().reserved();
        usedMachines += machine.used().dominantShare(capacity);
        heldMachines += held.dominantShare(capacity);
        for (TaskAttempt attempt : machine.attempts()) {
            if (attempt.state() == TaskAttempt.State.RUNNING) {
                runningMachines += attempt.job().spec().resourcesPerTask().dominantShare(capacity);
            }
        }
    }

    void log(Logger logger, int pendingScaleOutRequests) {
        logger.debug(
                "fleet summary: machinesByState={} usedMachines={} runningMachines={}"
                        + " heldMachines={} unplacedTasksByKind={} pendingScaleOutRequests={}",
                machinesByState,
                Math.round(usedMachines),
                Math.round(runningMachines),
                Math.round(heldMachines),
                unplacedTasksByKind,
                pendingScaleOutRequests);
    }
}
