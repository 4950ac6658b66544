package io.kelphoist.scheduler.spi;

/**
 * The conditions that must hold after failover before the new leader makes scheduling decisions,
 * and before it requests machines, so that it does not conflict with operations that an earlier
 * leader left unfinished. A condition that holds once holds for the rest of the term. Called on the
 * event loop.
 */
public interface PromotionGate {
    /** Whether tasks may be placed, started and stopped. */
    boolean maySchedule(double nowSeconds);

    /** Whether machines may be requested from the cloud. */
    boolean mayScaleOut(double nowSeconds);

    /** Called when a complete instance list was received from the cloud. */
    void onInstancesListed(double nowSeconds);
}
