package io.kelphoist.events;

/**
 * The type of a job event, with its details. {@link Accepted}, {@link Done} and {@link Cancelled}
 * are stored and delivered in the order of the state store's revisions. The others are transient:
 * only the leader has them, they are lost when its term ends, and subscribers then receive the
 * job's current state instead.
 */
public sealed interface JobEventType {
    /** The job was stored in the state store. */
    record Accepted() implements JobEventType {}

    /** The job waits for its dependencies to be done. */
    record WaitingForDependencies() implements JobEventType {}

    /**
     * Resources are reserved for the job, or machines are held for it, but it can't start yet.
     *
     * @param machineCount number of machines with reserved resources; if machines are held, the
     *     number of tasks that they are held for
     */
    record CapacityReserved(int machineCount) implements JobEventType {}

    /** A task started to run that has not stopped before in this term. */
    record Started(int task, String machine) implements JobEventType {}

    /** A task runs again, maybe on the same machine, after it stopped for the given cause. */
    record Moved(int task, String fromMachine, String toMachine, String cause)
            implements JobEventType {}

    /** A task stopped before it was done. */
    record Stopped(int task, String machine, String cause) implements JobEventType {}

    /** The number of the job's done or running tasks has changed. */
    record Progress() implements JobEventType {}

    /** All tasks of the job are done. */
    record Done() implements JobEventType {}

    /** The job was cancelled. */
    record Cancelled() implements JobEventType {}

    /** Whether this is the job's last event. */
    default boolean isFinal() {
        return this instanceof Done || this instanceof Cancelled;
    }
}
