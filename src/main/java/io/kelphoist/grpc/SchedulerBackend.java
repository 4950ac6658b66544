package io.kelphoist.grpc;

import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.events.EventBroker;
import io.kelphoist.model.JobSpec;
import java.util.function.Consumer;

/**
 * The interface through which the gRPC service uses the controller. Methods may be called on any
 * thread and don't block. Each callback is called at most once, on the event thread; it is never
 * called if the controller shuts down before the request is complete.
 */
public interface SchedulerBackend {
    /** Submits a job, see {@link io.kelphoist.admission.Admission#submit}. */
    void submit(JobSpec job, Consumer<AdmissionResult> callback);

    /**
     * Handles a submission of which only the job's id could be decoded: the result is the state of
     * the stored job with this id, or a rejection if there is none.
     */
    void rejectMalformed(String jobId, String reason, Consumer<AdmissionResult> callback);

    /** Reads a job's state. */
    void query(String jobId, Consumer<AdmissionResult> callback);

    /** Cancels a job. */
    void cancel(String jobId, Consumer<AdmissionResult> callback);

    /** Reads all stored jobs. */
    void readAllJobs(Consumer<EventBroker.Snapshot> callback);
}
