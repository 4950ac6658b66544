package io.kelphoist.scheduler.cluster;

/**
 * The hold of one machine for a job. While it lasts, the machine is offered to no other job, so
 * that resources can be freed there for a task that does not fit on any machine yet, or that would
 * start later elsewhere.
 */
public final class MachineHold {
    private final Machine machine;
    private Job job;
    private double expiresAtSeconds;

    /** Number of tasks of the job that the machine is held for. */
    private int taskCount;

    /** Increases with each hold that ends. */
    private int version;

    /** Creates the hold of a machine, for no job. */
    MachineHold(Machine machine) {
        this.machine = machine;
    }

    /** The job that the machine is held for, even if the hold has expired; null: none. */
    public Job job() {
        return job;
    }

    /** The job that the machine is held for at this time; null: none, or the hold has expired. */
    public Job jobAt(double nowSeconds) {
        return nowSeconds < expiresAtSeconds ? job : null;
    }

    /**
     * Whether the machine is held for a job other than the candidate, and the hold is not expired.
     */
    public boolean isForOtherJob(Job candidate, double nowSeconds) {
        Job holder = jobAt(nowSeconds);
        return holder != null && holder != candidate;
    }

    /** Number of tasks of the job that the machine is held for. */
    public int taskCount() {
        return taskCount;
    }

    /** Increases with each hold that ends. */
    int version() {
        return version;
    }

    /**
     * Holds the machine for one more task of the job, and sets when the hold expires for all of
     * them. Ends a hold for another job.
     */
    public void addTask(Job holder, double newExpiresAtSeconds) {
        if (job != holder) {
            end();
            job = holder;
            holder.capacityAcquisition().addHeldMachine(machine);
        }
        expiresAtSeconds = newExpiresAtSeconds;
        taskCount++;
    }

    /**
     * Called when a task of the job that the machine is held for starts on it. The hold ends with
     * the last of these tasks.
     */
    public void onTaskStarted() {
        taskCount--;
        if (taskCount <= 0) {
            end();
        }
    }

    /** Ends the hold, if there is one. */
    public void end() {
        if (job != null) {
            version++;
            job.capacityAcquisition().removeHeldMachine(machine);
            job = null;
            taskCount = 0;
        }
    }

    /**
     * Whether the hold must end: it has expired, no task may start on the machine, or the job is
     * not active or has no pending task.
     */
    public boolean mustEnd(double nowSeconds) {
        return job != null
                && (nowSeconds >= expiresAtSeconds
                        || !machine.acceptsWork(nowSeconds)
                        || !job.isActive()
                        || !job.tasks().hasPending());
    }
}
