package io.kelphoist.model;

import java.util.List;

/**
 * The response to a worker's heartbeat, which renews the worker's lease.
 *
 * @param fencingToken the term under which the lease is renewed and the commands are issued
 * @param commands commands for the worker; empty to renew the lease only
 */
public record HeartbeatResponse(long fencingToken, List<WorkerCommand> commands) {}
