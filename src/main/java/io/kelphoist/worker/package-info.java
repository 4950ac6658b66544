/**
 * Client of the workers' HTTP interface. With it the leader sends commands, status requests and
 * reachability probes directly, without waiting for the next heartbeat. Owns the connections to
 * workers. Depends on {@code wire} for encoding and on the scheduler for the type of the outcome.
 * Everything runs on the controller's event loop.
 */
package io.kelphoist.worker;
