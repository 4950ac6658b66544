package io.kelphoist.scheduler.spi;

/**
 * What happens to a job and its tasks, for event streams and traces. Each event is published once;
 * the scheduler does not depend on its being received.
 */
public sealed interface TaskEvent {
    /** The job waits for its dependencies. */
    record WaitingForDependencies() implements TaskEvent {}

    /**
     * Room was reserved or held for the job, but not enough yet.
     *
     * @param machineCount on how many machines
     */
    record CapacityReserved(int machineCount) implements TaskEvent {}

    /** A task began to run. */
    record TaskRunning(int taskIndex, String machineName) implements TaskEvent {}

    /** A task that ran does not run any more, and is not done. */
    record TaskStopped(int taskIndex, String machineName, Cause cause) implements TaskEvent {}

    /** A task is done. */
    record TaskDone(int taskIndex, String machineName) implements TaskEvent {}

    /**
     * The job's end is stored.
     *
     * @param done false: it is cancelled
     */
    record JobEnded(boolean done) implements TaskEvent {}

    /** Why a task stopped. The names are attributes of traces. */
    enum Cause {
        /** The leader stopped it: for more urgent work, a better place, or a cancellation. */
        STOPPED,
        /** Its machine was lost, terminated or restarted. */
        MACHINE_GONE,
        /** It ended with an error. */
        FAILED,
        /** Other tasks of its gang stopped. */
        GANG
    }
}
