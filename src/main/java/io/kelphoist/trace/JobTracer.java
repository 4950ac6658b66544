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
 * Records one trace per job, over all controllers and terms. The identifiers of the trace and of
 * its root span follow from the job's id ({@link JobTraceIds}), so that every controller adds to
 * the same trace and nothing about it is stored or exchanged.
 *
 * <p>The controller that receives a submission records its span; the leader records waiting and
 * each run of a task; and the leader that learns of the job's end records the root span, from
 * acceptance to end.
 *
 * <p>Owns the open spans. Confined to the controller's event loop. Times are in milliseconds since
 * the epoch.
 */
public final class JobTracer implements AutoCloseable {
    private static final String SERVICE = "kelphoist";
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
                                        .put("service.name", SERVICE)
                                        .put("service.instance.id", controllerName)
                                        .build())
                        .build();
        tracer = OpenTelemetrySdk.builder().setTracerProvider(provider).build().getTracer(SERVICE);
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

    /** A submission arrived; pass the span to {@link #endSubmission}. */
    public Span startSubmission(String jobId, String team, long atMillis) {
        Span span = startSpan(jobId, "submit", SpanKind.SERVER, atMillis);
        span.setAttribute(TEAM, team);
        return span;
    }

    /** A submission was answered. */
    public void endSubmission(Span submission, String answer, boolean isRefused, long atMillis) {
        submission.setAttribute("kelphoist.answer", answer);
        if (isRefused) {
            submission.setStatus(StatusCode.ERROR, answer);
        }
        submission.end(atMillis, TimeUnit.MILLISECONDS);
    }

    /** A term is led here. Spans of the previous leader are not known. */
    public void onElected(long newTerm) {
        term = newTerm;
        spansByJob.clear();
    }

    /** The term led here ended: the open spans end, although what they describe goes on. */
    public void onTermEnded(long atMillis) {
        spansByJob.values().forEach(spans -> spans.abandonAll(TERM_ENDED_CAUSE, atMillis));
        spansByJob.clear();
    }

    /** Something happened to a job of the term led here; see {@link #onJobEnded} for its end. */
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
     * The end of a job is stored. The leader calls this once in a term; the root span has the same
     * identifiers whichever controller records it.
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

    /** Exports what is pending, for at most two seconds. */
    @Override
    public void close() {
        provider.shutdown().join(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
