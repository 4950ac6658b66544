/**
 * Scale-out and scale-in: {@link io.kelphoist.scheduler.autoscaling.Autoscaler} requests machines
 * for the jobs that could not be placed, terminates machines that are not needed, and reconciles
 * the machine registry with the cloud's instance list.
 *
 * <p>Owns the scale-out requests ({@code ScaleOutRequests}), the recent boots ({@link
 * io.kelphoist.scheduler.autoscaling.BootTimeEstimator}) and the listed instances, from which
 * terminations are determined ({@code InstanceListTracker}). Depends on {@code lifecycle} and the
 * packages below it; must not depend on {@code allocation} or {@code preemption}.
 */
package io.kelphoist.scheduler.autoscaling;
