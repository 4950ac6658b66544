/**
 * Handling of heartbeats from workers and of their responses to direct requests: {@link
 * io.kelphoist.scheduler.heartbeats.HeartbeatHandler} decides whether a heartbeat is accepted and
 * returns the commands for its response, {@link
 * io.kelphoist.scheduler.heartbeats.DeliveryOutcomeHandler} handles responses to direct requests,
 * {@link io.kelphoist.scheduler.heartbeats.HeartbeatApplier} updates the machine, {@link
 * io.kelphoist.scheduler.heartbeats.AttemptReconciler} compares the machine's task attempts with
 * the reported task list, and {@link io.kelphoist.scheduler.heartbeats.TaskAttemptHandler} handles
 * the status of each task.
 *
 * <p>Owns whether a worker has seen a newer term ({@link
 * io.kelphoist.scheduler.heartbeats.HeartbeatSenderResolver}); all other state that it changes
 * belongs to packages that this one depends on, mainly {@code cluster}, {@code reachability} and
 * {@code lifecycle}. Must not depend on packages that place tasks or scale the cluster, except for
 * the boot times that it reports to {@code autoscaling}.
 */
package io.kelphoist.scheduler.heartbeats;
