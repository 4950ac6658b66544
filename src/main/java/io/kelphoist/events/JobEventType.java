package io.kelphoist.events;

/**
 * What happened to a job. {@link Accepted}, {@link Done} and {@link Cancelled} are stored and
 * delivered in the order of the state store's revisions. The others are transient: known to the
 * leader only, lost with its term, and replaced by the job's present state.
 */
public sealed interface JobEventType {
    /** The job is stored. */
    record Accepted() implements JobEventType {}

    /** The job waits for jobs that it depends on. */
    record WaitingForDependencies() implements JobEventType {}

    /** Room is reserved for the job on this many machines, which is not enough yet. */
    record CapacityReserved(int machineCount) implements JobEventType {}

    /** A task began to run. */
    record Started(int task, String machine) implements JobEventType {}

    /** A task runs again, after it stopped on another machine for the given cause. */
    record Moved(int task, String fromMachine, String toMachine, String cause)
            implements JobEventType {}

    /** A task stopped and is not done. */
    record Stopped(int task, String machine, String cause) implements JobEventType {}

    /** The counts of the job's tasks have changed. */
    record Progress() implements JobEventType {}

    /** All tasks of the job are done. */
    record Done() implements JobEventType {}

    /** The job was cancelled. */
    record Cancelled() implements JobEventType {}

    /** Whether no event of the job can follow. */
    default boolean isFinal() {
        return this instanceof Done || this instanceof Cancelled;
    }
}
