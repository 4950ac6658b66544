package io.kelphoist.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the jobs whose last query was deferred, and for how long their queries have been deferred.
 * This shows a job whose queries are deferred again and again while those for other jobs succeed,
 * for example because the job's cached record is wrong; the counts of deferred requests, which
 * don't name jobs, don't show it.
 *
 * <p>Modified on the event loop only; also read by the metrics thread, hence synchronized. Times
 * are seconds of the event loop's clock.
 */
public final class UnansweredJobs {
    /**
     * Maximum number of tracked jobs. Further jobs are not tracked, so their cached records are not
     * invalidated.
     */
    private static final int MAX_JOBS = 1000;

    /**
     * Queries for a job are deferred for this long before its cached record is invalidated, and for
     * this long again before the next invalidation.
     */
    private static final double INVALIDATION_INTERVAL_SECONDS = 10;

    /** A job without a query for longer than this may be evicted before another one is added. */
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

    /** By job id, in the order of the first deferral. */
    private final Map<String, UnansweredJob> jobs = new LinkedHashMap<>();

    /** Stops tracking a job after a query for it was not deferred. */
    synchronized void onQueryAnswered(String jobId) {
        jobs.remove(jobId);
    }

    /**
     * Records that a query for a job was deferred.
     *
     * @return whether the caller must invalidate the job's cached record now
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

    /**
     * Evicts jobs in the order of their first deferral, up to the first one that had a query within
     * the retention time; inactive jobs after that one stay.
     */
    private void evictInactive(double nowSeconds) {
        for (Iterator<UnansweredJob> iterator = jobs.values().iterator();
                iterator.hasNext()
                        && nowSeconds - iterator.next().lastDeferredAtSeconds
                                > RETENTION_SECONDS; ) {
            iterator.remove();
        }
    }

    /**
     * Returns the seconds since the first of a job's deferred queries; 0 if the job is not tracked.
     */
    synchronized double deferredForSeconds(String jobId, double nowSeconds) {
        UnansweredJob job = jobs.get(jobId);
        return job == null ? 0 : nowSeconds - job.firstDeferredAtSeconds;
    }

    /** Returns the number of tracked jobs. */
    public synchronized int size() {
        return jobs.size();
    }

    /**
     * Returns the seconds since the first deferred query of the job that has been tracked longest;
     * 0 if no job is tracked.
     */
    public synchronized double longestDeferralSeconds(double nowSeconds) {
        return jobs.values().stream()
                .mapToDouble(job -> nowSeconds - job.firstDeferredAtSeconds)
                .max()
                .orElse(0);
    }
}
