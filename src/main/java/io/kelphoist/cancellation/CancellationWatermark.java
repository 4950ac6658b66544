package io.kelphoist.cancellation;

import io.kelphoist.delegation.DelegationTiming;
import io.kelphoist.model.SchedulingPolicy;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The time up to which the leader of one term has received all confirmed cancellations, that is,
 * all cancellations that any controller acknowledged to a user. Leases are renewed and tasks
 * started only within {@link DelegationTiming#renewalWindowSeconds} after this time.
 *
 * <p>Two sources advance the watermark:
 *
 * <ul>
 *   <li>A completed read of the jobs. It advances the watermark to the time of the request, because
 *       a cancellation is stored before it is acknowledged to a user.
 *   <li>A {@link ConfirmedCancellations.Statement} from every other controller. Together they
 *       advance the watermark to the time when the oldest of the corresponding requests was sent.
 *       They are needed because the state store may be unavailable, or refuse only the leader's
 *       requests, for longer than the time in which a cancelled job's tasks must stop.
 * </ul>
 *
 * <p>The caller must immediately apply the cancellations that the leader confirms itself.
 *
 * <p>Owns the progress of each other controller. Performs no I/O: events and the time (the leader's
 * monotonic clock, in seconds) are passed in. Confined to the controller's event loop.
 */
public final class CancellationWatermark {
    /** The cancellations of one other controller that this leader has received. */
    private static final class PeerProgress {
        /**
         * All cancellations that the controller confirmed before this time have been received;
         * negative infinity before the first read of the jobs.
         */
        double completeUntilSeconds = Double.NEGATIVE_INFINITY;

        /** When the newest request to which the controller responded was sent. */
        double newestSentAtSeconds = Double.NEGATIVE_INFINITY;

        long incarnation;
        long acknowledgedSequenceNumber;
    }

    private final Map<String, PeerProgress> peers = new HashMap<>();
    private double jobsReadAtSeconds = Double.NEGATIVE_INFINITY;

    /**
     * Starts a term in which no cancellation has been received.
     *
     * @param otherControllers names of all other controllers, reachable or not
     */
    public CancellationWatermark(Collection<String> otherControllers) {
        otherControllers.forEach(name -> peers.put(name, new PeerProgress()));
    }

    /** All job changes that were stored before this time have been read and applied. */
    public void onJobsRead(double requestedAtSeconds) {
        if (requestedAtSeconds <= jobsReadAtSeconds) {
            return;
        }
        jobsReadAtSeconds = requestedAtSeconds;
        for (PeerProgress progress : peers.values()) {
            progress.completeUntilSeconds =
                    Math.max(progress.completeUntilSeconds, requestedAtSeconds);
        }
    }

    /**
     * A controller responded to a request of this term. The caller must have applied the
     * cancellations in the statement. The time up to which all cancellations of that controller
     * have been received advances only if the statement is complete and covers all time since then.
     * It does not cover that time if the controller's process started later, or if cancellations
     * that were confirmed later have left its list without an acknowledgement of this term's
     * leader. Statements of a controller that is not in the configuration are ignored.
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
        if (statement.complete() && coveredSinceSeconds <= progress.completeUntilSeconds) {
            progress.completeUntilSeconds = Math.max(progress.completeUntilSeconds, sentAtSeconds);
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

    /**
     * Returns the incarnation of the process of a controller that responded last in this term; 0 if
     * none did.
     */
    public long incarnation(String peer) {
        return peers.get(peer).incarnation;
    }

    /**
     * Returns the sequence number up to which the cancellations that the process {@link
     * #incarnation} of a controller confirmed have been received; 0 if none were.
     */
    public long acknowledgedSequenceNumber(String peer) {
        return peers.get(peer).acknowledgedSequenceNumber;
    }

    /**
     * Returns the watermark: all cancellations that were acknowledged to any user before this time
     * have been received. Without other controllers this is {@code nowSeconds}; with others it is
     * negative infinity until the jobs have been read.
     */
    public double watermarkSeconds(double nowSeconds) {
        return peers.values().stream()
                .mapToDouble(progress -> progress.completeUntilSeconds)
                .min()
                .orElse(nowSeconds);
    }
}
