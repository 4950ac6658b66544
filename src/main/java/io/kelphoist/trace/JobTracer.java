package io.kelphoist.trace;

import io.kelphoist.scheduler.spi.TaskEvent;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.TraceFlags;
import io.opentelemetry.api.trace.TraceState;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SpanProcessor;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Records one trace per job, across all controllers and terms. The identifiers of the trace and of
 * its root span are derived from the job's id ({@link JobTraceIds}), so that all controllers add to
 * the same trace, and no trace data is stored or exchanged.
 *
 * <p>The controller that receives a submission records its span. The leader records a span for the
 * job's wait and for each run of a task. The leader that observes the job's end records the root
 * span, from the job's acceptance to its end.
 *
 * <p>Owns the open spans. Confined to the controller's event loop. Times are in milliseconds since
 * the epoch.
 */
public final class JobTracer implements AutoCloseable {
    private static final String SERVICE_NAME = "kelphoist";
    private static final AttributeKey<String> JOB = AttributeKey.stringKey("kelphoist.job");
    private static final AttributeKey<String> TEAM = AttributeKey.stringKey("kelphoist.team");
    private static final AttributeKey<String> MACHINE = AttributeKey.stringKey("kelphoist.machine");
    private static final AttributeKey<Long> TASK = AttributeKey.longKey("kelphoist.task");
    private static final AttributeKey<Long> TERM = AttributeKey.longKey("kelphoist.term");
    private static final String TERM_ENDED_CAUSE = "term ended";
    private static final int CLOSE_TIMEOUT_SECONDS = 2;

    private final JobTraceIds traceIds = new JobTraceIds();
    private final SdkTracerProvider provider;
    private final Tracer tracer;
    private final Map<String, JobSpans> spansByJob = new HashMap<>();
    private long term;

    /**
     * Creates a tracer without open spans.
     *
     * @param controllerName identifies this controller in the traces
     * @param spanProcessor receives ended spans
     */
    public JobTracer(String controllerName, SpanProcessor spanProcessor) {
        provider =
                SdkTracerProvider.builder()
                        .setIdGenerator(traceIds)
                        .addSpanProcessor(spanProcessor)
                        .setResource(
                                Resource.builder()
                                        .put("service.name", SERVICE_NAME)
                                        .put("service.instance.id", controllerName)
                                        .build())
                        .build();
        tracer =
                OpenTelemetrySdk.builder()
                        .setTracerProvider(provider)
                        .build()
                        .getTracer(SERVICE_NAME);
    }

    private static Context parentContext(String jobId) {
        return Context.root()
                .with(
                        Span.wrap(
                                SpanContext.createFromRemoteParent(
                                        JobTraceIds.traceId(jobId),
                                        JobTraceIds.rootSpanId(jobId),
                                        TraceFlags.getSampled(),
                                        TraceState.getDefault())));
    }

    private Span startSpan(String jobId, String name, SpanKind kind, long atMillis) {
        return tracer.spanBuilder(name)
                .setParent(parentContext(jobId))
                .setSpanKind(kind)
                .setStartTimestamp(atMillis, TimeUnit.MILLISECONDS)
                .setAttribute(JOB, jobId)
                .startSpan();
    }

    private Span startTermSpan(String jobId, String name, long atMillis) {
        return startSpan(jobId, name, SpanKind.INTERNAL, atMillis).setAttribute(TERM, term);
    }

    /** Starts the span of a submission; the caller passes it to {@link #endSubmission}. */
    public Span startSubmission(String jobId, String team, long atMillis) {
        Span span = startSpan(jobId, "submit", SpanKind.SERVER, atMillis);
        span.setAttribute(TEAM, team);
        return span;
    }

    /**
     * Ends the span of a submission, as its response is sent.
     *
     * @param result the result of the submission, as it is recorded in the span
     * @param isRejected whether the span ends with an error status
     */
    public void endSubmission(Span submission, String result, boolean isRejected, long atMillis) {
        submission.setAttribute("kelphoist.answer", result);
        if (isRejected) {
            submission.setStatus(StatusCode.ERROR, result);
        }
        submission.end(atMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Must be called when this controller becomes the leader. It starts without open spans, as it
     * does not have those of the previous leader.
     */
    public void onElected(long newTerm) {
        term = newTerm;
        spansByJob.clear();
    }

    /**
     * Must be called when this controller stops being the leader. Ends all open spans with a cause,
     * although the jobs and tasks that they represent continue.
     */
    public void onTermEnded(long atMillis) {
        spansByJob.values().forEach(spans -> spans.abandonAll(TERM_ENDED_CAUSE, atMillis));
        spansByJob.clear();
    }

    /**
     * Records an event of a job while this controller is the leader; the job's end is recorded by
     * {@link #onJobEnded}. While the span of a wait is open, no further event starts another one.
     */
    public void onTaskEvent(String jobId, TaskEvent event, long atMillis) {
        JobSpans spans = spansByJob.computeIfAbsent(jobId, ignored -> new JobSpans());
        if (event instanceof TaskEvent.WaitingForDependencies) {
            startWaiting(spans, jobId, "wait for jobs", atMillis);
        } else if (event instanceof TaskEvent.CapacityReserved) {
            startWaiting(spans, jobId, "wait for room", atMillis);
        } else if (event instanceof TaskEvent.TaskRunning running) {
            spans.endWaiting(atMillis);
            startTask(spans, jobId, running, atMillis);
        } else if (event instanceof TaskEvent.TaskStopped stopped) {
            spans.failTask(stopped.taskIndex(), stopped.cause().name(), atMillis);
        } else if (event instanceof TaskEvent.TaskDone done) {
            spans.endTask(done.taskIndex(), atMillis);
        }
    }

    private void startWaiting(JobSpans spans, String jobId, String name, long atMillis) {
        if (!spans.isWaiting()) {
            spans.startWaiting(startTermSpan(jobId, name, atMillis));
        }
    }

    private void startTask(
            JobSpans spans, String jobId, TaskEvent.TaskRunning running, long atMillis) {
        if (spans.isTaskSpanAllowed()) {
            Span span =
                    startTermSpan(jobId, "run task", atMillis)
                            .setAttribute(TASK, (long) running.taskIndex())
                            .setAttribute(MACHINE, running.machineName());
            spans.startTask(running.taskIndex(), span, atMillis);
        }
    }

    /**
     * Ends a job's open spans and records its root span, as the job's end is stored. Called by the
     * leader, once per job in a term. If leaders of several terms record the root span, its
     * identifiers are the same each time.
     *
     * @param isDone false if the job was cancelled
     */
    public void onJobEnded(
            String jobId, String team, boolean isDone, long acceptedAtMillis, long atMillis) {
        JobSpans spans = spansByJob.remove(jobId);
        if (spans != null) {
            spans.endAll(atMillis);
        }
        Span root = traceIds.startRoot(jobId, () -> startRootSpan(jobId, team, acceptedAtMillis));
        root.setAttribute("kelphoist.end", isDone ? "done" : "cancelled");
        root.end(atMillis, TimeUnit.MILLISECONDS);
    }

    private Span startRootSpan(String jobId, String team, long acceptedAtMillis) {
        return tracer.spanBuilder("job")
                .setNoParent()
                .setStartTimestamp(acceptedAtMillis, TimeUnit.MILLISECONDS)
                .setAttribute(JOB, jobId)
                .setAttribute(TEAM, team)
                .setAttribute(TERM, term)
                .startSpan();
    }

    /** Exports the spans that are still queued, for at most {@value #CLOSE_TIMEOUT_SECONDS} s. */
    @Override
    public void close() {
        provider.shutdown().join(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
