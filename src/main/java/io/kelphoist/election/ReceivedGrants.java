package io.kelphoist.election;

import io.kelphoist.model.SchedulingPolicy;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The grants that this leader received from the other controllers for its current term. Times are
 * in seconds of this leader's monotonic clock.
 */
final class ReceivedGrants {
    private final List<String> peers;
    private final double grantSeconds;
    private final Map<String, Double> expiresAtSeconds = new HashMap<>();

    ReceivedGrants(List<String> peers, double grantSeconds) {
        this.peers = peers;
        this.grantSeconds = grantSeconds;
    }

    /**
     * Records a grant. Its duration is measured from the time of the request and shortened by the
     * maximum clock drift and a margin, so that it expires here before it expires at the peer. Of
     * several grants of a peer the one that expires last is valid.
     */
    void onReceived(String peer, double sentAtSeconds) {
        expiresAtSeconds.merge(
                peer,
                sentAtSeconds
                        + grantSeconds * (1 - 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO)
                        - Election.SAFETY_MARGIN_SECONDS,
                Math::max);
    }

    /**
     * Whether a grant of every other controller is valid, even at the maximum clock drift; always
     * true if there is no other controller.
     */
    boolean areAllValid(double nowSeconds) {
        for (String peer : peers) {
            if (nowSeconds >= expiresAtSeconds.getOrDefault(peer, 0.0)) {
                return false;
            }
        }
        return true;
    }

    /** Discards all grants, because the term has ended. */
    void clear() {
        expiresAtSeconds.clear();
    }
}
