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

    /** A follower accepts the job, and two leaders in a row run it. */
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
        // The three task spans: the first attempt in each of the two terms, and the second attempt.
        assertEquals(
                Map.of("submit", 1L, "wait for room", 1L, "run task", 3L, "job", 1L), countByName);
        SpanData root = rootOf(spans);
        assertOtherSpansAreChildren(root, spans);
        // From the acceptance in the job's record to the end that the second leader observes.
        assertEquals(1_010_000_000L, root.getStartEpochNanos(), "start of the root span in ns");
        assertEquals(4_100_000_000L, root.getEndEpochNanos(), "end of the root span in ns");
        assertEquals(
                spans.size(),
                spans.stream()
                        .collect(Collectors.toMap(SpanData::getSpanId, Function.identity()))
                        .size(),
                "number of different span ids, expected one for each span");
        assertEquals(1, spansOf("job-2").size(), "spans of the rejected job");
    }

    /** A follower accepts one job and rejects another. */
    private static void submitJobs(JobTracer follower) {
        follower.endSubmission(
                follower.startSubmission("job-1", "red", /* atMillis= */ 1000),
                "accepted",
                /* isRejected= */ false,
                /* atMillis= */ 1010);
        follower.endSubmission(
                follower.startSubmission("job-2", "red", /* atMillis= */ 1000),
                "refused",
                /* isRejected= */ true,
                /* atMillis= */ 1010);
    }

    /**
     * The first leader reserves capacity, twice in one wait, and starts a task, which still runs
     * when the term ends.
     */
    private static void runFirstTerm(JobTracer leader) {
        leader.onElected(1);
        leader.onTaskEvent("job-1", new TaskEvent.CapacityReserved(2), /* atMillis= */ 1100);
        leader.onTaskEvent("job-1", new TaskEvent.CapacityReserved(3), /* atMillis= */ 1200);
        leader.onTaskEvent("job-1", new TaskEvent.TaskRunning(0, "m1"), /* atMillis= */ 1500);
        leader.onTermEnded(/* atMillis= */ 2000);
    }

    /**
     * The second leader records the attempt that runs on m1 again, as it does not have the first
     * leader's span. When m1 is gone, it retries the task on m2, and it observes the job's end.
     */
    private static void runSecondTerm(JobTracer leader) {
        leader.onElected(2);
        leader.onTaskEvent("job-1", new TaskEvent.TaskRunning(0, "m1"), /* atMillis= */ 2100);
        leader.onTaskEvent(
                "job-1",
                new TaskEvent.TaskStopped(0, "m1", TaskEvent.Cause.MACHINE_GONE),
                /* atMillis= */ 2500);
        leader.onTaskEvent("job-1", new TaskEvent.TaskRunning(0, "m2"), /* atMillis= */ 3000);
        leader.onTaskEvent("job-1", new TaskEvent.TaskDone(0, "m2"), /* atMillis= */ 4000);
        leader.onJobEnded(
                "job-1",
                "red",
                /* isDone= */ true,
                /* acceptedAtMillis= */ 1010,
                /* atMillis= */ 4100);
    }

    private List<SpanData> spansOf(String jobId) {
        return exporter.getFinishedSpanItems().stream()
                .filter(span -> span.getTraceId().equals(JobTraceIds.traceId(jobId)))
                .toList();
    }

    private static SpanData rootOf(List<SpanData> spans) {
        SpanData root =
                spans.stream()
                        .filter(span -> span.getName().equals("job"))
                        .findFirst()
                        .orElseThrow();
        assertFalse(
                root.getParentSpanContext().isValid(),
                () -> "expected a root span without a parent: " + root);
        return root;
    }

    private static void assertOtherSpansAreChildren(SpanData root, List<SpanData> spans) {
        assertTrue(
                spans.stream()
                        .filter(span -> span != root)
                        .allMatch(span -> span.getParentSpanId().equals(root.getSpanId())),
                () -> "expected " + root.getSpanId() + " as the parent of all others: " + spans);
    }

    /**
     * A leader that observes only the end of a job, and none of its tasks, records a root span,
     * also for a cancelled job.
     */
    @Test
    void jobCancelledUnderANewLeaderHasARootSpan() {
        JobTracer leader = newTracer("a");
        leader.onElected(5);
        leader.onJobEnded(
                "job-9", "red", /* isDone= */ false, /* acceptedAtMillis= */ 1, /* atMillis= */ 2);
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
