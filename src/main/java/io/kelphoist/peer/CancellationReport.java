package io.kelphoist.peer;

import io.kelphoist.cancellation.ConfirmedCancellations;

/** The part of a {@link GrantResponse} about cancellations that a controller has confirmed. */
public sealed interface CancellationReport {
    /**
     * The response has no such part: the controller's version does not know it, it was not asked
     * for, or the controller knows a newer term.
     */
    record Absent() implements CancellationReport {}

    /** The controller states which cancellations it has confirmed. */
    record Present(ConfirmedCancellations.Statement statement) implements CancellationReport {}

    /** There is a statement, but it is malformed: none of it may be used. */
    record Malformed(String reason) implements CancellationReport {}

    /** A response without a statement. */
    CancellationReport ABSENT = new Absent();
}
