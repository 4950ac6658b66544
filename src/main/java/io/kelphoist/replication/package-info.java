/**
 * Replicas that every controller keeps so that it can become the leader quickly: one of the records
 * in the state store, and one of the machine state of the leader.
 *
 * <p>Owns both replicas and the machine state that the leader publishes. Performs no I/O: updates
 * and times are passed in. Codecs and connections are in the packages peer, statestore and
 * leadership, on which this package must not depend. Runs on the event loop.
 */
package io.kelphoist.replication;
