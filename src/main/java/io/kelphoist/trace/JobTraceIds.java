package io.kelphoist.trace;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import io.opentelemetry.sdk.trace.IdGenerator;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/**
 * Generates the identifiers of traces and spans. Those of a job's trace and of its root span are
 * hashes of the job's id, so that all controllers add to the same trace without exchanging
 * identifiers; all other span identifiers are random. Confined to the controller's event loop.
 */
final class JobTraceIds implements IdGenerator {
    private static final int TRACE_ID_LENGTH = 32;
    private static final int SPAN_ID_LENGTH = 16;

    private final IdGenerator randomIds = IdGenerator.random();

    /** The job whose root span is being started; null if none is. */
    private String rootJobId;

    /** Returns the identifier of a job's trace. */
    static String traceId(String jobId) {
        return hash("trace", jobId).toString().substring(0, TRACE_ID_LENGTH);
    }

    /** Returns the identifier of a job's root span. */
    static String rootSpanId(String jobId) {
        return hash("root", jobId).toString().substring(0, SPAN_ID_LENGTH);
    }

    private static HashCode hash(String purpose, String jobId) {
        return Hashing.sha256()
                .newHasher()
                .putString(purpose, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(jobId, StandardCharsets.UTF_8)
                .hash();
    }

    /**
     * Starts a job's root span.
     *
     * @param spanStarter starts the span, which gets the identifiers of the job's root span
     */
    <T> T startRoot(String jobId, Supplier<T> spanStarter) {
        rootJobId = jobId;
        try {
            return spanStarter.get();
        } finally {
            rootJobId = null;
        }
    }

    @Override
    public String generateSpanId() {
        return rootJobId == null ? randomIds.generateSpanId() : rootSpanId(rootJobId);
    }

    @Override
    public String generateTraceId() {
        return rootJobId == null ? randomIds.generateTraceId() : traceId(rootJobId);
    }
}
