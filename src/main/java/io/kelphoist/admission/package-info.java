/**
 * Submission, query and cancellation of jobs, independent of the user API.
 *
 * <p>{@link io.kelphoist.admission.Admission} is the entry point: the HTTP user API ({@code api})
 * and the gRPC user API ({@code grpc}) translate requests into calls of it and its {@link
 * io.kelphoist.admission.AdmissionResult}s back into responses. Every controller serves users,
 * whether it is the leader or a follower: it reads and writes job records in the state store
 * directly, with compare-and-swap transactions. Two guarantees hold for the job states in responses
 * to users:
 *
 * <ul>
 *   <li>the state in a response is never older than the request, although many queries share one
 *       read ({@link io.kelphoist.admission.JobRecordCache});
 *   <li>a controller never reports a job's state that is older than one that it has reported before
 *       ({@link io.kelphoist.admission.MonotonicReads}).
 * </ul>
 *
 * <p>The package owns the caches of job records from which responses are made, and the counts of
 * deferred requests. It must not depend on the user APIs, on leadership or on the scheduler's
 * state; data of the controller that is not in the state store is read through {@link
 * io.kelphoist.admission.Admission.ClusterView}. It uses {@code statestore}, {@code eventloop} and
 * {@code wire}.
 *
 * <p>All code of the package runs on the controller's event loop. Callbacks are called there too,
 * possibly before the call returns. {@link io.kelphoist.admission.Admission#deferralCount} and
 * {@link io.kelphoist.admission.UnansweredJobs} are also read by the metrics thread.
 */
package io.kelphoist.admission;
