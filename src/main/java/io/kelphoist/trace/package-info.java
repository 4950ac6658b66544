/**
 * OpenTelemetry traces of jobs. {@link io.kelphoist.trace.JobTracer} owns the open spans; {@link
 * io.kelphoist.trace.SpanProcessors} selects the exporter of ended spans. The package depends on
 * the scheduler's task events and on nothing else of the controller. Spans are started and ended on
 * the controller's event loop; spans for a collector are exported by a separate thread.
 */
package io.kelphoist.trace;
