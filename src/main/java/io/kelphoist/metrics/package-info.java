/**
 * Counters of a controller that are exported as metrics.
 *
 * <p>Consists of {@link io.kelphoist.metrics.ControllerCounters} alone; {@code
 * controller.ControllerMetrics} exports them. Depends on no other package of this project. The
 * counters are updated on the event loop.
 */
package io.kelphoist.metrics;
