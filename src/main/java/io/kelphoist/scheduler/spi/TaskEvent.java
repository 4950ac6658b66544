package io.kelphoist.scheduler.spi;

/**
 * An event of a job and its tasks, for event streams and traces. Each event is published once,
 * except {@link CapacityReserved}; the scheduler does not depend on its delivery.
 */
public sealed interface TaskEvent {
    /** The job waits for its dependencies. */
    record WaitingForDependencies() implements TaskEvent {}

    /**
     * Resources were reserved for the job, or machines are held for it, but it cannot start yet.
     * For a gang it is published again each time that its reservations are renewed.
     *
     * @param machineCount the number of machines with reserved resources, which is 0 if the team's
     *     guarantee allows no reservation; where machines are held, the number of tasks that they
     *     are held for
     */
    record CapacityReserved(int machineCount) implements TaskEvent {}

    /** A task began to run. */
    record TaskRunning(int taskIndex, String machineName) implements TaskEvent {}

    /** A task that was running has stopped, and is not done. */
    record TaskStopped(int taskIndex, String machineName, Cause cause) implements TaskEvent {}

    /** A task is done. */
    record TaskDone(int taskIndex, String machineName) implements TaskEvent {}

    /**
     * The job's end is stored.
     *
     * @param done false: it is cancelled
     */
    record JobEnded(boolean done) implements TaskEvent {}

    /** Why a task stopped. The names are values of trace attributes. */
    enum Cause {
        /**
         * The leader stopped it, for example for more urgent work, a better placement, a
         * termination notice or a cancellation.
         */
        STOPPED,
        /**
         * Its machine's lease expired, or the machine failed or was terminated, for example after
         * its worker restarted.
         */
        MACHINE_GONE,
        /** It ended with an error. */
        FAILED,
        /** Other tasks of its gang stopped. */
        GANG
    }
}
