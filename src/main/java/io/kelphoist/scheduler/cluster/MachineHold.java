package io.kelphoist.scheduler.cluster;

/**
 * The hold of one machine: while it is held for a job it is offered to no other one, so that room
 * for a task that fits nowhere can come together.
 */
public final class MachineHold {
    private final Machine machine;
    private Job job;
    private double untilSeconds;

    /** How many tasks of the job the machine is held for. */
    private int taskCount;

    /** Increases whenever a hold ends. */
    private int version;

    MachineHold(Machine machine) {
        this.machine = machine;
    }

    /** The job that the machine is held for; null: none. */
    public Job job() {
        return job;
    }

    /** As {@link #job}, null also if the time of the hold is over. */
    public Job jobAt(double nowSeconds) {
        return nowSeconds < untilSeconds ? job : null;
    }

    /** Whether the machine is held for another job than the candidate. */
    public boolean isForOtherJob(Job candidate, double nowSeconds) {
        Job holder = jobAt(nowSeconds);
        return holder != null && holder != candidate;
    }

    /** How many tasks of the job the machine is held for. */
    public int taskCount() {
        return taskCount;
    }

    int version() {
        return version;
    }

    /** Holds the machine for one more task of the job; a hold for another job ends. */
    public void addTask(Job holder, double endsAtSeconds) {
        if (job != holder) {
            end();
            job = holder;
            holder.capacityAcquisition().addHeldMachine(machine);
        }
        untilSeconds = endsAtSeconds;
        taskCount++;
    }

    /** A task of the job that the machine is held for starts on it. */
    public void onTaskStarted() {
        taskCount--;
        if (taskCount <= 0) {
            end();
        }
    }

    /** The machine is held for no job any more. */
    public void end() {
        if (job != null) {
            version++;
            job.capacityAcquisition().removeHeldMachine(machine);
            job = null;
            taskCount = 0;
        }
    }

    /** Whether the hold must end: it lasted too long, is in vain, or is not needed any more. */
    public boolean mustEnd(double nowSeconds) {
        return job != null
                && (nowSeconds >= untilSeconds
                        || !machine.acceptsWork(nowSeconds)
                        || !job.isActive()
                        || !job.tasks().hasPending());
    }
}
