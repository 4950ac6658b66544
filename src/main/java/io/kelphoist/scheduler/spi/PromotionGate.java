package io.kelphoist.scheduler.spi;

/**
 * What must hold before a leader decides anything, and before it requests machines, so that it does
 * not act on what an earlier leader left unfinished. Once a condition holds it does so for the
 * whole term. Called on the event loop.
 */
public interface PromotionGate {
    /** Whether tasks may be started, stopped and placed. */
    boolean maySchedule(double nowSeconds);

    /** Whether machines may be requested from the cloud. */
    boolean mayScaleOut(double nowSeconds);

    /** The cloud has listed all its instances. */
    void onInstancesListed(double nowSeconds);
}
