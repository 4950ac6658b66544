package io.kelphoist.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks jobs whose queries keep being deferred although those for other jobs are answered, as
 * happens if a cached record is at fault. The counts of deferred requests don't show such jobs.
 *
 * <p>Changed on the event loop only; read by the metrics' thread too, hence synchronized.
 */
public final class UnansweredJobs {
    private static final int MAX_JOBS = 1000;

    /** A job deferred for this long is due for a recheck, and again after as long. */
    private static final double INVALIDATION_INTERVAL_SECONDS = 10;

    /** A job that was not asked about for this long is dropped. */
    private static final double RETENTION_SECONDS = 120;

    private static final class UnansweredJob {
        final double firstDeferredAtSeconds;
        double lastDeferredAtSeconds;
        double invalidatedAtSeconds;

        UnansweredJob(double nowSeconds) {
            firstDeferredAtSeconds = nowSeconds;
            lastDeferredAtSeconds = nowSeconds;
            invalidatedAtSeconds = nowSeconds;
        }
    }

    /** By job, the one that was deferred first, first. */
    private final Map<String, UnansweredJob> jobs = new LinkedHashMap<>();

    /** Drops a job, as a query for it was answered. */
    synchronized void onQueryAnswered(String jobId) {
        jobs.remove(jobId);
    }

    /**
     * Notes that a query for a job was deferred.
     *
     * @return whether the job is due for a recheck of what is cached of it
     */
    synchronized boolean onQueryDeferred(String jobId, double nowSeconds) {
        UnansweredJob job = jobs.get(jobId);
        if (job == null) {
            evictInactive(nowSeconds);
            if (jobs.size() < MAX_JOBS) {
                jobs.put(jobId, new UnansweredJob(nowSeconds));
            }
            return false;
        }
        job.lastDeferredAtSeconds = nowSeconds;
        if (nowSeconds - job.invalidatedAtSeconds < INVALIDATION_INTERVAL_SECONDS) {
            return false;
        }
        job.invalidatedAtSeconds = nowSeconds;
        return true;
    }

    private void evictInactive(double nowSeconds) {
        for (Iterator<UnansweredJob> iterator = jobs.values().iterator();
                iterator.hasNext()
                        && nowSeconds - iterator.next().lastDeferredAtSeconds
                                > RETENTION_SECONDS; ) {
            iterator.remove();
        }
    }

    /** Returns for how long queries for a job have been deferred, 0 if they are answered. */
    synchronized double deferredForSeconds(String jobId, double nowSeconds) {
        UnansweredJob job = jobs.get(jobId);
        return job == null ? 0 : nowSeconds - job.firstDeferredAtSeconds;
    }

    /** Returns the number of jobs whose queries are being deferred. */
    public synchronized int size() {
        return jobs.size();
    }

    /**
     * Returns for how long the first of these jobs has been deferred, in seconds; 0 without any.
     */
    public synchronized double longestDeferralSeconds(double nowSeconds) {
        return jobs.values().stream()
                .mapToDouble(job -> nowSeconds - job.firstDeferredAtSeconds)
                .max()
                .orElse(0);
    }
}
