/**
 * Leader election among the controllers.
 *
 * <p>{@link io.kelphoist.election.Election} owns a controller's role, its term, the lease of the
 * leader key, and the grants given and received. It performs no I/O, reads no clock and depends
 * only on {@code model}: each event is passed in with its time, and requests are sent through
 * {@link io.kelphoist.election.Election.Actions}. All methods run on the event loop.
 */
package io.kelphoist.election;
