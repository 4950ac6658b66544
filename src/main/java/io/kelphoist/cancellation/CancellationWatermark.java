package io.kelphoist.cancellation;

import io.kelphoist.delegation.DelegationTiming;
import io.kelphoist.model.SchedulingPolicy;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The moment up to which the leader of one term knows all cancellations that any user was told of.
 * Leases are renewed and tasks started only within {@link DelegationTiming#renewalWindowSeconds}
 * after this moment.
 *
 * <p>Two sources advance the watermark:
 *
 * <ul>
 *   <li>A completed read of the jobs, as of when it was requested, because a cancellation is stored
 *       before a user is told of it.
 *   <li>A {@link ConfirmedCancellations.Statement} of every other controller, as of when the oldest
 *       of those requests was sent. The state store may be down, or unreachable from the leader
 *       alone, for longer than a cancellation may take.
 * </ul>
 *
 * <p>Cancellations that this controller confirms itself must be applied at once by the caller.
 *
 * <p>Owns the progress per controller. Performs no I/O: events and the time (the leader's monotonic
 * clock, in seconds) are passed in. Confined to the controller's event loop.
 */
public final class CancellationWatermark {
    private static final class PeerProgress {
        /** All cancellations that the controller confirmed before this moment are known here. */
        double knownUntilSeconds = Double.NEGATIVE_INFINITY;

        double newestSentAtSeconds = Double.NEGATIVE_INFINITY;
        long incarnation;
        long acknowledgedSequenceNumber;
    }

    private final Map<String, PeerProgress> peers = new HashMap<>();
    private double jobsReadAtSeconds = Double.NEGATIVE_INFINITY;

    /**
     * Starts a term in which nothing is known.
     *
     * @param otherControllers names of all other controllers, reachable or not
     */
    public CancellationWatermark(Collection<String> otherControllers) {
        otherControllers.forEach(name -> peers.put(name, new PeerProgress()));
    }

    /** All changes of jobs that were stored before this moment have been applied. */
    public void onJobsRead(double requestedAtSeconds) {
        if (requestedAtSeconds <= jobsReadAtSeconds) {
            return;
        }
        jobsReadAtSeconds = requestedAtSeconds;
        for (PeerProgress progress : peers.values()) {
            progress.knownUntilSeconds = Math.max(progress.knownUntilSeconds, requestedAtSeconds);
        }
    }

    /**
     * A controller responded to a request of this term. The cancellations in the statement must
     * have been applied before. A statement that does not cover the time since the watermark, as
     * the controller's process or its list started later, does not advance it.
     *
     * @param sentAtSeconds when the request was sent
     */
    public void onStatement(
            String peer,
            ConfirmedCancellations.Statement statement,
            double sentAtSeconds,
            double nowSeconds) {
        PeerProgress progress = peers.get(peer);
        if (progress == null) {
            return;
        }
        acknowledge(progress, statement, sentAtSeconds);
        double coveredSinceSeconds =
                nowSeconds
                        - statement.coveredSeconds()
                                * (1 - 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO);
        if (statement.complete() && coveredSinceSeconds <= progress.knownUntilSeconds) {
            progress.knownUntilSeconds = Math.max(progress.knownUntilSeconds, sentAtSeconds);
        }
    }

    private static void acknowledge(
            PeerProgress progress,
            ConfirmedCancellations.Statement statement,
            double sentAtSeconds) {
        boolean isNewest = sentAtSeconds >= progress.newestSentAtSeconds;
        if (isNewest && statement.incarnation() != progress.incarnation) {
            progress.incarnation = statement.incarnation();
            progress.acknowledgedSequenceNumber = 0;
        }
        if (statement.incarnation() == progress.incarnation) {
            progress.acknowledgedSequenceNumber =
                    Math.max(progress.acknowledgedSequenceNumber, statement.lastSequenceNumber());
        }
        progress.newestSentAtSeconds = Math.max(progress.newestSentAtSeconds, sentAtSeconds);
    }

    /** The process of a controller that responded last in this term; 0 if none did. */
    public long incarnation(String peer) {
        return peers.get(peer).incarnation;
    }

    /** Sequence number up to which the cancellations confirmed by that process are known here. */
    public long acknowledgedSequenceNumber(String peer) {
        return peers.get(peer).acknowledgedSequenceNumber;
    }

    /**
     * The watermark: all cancellations that any user was told of before this moment are known here.
     * Without other controllers that is {@code nowSeconds}.
     */
    public double knownUntilSeconds(double nowSeconds) {
        return peers.values().stream()
                .mapToDouble(progress -> progress.knownUntilSeconds)
                .min()
                .orElse(nowSeconds);
    }
}
