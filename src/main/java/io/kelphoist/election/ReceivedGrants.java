package io.kelphoist.election;

import io.kelphoist.model.SchedulingPolicy;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The grants that the other controllers gave to the term that this controller leads. */
final class ReceivedGrants {
    private final List<String> peers;
    private final double grantSeconds;
    private final Map<String, Double> expiresAtSeconds = new HashMap<>();

    ReceivedGrants(List<String> peers, double grantSeconds) {
        this.peers = peers;
        this.grantSeconds = grantSeconds;
    }

    /** Counts from when the grant was requested, and shorter than it is by the clocks' drift. */
    void onReceived(String peer, double sentAtSeconds) {
        expiresAtSeconds.merge(
                peer,
                sentAtSeconds
                        + grantSeconds * (1 - 2 * SchedulingPolicy.MAX_CLOCK_DRIFT_RATIO)
                        - Election.SAFETY_MARGIN_SECONDS,
                Math::max);
    }

    /** Whether the grants of all other controllers are surely valid. */
    boolean hasAll(double nowSeconds) {
        for (String peer : peers) {
            if (nowSeconds >= expiresAtSeconds.getOrDefault(peer, 0.0)) {
                return false;
            }
        }
        return true;
    }

    void clear() {
        expiresAtSeconds.clear();
    }
}
