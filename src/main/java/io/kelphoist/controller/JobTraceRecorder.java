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
 * Records the events that a controller observes in the traces of its jobs, with the time of the
 * wall clock. Confined to the controller's event loop.
 */
final class JobTraceRecorder {
    private final JobTracer tracer;
    private final LongSupplier wallClockMillis;

    JobTraceRecorder(JobTracer tracer, LongSupplier wallClockMillis) {
        this.tracer = tracer;
        this.wallClockMillis = wallClockMillis;
    }

    /**
     * Starts the span of a submission. Returns a callback that ends the span with the result and
     * passes the result on.
     */
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

    /**
     * The value of the span attribute {@code kelphoist.answer}. Operators search by it, so it does
     * not depend on the names of types.
     */
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

    /** Starts to trace the jobs of a term that this controller leads. */
    void onElected(long term) {
        tracer.onElected(term);
    }

    /** Ends all open spans, as the term led here ended. */
    void onTermEnded() {
        tracer.onTermEnded(wallClockMillis.getAsLong());
    }

    /** Records an event of a job or its tasks in the term led here. */
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

    /** Exports the pending spans and stops. */
    void close() {
        tracer.close();
    }
}
