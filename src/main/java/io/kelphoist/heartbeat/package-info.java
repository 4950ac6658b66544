/**
 * HTTP interface for workers' heartbeats: which controller responds to a heartbeat, and which
 * connections stay open between two heartbeats. The content of a heartbeat is handled by {@code
 * scheduler}.
 *
 * <p>{@link io.kelphoist.heartbeat.HeartbeatEndpoint} receives heartbeats, {@link
 * io.kelphoist.heartbeat.FollowerHeartbeatHandler} handles them on a controller that is not the
 * leader, {@link io.kelphoist.heartbeat.HeartbeatRouter} decides whether such a controller relays
 * or redirects, for which it owns a bounded history per worker, and {@link
 * io.kelphoist.heartbeat.WorkerConnections} owns the connections that are kept open. The package
 * uses {@code leadership}, {@code election}, {@code peer} and {@code wire}, and must not depend on
 * {@code controller}. Everything runs on the controller's event loop.
 */
package io.kelphoist.heartbeat;
