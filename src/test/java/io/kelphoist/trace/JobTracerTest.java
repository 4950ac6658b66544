package io.kelphoist.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.scheduler.spi.TaskEvent;
import io.opentelemetry.sdk.testing.exporter.InMemorySpanExporter;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Each job has one trace with one root span, even if several controllers in several terms record
 * its spans. Guards against spans of one job that end up in different traces or without a parent.
 */
class JobTracerTest {
    private final InMemorySpanExporter exporter = InMemorySpanExporter.create();

    private JobTracer newTracer(String controllerName) {
        return new JobTracer(controllerName, SimpleSpanProcessor.create(exporter));
    }

    @Test
    void spansOfThreeControllersAreOneTrace() {
        // given
        submitJobs(newTracer("a"));
        // when
        runFirstTerm(newTracer("b"));
        runSecondTerm(newTracer("c"));
        // then
        List<SpanData> spans = spansOf("job-1");
        Map<String, Long> countByName =
                spans.stream()
                        .collect(Collectors.groupingBy(SpanData::getName, Collectors.counting()));
        assertEquals(
                Map.of("submit", 1L, "wait for room", 1L, "run task", 3L, "job", 1L), countByName);
        assertSpansHaveOneRoot(spans);
        assertEquals(
                spans.size(),
                spans.stream()
                        .collect(Collectors.toMap(SpanData::getSpanId, Function.identity()))
                        .size());
        assertEquals(1, spansOf("job-2").size());
    }

    /** A follower accepts one job and rejects another. */
    private static void submitJobs(JobTracer follower) {
        follower.endSubmission(
                follower.startSubmission("job-1", "red", 1000),
                "accepted",
                /* isRejected= */ false,
                1010);
        follower.endSubmission(
                follower.startSubmission("job-2", "red", 1000),
                "refused",
                /* isRejected= */ true,
                1010);
    }

    /** The first leader reserves capacity and starts a task before its term ends. */
    private static void runFirstTerm(JobTracer leader) {
        leader.onElected(1);
        leader.onTaskEvent("job-1", new TaskEvent.CapacityReserved(2), 1100);
        leader.onTaskEvent("job-1", new TaskEvent.CapacityReserved(3), 1200);
        leader.onTaskEvent("job-1", new TaskEvent.TaskRunning(0, "m1"), 1500);
        leader.onTermEnded(2000);
    }

    /** The second leader retries the task on another machine and observes the job's end. */
    private static void runSecondTerm(JobTracer leader) {
        leader.onElected(2);
        leader.onTaskEvent("job-1", new TaskEvent.TaskRunning(0, "m1"), 2100);
        leader.onTaskEvent(
                "job-1", new TaskEvent.TaskStopped(0, "m1", TaskEvent.Cause.MACHINE_GONE), 2500);
        leader.onTaskEvent("job-1", new TaskEvent.TaskRunning(0, "m2"), 3000);
        leader.onTaskEvent("job-1", new TaskEvent.TaskDone(0, "m2"), 4000);
        leader.onJobEnded("job-1", "red", true, 1010, 4100);
    }

    private List<SpanData> spansOf(String jobId) {
        return exporter.getFinishedSpanItems().stream()
                .filter(span -> span.getTraceId().equals(JobTraceIds.traceId(jobId)))
                .toList();
    }

    private static void assertSpansHaveOneRoot(List<SpanData> spans) {
        SpanData root =
                spans.stream()
                        .filter(span -> span.getName().equals("job"))
                        .findFirst()
                        .orElseThrow();
        assertFalse(root.getParentSpanContext().isValid());
        assertEquals(1_010_000_000L, root.getStartEpochNanos());
        assertEquals(4_100_000_000L, root.getEndEpochNanos());
        assertTrue(
                spans.stream()
                        .filter(span -> span != root)
                        .allMatch(span -> span.getParentSpanId().equals(root.getSpanId())));
    }

    /** A leader that observes only the end of a job, and none of its tasks, records a root span. */
    @Test
    void jobThatEndsUnderANewLeaderHasARootSpan() {
        JobTracer leader = newTracer("a");
        leader.onElected(5);
        leader.onJobEnded("job-9", "red", false, 1, 2);
        SpanData root = exporter.getFinishedSpanItems().get(0);
        assertEquals(JobTraceIds.rootSpanId("job-9"), root.getSpanId());
        assertEquals(
                "cancelled",
                root.getAttributes().asMap().entrySet().stream()
                        .filter(attribute -> attribute.getKey().getKey().equals("kelphoist.end"))
                        .findFirst()
                        .orElseThrow()
                        .getValue());
    }
}
