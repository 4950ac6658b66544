package io.kelphoist.failover;

import io.kelphoist.model.Priority;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Records when the jobs that users submitted were accepted, and when a task of each job was first
 * started.
 */
final class QueueWaitRecorder {
    private final Map<String, Double> startedAtSeconds = new HashMap<>();
    private final Map<String, Double> acceptedAtSeconds = new HashMap<>();
    private final Map<String, Priority> priorities = new HashMap<>();

    void onSubmitted(String jobId, Priority priority) {
        priorities.put(jobId, priority);
    }

    void onAccepted(String jobId, double nowSeconds) {
        acceptedAtSeconds.put(jobId, nowSeconds);
    }

    void onStarted(String jobId, double nowSeconds) {
        startedAtSeconds.putIfAbsent(jobId, nowSeconds);
    }

    int acceptedJobCount() {
        return acceptedAtSeconds.size();
    }

    /**
     * Returns the longest wait in seconds from acceptance to the first start among the accepted
     * jobs of a priority that pass the filter, each of which must have started; 0 if there are
     * none.
     */
    double longestSeconds(Priority priority, Predicate<String> filter) {
        double longest = 0;
        for (Map.Entry<String, Double> accepted : acceptedAtSeconds.entrySet()) {
            String jobId = accepted.getKey();
            if (priorities.get(jobId) == priority && filter.test(jobId)) {
                longest = Math.max(longest, startedAtSeconds.get(jobId) - accepted.getValue());
            }
        }
        return longest;
    }

    String describe(String jobId) {
        return "acceptedAtSeconds="
                + acceptedAtSeconds.get(jobId)
                + " firstStartedAtSeconds="
                + startedAtSeconds.get(jobId);
    }
}
