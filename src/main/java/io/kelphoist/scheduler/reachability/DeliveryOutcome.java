package io.kelphoist.scheduler.reachability;

/**
 * The outcome of a request that was sent directly to a worker: commands, a reachability probe, or a
 * status request.
 */
public enum DeliveryOutcome {
    /** The worker executed the commands (HTTP 200). */
    EXECUTED,
    /** The worker executed none of the commands (HTTP 409). */
    REFUSED,
    /** No connection was established, so the request cannot be delivered later. */
    NOT_SENT,
    /**
     * Nothing was sent: this controller is not the leader, has no connection to spare or no address
     * of the worker, or withholds all of the commands.
     */
    NOT_ATTEMPTED,
    /** There was no response, so the outcome is unknown: commands may be executed minutes later. */
    NO_RESPONSE
}
