package io.kelphoist.failover;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The jobs whose cancellation was acknowledged to a user, in the order of the first
 * acknowledgement. Leaders read the log from an index on, even while the state store is
 * unavailable.
 */
final class AcknowledgedCancellationLog {
    private final List<String> jobIds = new ArrayList<>();
    private final Map<String, Double> acknowledgedAtSeconds = new HashMap<>();

    /**
     * Adds the cancellation of a job that is about to be acknowledged. Returns whether this is its
     * first acknowledgement.
     */
    boolean add(String jobId, double nowSeconds) {
        if (acknowledgedAtSeconds.putIfAbsent(jobId, nowSeconds) != null) {
            return false;
        }
        jobIds.add(jobId);
        return true;
    }

    int size() {
        return jobIds.size();
    }

    boolean contains(String jobId) {
        return acknowledgedAtSeconds.containsKey(jobId);
    }

    /** Whether the job is among the first {@code count} entries. */
    boolean firstContain(int count, String jobId) {
        return jobIds.subList(0, count).contains(jobId);
    }

    /** Returns the entries from an index on. */
    List<String> from(int index) {
        return Collections.unmodifiableList(jobIds.subList(index, jobIds.size()));
    }

    /**
     * Returns when the job's cancellation was first acknowledged; {@code otherwise} if it was not.
     */
    double acknowledgedAtSeconds(String jobId, double otherwise) {
        return acknowledgedAtSeconds.getOrDefault(jobId, otherwise);
    }
}
