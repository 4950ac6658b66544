package io.kelphoist.grpc;

import com.google.common.collect.ImmutableSortedSet;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.kelphoist.config.TeamAccess;
import io.kelphoist.events.Cursor;
import io.kelphoist.events.CursorSigner;
import io.kelphoist.events.SubscriptionFilter;
import io.kelphoist.grpc.v1.WatchRequest;
import java.util.Optional;
import java.util.Set;

/** Validates watch requests. Errors are thrown as the statuses that the client receives. */
final class WatchRequestParser {
    private static final int MAX_NAMED_JOBS = 1000;

    private WatchRequestParser() {}

    /**
     * Returns the filter that a request selects, restricted to the teams that the client may watch.
     * Whether the client may watch jobs that the request names is checked later, when their owners
     * have been read, see {@link NamedJobsReader}.
     *
     * @throws StatusRuntimeException if the request is malformed, or the client may not watch the
     *     selected team
     */
    static SubscriptionFilter parseFilter(WatchRequest request, ClientAuthorizer.Client client) {
        return request.getJobsCount() > 0
                ? parseNamedJobs(request)
                : new SubscriptionFilter.ByOwner(
                        selectTeams(request, client).map(ImmutableSortedSet::copyOf).orElse(null),
                        request.getJobClass().isEmpty() ? null : request.getJobClass());
    }

    private static SubscriptionFilter parseNamedJobs(WatchRequest request) {
        if (request.getJobsCount() > MAX_NAMED_JOBS) {
            throw invalidArgument(MAX_NAMED_JOBS + " jobs at most");
        }
        if (!request.getTeam().isEmpty() || !request.getJobClass().isEmpty()) {
            throw invalidArgument("either jobs, or a team and a class");
        }
        return new SubscriptionFilter.ByJobIds(ImmutableSortedSet.copyOf(request.getJobsList()));
    }

    /** Returns the teams to watch, empty for all teams. */
    private static Optional<Set<String>> selectTeams(
            WatchRequest request, ClientAuthorizer.Client client) {
        if (!request.getTeam().isEmpty()) {
            if (!client.isAllowed(request.getTeam())) {
                throw GrpcStatuses.permissionDenied(client, "watch " + request.getTeam());
            }
            return Optional.of(Set.of(request.getTeam()));
        }
        if (client.hasNoTeam()) {
            throw GrpcStatuses.permissionDenied(client, "watch anything");
        }
        return client.access() instanceof TeamAccess.NamedTeams named
                ? Optional.of(named.teams())
                : Optional.empty();
    }

    /**
     * Returns the cursor to resume from, empty if the request has none.
     *
     * @throws StatusRuntimeException if the cursor was not issued by this deployment for this
     *     filter
     */
    static Optional<Cursor> parseCursor(
            WatchRequest request, SubscriptionFilter filter, CursorSigner cursorSigner) {
        if (request.getCursor().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(cursorSigner.decode(request.getCursor().toByteArray(), filter));
        } catch (CursorSigner.InvalidCursorException e) {
            throw invalidArgument(e.getMessage());
        }
    }

    private static StatusRuntimeException invalidArgument(String description) {
        return Status.INVALID_ARGUMENT.withDescription(description).asRuntimeException();
    }
}
