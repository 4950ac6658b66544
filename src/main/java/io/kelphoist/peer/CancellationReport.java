package io.kelphoist.peer;

import io.kelphoist.cancellation.ConfirmedCancellations;

/**
 * The part of a {@link GrantResponse} that lists the cancellations that a controller has confirmed
 * to users.
 */
public sealed interface CancellationReport {
    /**
     * The response has no such part: the controller's version does not have it, the request did not
     * include an acknowledgement, or the controller has seen a newer term.
     */
    record Absent() implements CancellationReport {}

    /** The response has a valid statement of the confirmed cancellations. */
    record Present(ConfirmedCancellations.Statement statement) implements CancellationReport {}

    /**
     * The response has a statement, but it is malformed, so that none of it may be used.
     *
     * @param reason what is wrong with the statement, for the log
     */
    record Malformed(String reason) implements CancellationReport {}

    /** The report of a response without a statement. */
    CancellationReport ABSENT = new Absent();
}
