/**
 * The scheduler's state in one term: jobs with their tasks, machines with their resources, and the
 * attempts that connect them.
 *
 * <p>Each piece of state has one owner and is changed only by its owner's methods: {@link
 * io.kelphoist.scheduler.cluster.Job} and its parts ({@code JobTasks}, {@code JobUrgency}, {@code
 * JobFailures}, {@code CapacityAcquisition}), {@link io.kelphoist.scheduler.cluster.Machine} and
 * its parts ({@code MachineAttempts}, {@code MachineHold}, {@code MachineResources}), {@link
 * io.kelphoist.scheduler.cluster.TaskAttempt}, {@link io.kelphoist.scheduler.cluster.TeamUsage},
 * and the registries that hold them. Jobs, machines and attempts are in one package because they
 * refer to one another: an attempt belongs to a task of a job and to a machine, and both list their
 * attempts.
 *
 * <p>This package makes no scheduling decisions: the packages that use it decide what starts, what
 * stops, and when to scale. It depends on {@code images}, {@code reachability} and {@code model},
 * and must not depend on other packages of the scheduler. Packages outside the scheduler read jobs,
 * machines and attempts and never change them; {@code ArchitectureTest} lists what they may call.
 */
package io.kelphoist.scheduler.cluster;
