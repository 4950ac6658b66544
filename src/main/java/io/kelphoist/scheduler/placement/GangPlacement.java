package io.kelphoist.scheduler.placement;

import io.kelphoist.model.Resources;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import java.util.ArrayList;
import java.util.List;

/**
 * Assigns a gang's tasks to machines: machines are filled in the order in which they are passed,
 * each with as many tasks as fit. The machines themselves are not modified. The caller passes only
 * machines that are allowed for the job; of its constraints, only the limit of tasks per zone is
 * checked here.
 */
public final class GangPlacement {
    /** Value to be passed instead of a zone index to allow machines of all zones. */
    public static final int ANY_ZONE = -1;

    private final Job job;
    private final int[] tasksPerZone;
    private final List<Machine> taskMachines = new ArrayList<>();

    /** Creates a placement with no task assigned, for a gang without attempts. */
    public GangPlacement(Job job) {
        this.job = job;
        this.tasksPerZone = new int[job.tasks().zoneCount()];
    }

    /** Assigns as many of the remaining tasks to the machine as fit. */
    public void fill(Machine machine) {
        Resources remaining = machine.free();
        while (!isComplete()
                && job.spec().resourcesPerTask().fitsIn(remaining)
                && allowsMoreTasksInZone(machine.zone())) {
            taskMachines.add(machine);
            tasksPerZone[machine.zone()]++;
            remaining = remaining.minus(job.spec().resourcesPerTask());
        }
    }

    /** Whether the job's limit of tasks per zone allows another task in the zone. */
    boolean allowsMoreTasksInZone(int zone) {
        return tasksPerZone[zone] < job.spec().maxTasksPerZone();
    }

    /** Whether every task is assigned to a machine. */
    boolean isComplete() {
        return taskMachines.size() == job.spec().tasks();
    }

    /** The machine of each assigned task, by task index; unassigned tasks are the last ones. */
    public List<Machine> taskMachines() {
        return taskMachines;
    }
}
