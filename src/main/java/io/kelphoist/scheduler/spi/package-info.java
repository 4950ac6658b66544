/**
 * The interfaces that the caller of the scheduler must implement: {@link
 * io.kelphoist.scheduler.spi.SchedulerOutput} receives its requests and events, and {@link
 * io.kelphoist.scheduler.spi.PromotionGate} determines when it may make decisions.
 *
 * <p>Owns no state. Depends on {@code cluster} and {@code model} for the types in its signatures.
 */
package io.kelphoist.scheduler.spi;
