/**
 * The failover, from the election of a leader to its first scheduling decision: the checks that
 * must pass, and the status requests that are sent to machines for them.
 *
 * <p>Owns the state of one failover. Performs no I/O: events and times are passed in. It runs on
 * the event loop. It reads the machines of {@code scheduler.cluster} and the outcomes of {@code
 * scheduler.reachability}, implements an interface of {@code scheduler.spi}, and must not depend on
 * leadership, the state store or wire formats.
 */
package io.kelphoist.failover;
