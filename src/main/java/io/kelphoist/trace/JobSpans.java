package io.kelphoist.trace;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Owns the open spans of one job in the current term: one while the job waits, and one for each
 * running task. Confined to the controller's event loop.
 */
final class JobSpans {
    private static final AttributeKey<String> CAUSE = AttributeKey.stringKey("kelphoist.cause");

    /** The maximum number of tasks of one job with an open span; further tasks get no span. */
    private static final int MAX_TASK_SPANS = 1000;

    private final Map<Integer, Span> taskSpans = new HashMap<>();

    /** Null while the job is not waiting. */
    private Span waitingSpan;

    boolean isWaiting() {
        return waitingSpan != null;
    }

    void startWaiting(Span span) {
        waitingSpan = span;
    }

    /** Ends the span of the wait, if the job is waiting. */
    void endWaiting(long atMillis) {
        if (waitingSpan != null) {
            end(waitingSpan, atMillis);
            waitingSpan = null;
        }
    }

    boolean isTaskSpanAllowed() {
        return taskSpans.size() < MAX_TASK_SPANS;
    }

    /** Adds the span of a task, and ends the span of its previous attempt. */
    void startTask(int taskIndex, Span span, long atMillis) {
        Span previous = taskSpans.put(taskIndex, span);
        if (previous != null) {
            end(previous, atMillis);
        }
    }

    /** Ends the span of a task that is done. */
    void endTask(int taskIndex, long atMillis) {
        Span span = taskSpans.remove(taskIndex);
        if (span != null) {
            end(span, atMillis);
        }
    }

    /** Ends the span of a task that stopped before it was done, with an error status. */
    void failTask(int taskIndex, String cause, long atMillis) {
        Span span = taskSpans.remove(taskIndex);
        if (span != null) {
            span.setAttribute(CAUSE, cause).setStatus(StatusCode.ERROR, cause);
            end(span, atMillis);
        }
    }

    /** Ends all spans, as the job has ended. */
    void endAll(long atMillis) {
        endWaiting(atMillis);
        taskSpans.values().forEach(span -> end(span, atMillis));
    }

    /** Ends all spans with a cause, as this controller no longer observes the job. */
    void abandonAll(String cause, long atMillis) {
        if (waitingSpan != null) {
            waitingSpan.setAttribute(CAUSE, cause);
        }
        taskSpans.values().forEach(span -> span.setAttribute(CAUSE, cause));
        endAll(atMillis);
    }

    private static void end(Span span, long atMillis) {
        span.end(atMillis, TimeUnit.MILLISECONDS);
    }
}
