package io.kelphoist.failover;

/**
 * The checks of a term: {@link #LIST} must pass before the first machine is requested from the
 * cloud, and the others before the first task is placed, started or stopped. Each check passes once
 * and is then logged. The names are values of a metric label and therefore part of the operators'
 * interface.
 */
public enum PromotionCheck {
    /**
     * This controller stored the term by compare-and-swap and is authorized to act as the leader.
     */
    LEADERSHIP,
    /** Each kind of record was loaded as of a revision that is not older than the term. */
    RECORDS,
    /**
     * All start commands that an earlier leader may have sent are loaded. A start is stored under
     * the term of its leader before it is sent, so this follows from {@link #RECORDS}. Each start
     * that may still be executed is treated as a running task.
     */
    ORDERS,
    /**
     * Each machine that may run a task has responded under the fencing token of the term, or its
     * tasks are assumed to be running until its worker lease has expired even at the maximum clock
     * drift.
     */
    MACHINES,
    /** The list of machines in the cloud is complete enough to request further machines. */
    LIST
}
