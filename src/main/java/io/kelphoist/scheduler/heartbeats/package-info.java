/**
 * What workers say, and what they are answered: {@link
 * io.kelphoist.scheduler.heartbeats.HeartbeatHandler} orders heartbeats and has them answered,
 * {@link io.kelphoist.scheduler.heartbeats.HeartbeatApplier} updates the machine, {@link
 * io.kelphoist.scheduler.heartbeats.AttemptReconciler} compares its attempts with the heartbeat,
 * and {@link io.kelphoist.scheduler.heartbeats.TaskAttemptHandler} handles the status of each.
 *
 * <p>Owns whether a newer term was seen ({@link
 * io.kelphoist.scheduler.heartbeats.HeartbeatSenderResolver}); all else that it changes belongs to
 * {@code cluster} and {@code lifecycle}. Must not depend on what places tasks or scales, except for
 * the boot times that it reports to {@code autoscaling}.
 */
package io.kelphoist.scheduler.heartbeats;
