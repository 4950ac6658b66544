package io.kelphoist.controller;

import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.model.JobSpec;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.spi.TaskEvent;
import io.kelphoist.trace.JobTracer;
import io.opentelemetry.api.trace.Span;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Passes the events that a controller observes on to the traces of its jobs, with the time of day.
 * Confined to the controller's event loop.
 */
final class JobTraceRecorder {
    private final JobTracer tracer;
    private final LongSupplier wallClockMillis;

    JobTraceRecorder(JobTracer tracer, LongSupplier wallClockMillis) {
        this.tracer = tracer;
        this.wallClockMillis = wallClockMillis;
    }

    /** A submission arrived; returns the callback that records its result and passes it on. */
    Consumer<AdmissionResult> onSubmission(JobSpec job, Consumer<AdmissionResult> callback) {
        Span span = tracer.startSubmission(job.id(), job.team(), wallClockMillis.getAsLong());
        return result -> {
            boolean isAccepted =
                    result instanceof AdmissionResult.Accepted
                            || result instanceof AdmissionResult.Found;
            tracer.endSubmission(
                    span, resultAttribute(result), !isAccepted, wallClockMillis.getAsLong());
            callback.accept(result);
        };
    }

    /** The value of a span's attribute, which operators search by: independent of type names. */
    static String resultAttribute(AdmissionResult result) {
        if (result instanceof AdmissionResult.Accepted) {
            return "accepted";
        }
        if (result instanceof AdmissionResult.Found) {
            return "known";
        }
        if (result instanceof AdmissionResult.NotFound) {
            return "absent";
        }
        if (result instanceof AdmissionResult.Rejected) {
            return "refused";
        }
        return "later";
    }

    /** A term is led here. */
    void onElected(long term) {
        tracer.onElected(term);
    }

    /** The term led here ended. */
    void onTermEnded() {
        tracer.onTermEnded(wallClockMillis.getAsLong());
    }

    /** Something happened to a job of the term led here. */
    void onTaskEvent(Job job, TaskEvent event) {
        if (event instanceof TaskEvent.JobEnded jobEnded) {
            tracer.onJobEnded(
                    job.spec().id(),
                    job.spec().team(),
                    jobEnded.done(),
                    job.record().timestampMillis(),
                    wallClockMillis.getAsLong());
        } else {
            tracer.onTaskEvent(job.spec().id(), event, wallClockMillis.getAsLong());
        }
    }

    /** Exports what is pending. */
    void close() {
        tracer.close();
    }
}
