package io.kelphoist.grpc;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads the jobs that a watch request names, to check that they exist and that the client may see
 * them, and to get the final state of jobs that the event broker has evicted. An instance reads
 * once. Confined to the event thread.
 */
final class NamedJobsReader {
    private final ClientAuthorizer.Client client;
    private final Consumer<List<JobRecord>> onCompleted;
    private final Consumer<StatusRuntimeException> onFailed;
    private final List<JobRecord> records = new ArrayList<>();
    private int pendingQueryCount;

    /**
     * Creates a reader.
     *
     * @param onCompleted receives the records of all jobs, without their specifications
     * @param onFailed receives the status for each job that can't be watched, so that it may be
     *     called several times; then {@code onCompleted} is not called
     */
    NamedJobsReader(
            ClientAuthorizer.Client client,
            Consumer<List<JobRecord>> onCompleted,
            Consumer<StatusRuntimeException> onFailed) {
        this.client = client;
        this.onCompleted = onCompleted;
        this.onFailed = onFailed;
    }

    /**
     * Starts to read the jobs. Called once.
     *
     * @param jobIds at least one, as otherwise neither callback is called
     */
    void read(Collection<String> jobIds, SchedulerBackend backend) {
        pendingQueryCount = jobIds.size();
        for (String jobId : jobIds) {
            backend.query(jobId, result -> onResult(jobId, result));
        }
    }

    private void onResult(String jobId, AdmissionResult result) {
        AdmissionResult visible = client.visibleResult(result);
        if (!(visible instanceof AdmissionResult.Found found)) {
            onFailed.accept(toError(jobId, visible));
            return;
        }
        records.add(toRecord(found.job()));
        pendingQueryCount--;
        if (pendingQueryCount == 0) {
            onCompleted.accept(records);
        }
    }

    private static StatusRuntimeException toError(String jobId, AdmissionResult result) {
        return result instanceof AdmissionResult.NotFound
                ? Status.NOT_FOUND.withDescription("there is no job " + jobId).asRuntimeException()
                : GrpcStatuses.forResult(result);
    }

    private static JobRecord toRecord(AdmissionResult.JobStateView job) {
        JobStatus status =
                switch (job.phase()) {
                    case DONE -> JobStatus.DONE;
                    case CANCELLED -> JobStatus.CANCELLED;
                    case QUEUED, RUNNING -> JobStatus.ACTIVE;
                };
        return new JobRecord(
                job.id(), null, status, job.timestampMillis(), job.revision(), job.owner());
    }
}
