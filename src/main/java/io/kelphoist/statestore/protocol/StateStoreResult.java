package io.kelphoist.statestore.protocol;

import java.util.List;

/**
 * Outcome of one request to the state store.
 *
 * <p>The variants differ in what the caller may assume about the effect of the request: {@link
 * Success} and {@link Rejected} are answers of the store, {@link NotExecuted} guarantees that the
 * request has no effect now or later, and {@link OutcomeUnknown} leaves both possible.
 *
 * @param <T> what a successful request returns
 */
public sealed interface StateStoreResult<T> {
    /** Why the store answered a request without executing it as asked. */
    enum Reason {
        /** The key or the lease does not exist. */
        NOT_FOUND,
        /** At least one condition of a transaction does not hold. */
        CONDITION_FAILED,
        /** The store has discarded the changes that were asked for; read a snapshot instead. */
        COMPACTED,
        /** The request is malformed or exceeds a limit; it can never succeed unchanged. */
        INVALID
    }

    /** Why a request was not executed. */
    enum NotExecutedCause {
        /** A rate limit, of the store or of this client. */
        RATE_LIMITED,
        /** The store is unavailable. */
        STORE_UNAVAILABLE
    }

    /** The store executed the request. */
    record Success<T>(T value) implements StateStoreResult<T> {}

    /**
     * The store answered the request but did not execute it as asked.
     *
     * @param failedKeys keys whose condition failed; empty if the store named none
     * @param message the store's explanation; may be empty
     */
    record Rejected<T>(Reason reason, List<String> failedKeys, String message)
            implements StateStoreResult<T> {}

    /**
     * The request was certainly not executed and never will be.
     *
     * @param cause what prevented it
     */
    record NotExecuted<T>(NotExecutedCause cause) implements StateStoreResult<T> {}

    /** No usable answer: the request may have been executed, or may be executed later. */
    record OutcomeUnknown<T>() implements StateStoreResult<T> {}

    /** Returns whether the store rejected the request for this reason. */
    default boolean isRejectedFor(Reason reason) {
        return this instanceof Rejected<T> rejected && rejected.reason() == reason;
    }

    /** Returns whether the store answered the request, with a success or a rejection. */
    default boolean isProcessed() {
        return this instanceof Success<T> || this instanceof Rejected<T>;
    }
}
