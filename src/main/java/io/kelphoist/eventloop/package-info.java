/**
 * Interface of the event loop: the monotonic clock and the timers of one thread, and calls of
 * several callbacks that must not affect one another.
 *
 * <p>Owns no state and depends on no other package. The controller process supplies the
 * implementation on an XNIO I/O thread.
 */
package io.kelphoist.eventloop;
