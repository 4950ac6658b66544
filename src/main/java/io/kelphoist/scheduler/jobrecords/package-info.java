/**
 * Stored job records and the jobs created from them: {@link
 * io.kelphoist.scheduler.jobrecords.JobRecordHandler} creates and ends jobs as their records state,
 * {@link io.kelphoist.scheduler.jobrecords.JobDependencies} activates and cancels jobs when the
 * jobs that they depend on end, {@link io.kelphoist.scheduler.jobrecords.JobEndWriter} requests
 * that the ends of jobs are stored, and {@link io.kelphoist.scheduler.jobrecords.JobReconciler}
 * compares jobs with their records.
 *
 * <p>Owns the dependencies between jobs, the ends that are to be stored, and the resource usage of
 * the configured teams ({@link io.kelphoist.scheduler.jobrecords.JobFactory}). Depends on {@code
 * lifecycle} and the packages below it; must not depend on packages that place tasks.
 */
package io.kelphoist.scheduler.jobrecords;
