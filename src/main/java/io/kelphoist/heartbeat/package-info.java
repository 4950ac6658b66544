/**
 * HTTP interface for workers' heartbeats: which controller responds to a heartbeat, and which
 * connections stay open between two heartbeats. The content of a heartbeat is handled by {@code
 * scheduler}.
 *
 * <p>{@link io.kelphoist.heartbeat.HeartbeatEndpoint} receives heartbeats, {@link
 * io.kelphoist.heartbeat.FollowerHeartbeatHandler} handles them on a controller that is not the
 * leader, {@link io.kelphoist.heartbeat.HeartbeatRouter} decides whether such a controller relays
 * or redirects, and {@link io.kelphoist.heartbeat.WorkerConnections} owns the connections that are
 * kept open. The package must not depend on {@code controller}. Everything runs on the controller's
 * event loop.
 */
package io.kelphoist.heartbeat;
