package io.kelphoist.grpc;

import io.kelphoist.statestore.TokenBucket;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Limits the rate of each team's submissions. All unknown teams share one limit, so that a client
 * can't raise its rate by inventing team names. Confined to the event thread.
 */
final class SubmissionRateLimiter {
    private static final double BURST_SECONDS = 2;
    private static final double MIN_RETRY_DELAY_SECONDS = 0.1;

    /** The key of the limit that unknown teams share. */
    private static final String UNKNOWN_TEAMS = "";

    private final double submissionsPerSecondPerTeam;
    private final Set<String> teams;
    private final Map<String, TokenBucket> bucketByTeam = new HashMap<>();

    /**
     * Creates a limiter.
     *
     * @param teams the names of all teams
     */
    SubmissionRateLimiter(double submissionsPerSecondPerTeam, Set<String> teams) {
        this.submissionsPerSecondPerTeam = submissionsPerSecondPerTeam;
        this.teams = teams;
    }

    /**
     * Counts a submission if the team's limit allows it.
     *
     * @return empty if the limit allows it, otherwise the delay in seconds after which to retry, at
     *     least {@value #MIN_RETRY_DELAY_SECONDS} s
     */
    OptionalDouble tryAcquire(String team, double nowSeconds) {
        TokenBucket bucket =
                bucketByTeam.computeIfAbsent(
                        teams.contains(team) ? team : UNKNOWN_TEAMS,
                        key -> new TokenBucket(submissionsPerSecondPerTeam, BURST_SECONDS));
        if (bucket.tryAcquire(1, nowSeconds)) {
            return OptionalDouble.empty();
        }
        double delaySeconds = bucket.secondsUntilAvailable(1, nowSeconds);
        return OptionalDouble.of(Math.max(MIN_RETRY_DELAY_SECONDS, delaySeconds));
    }
}
