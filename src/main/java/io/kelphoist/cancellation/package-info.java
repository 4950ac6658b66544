/**
 * Cancellations that were acknowledged to users, and the time up to which the leader has received
 * all of them.
 *
 * <p>{@link io.kelphoist.cancellation.ConfirmedCancellations} keeps, on every controller, the
 * cancellations that this controller confirmed to users and that the leader has not acknowledged.
 * {@link io.kelphoist.cancellation.CancellationWatermark} is the time up to which the leader has
 * received all of them; leases are renewed and tasks started only within a window after it. The
 * package performs no I/O, does not depend on message formats and reads no clock. It depends on
 * {@code model} and on the durations in {@code delegation}. All state is confined to the
 * controller's event loop.
 */
package io.kelphoist.cancellation;
