package io.kelphoist.model;

/** Why a task exited, or why a worker refused to start it. */
public enum ExitReason {
    /**
     * Completed. The worker keeps the result: if it is commanded to start the task again, the task
     * exits with this reason at once.
     */
    DONE,
    /** Stopped by a command of the leader. */
    STOPPED,
    /** Task of a gang: another task of the gang is no longer running. */
    PEER_EXITED,
    /** Task of a gang: the gang was not complete within the timeout. */
    PEERS_MISSING,
    /**
     * Failed. In most cases the machine is faulty; a job that is itself faulty fails on every
     * machine.
     */
    ERROR,
    /** Start refused: the machine does not have enough free resources. */
    INSUFFICIENT_RESOURCES,
    /** Start refused: the machine has another attempt of the same task. */
    BUSY,
    /** Start refused: the job or task is unknown to the worker. */
    UNKNOWN
}
