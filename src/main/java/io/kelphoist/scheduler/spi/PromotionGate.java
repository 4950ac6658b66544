package io.kelphoist.scheduler.spi;

/**
 * The conditions for the promotion of a controller that was elected leader, that is for its
 * becoming able to act. The failover is complete once it may make scheduling decisions; it may have
 * to wait longer before it requests machines. The conditions prevent conflicts with operations that
 * an earlier leader left unfinished. A condition that has held once holds for the rest of the term.
 * Called on the event loop.
 */
public interface PromotionGate {
    /** Whether tasks may be placed, started and stopped. */
    boolean maySchedule(double nowSeconds);

    /** Whether machines may be requested from the cloud. */
    boolean mayScaleOut(double nowSeconds);

    /** Called when a complete instance list was received from the cloud. */
    void onInstancesListed(double nowSeconds);
}
