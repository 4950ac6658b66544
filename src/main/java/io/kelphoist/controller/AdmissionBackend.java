package io.kelphoist.controller;

import io.kelphoist.admission.Admission;
import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.events.EventBroker;
import io.kelphoist.grpc.SchedulerBackend;
import io.kelphoist.model.JobSpec;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves the requests of the gRPC service with the controller's admission. Methods may be called on
 * any thread: requests run on the event loop, and their callbacks run on the event thread.
 */
final class AdmissionBackend implements SchedulerBackend {
    private static final Logger LOG = LoggerFactory.getLogger(AdmissionBackend.class);

    private final Admission admission;
    private final JobRecordReader recordReader;
    private final Executor loopExecutor;
    private final EventThread eventThread;

    AdmissionBackend(
            Admission admission,
            JobRecordReader recordReader,
            Executor loopExecutor,
            EventThread eventThread) {
        this.admission = admission;
        this.recordReader = recordReader;
        this.loopExecutor = loopExecutor;
        this.eventThread = eventThread;
    }

    @Override
    public void submit(JobSpec job, Consumer<AdmissionResult> callback) {
        runOnLoop(() -> admission.submit(job, onEventThread(callback)));
    }

    @Override
    public void rejectMalformed(String jobId, String reason, Consumer<AdmissionResult> callback) {
        runOnLoop(() -> admission.rejectMalformed(jobId, reason, onEventThread(callback)));
    }

    @Override
    public void query(String jobId, Consumer<AdmissionResult> callback) {
        runOnLoop(() -> admission.query(jobId, onEventThread(callback)));
    }

    @Override
    public void cancel(String jobId, Consumer<AdmissionResult> callback) {
        runOnLoop(() -> admission.cancel(jobId, onEventThread(callback)));
    }

    @Override
    public void readAllJobs(Consumer<EventBroker.Snapshot> callback) {
        runOnLoop(() -> recordReader.readAll(onEventThread(callback)));
    }

    private <T> Consumer<T> onEventThread(Consumer<T> callback) {
        return result -> eventThread.run(() -> callback.accept(result));
    }

    /** Runs a task on the event loop; the task is dropped if the event loop is stopping. */
    void runOnLoop(Runnable task) {
        try {
            loopExecutor.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("request dropped because the event loop is stopping");
        }
    }
}
