package io.kelphoist.trace;

import io.opentelemetry.exporter.logging.LoggingSpanExporter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;

/** Creates the span processor that the operators' settings select. */
public final class SpanProcessors {
    /** The maximum number of ended spans that are queued for export; further spans are dropped. */
    private static final int MAX_QUEUED_SPANS = 2048;

    private SpanProcessors() {}

    /**
     * Creates a span processor.
     *
     * @param endpoint URL of a collector that receives OTLP over HTTP; empty to log the spans
     */
    public static SpanProcessor forEndpoint(String endpoint) {
        if (endpoint.isEmpty()) {
            return SimpleSpanProcessor.create(LoggingSpanExporter.create());
        }
        OtlpHttpSpanExporter exporter =
                OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build();
        return BatchSpanProcessor.builder(exporter).setMaxQueueSize(MAX_QUEUED_SPANS).build();
    }
}
