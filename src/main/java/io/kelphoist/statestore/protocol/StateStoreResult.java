package io.kelphoist.statestore.protocol;

import java.util.List;

/**
 * The outcome of one request to the state store.
 *
 * <p>The variants differ in what the caller may assume about the effect of the request: after
 * {@link Success} and {@link Rejected} the store has processed the request; {@link NotExecuted}
 * guarantees that the request has no effect now or later; after {@link OutcomeUnknown} the request
 * may or may not have an effect, now or later.
 *
 * @param <T> type of the value that a successful request returns
 */
public sealed interface StateStoreResult<T> {
    /** Why the store rejected a request. */
    enum Reason {
        /** The key or the lease does not exist. */
        NOT_FOUND,
        /** At least one condition of a transaction does not hold. */
        CONDITION_FAILED,
        /**
         * The store has compacted some of the requested changes; the caller must read a snapshot.
         */
        COMPACTED,
        /**
         * The request is malformed or exceeds a limit other than the rate limit; repeating it
         * unchanged would fail again.
         */
        INVALID
    }

    /** Why a request was not executed. */
    enum NotExecutedCause {
        /** A rate limit of the store or of this client was exceeded. */
        RATE_LIMITED,
        /** The request could not be sent, or the store responded that it is unavailable. */
        STORE_UNAVAILABLE
    }

    /** The store executed the request. */
    record Success<T>(T value) implements StateStoreResult<T> {}

    /**
     * The store processed the request but did not execute it.
     *
     * @param failedKeys keys whose condition does not hold; empty if the store named none
     * @param message the store's error message; may be empty
     */
    record Rejected<T>(Reason reason, List<String> failedKeys, String message)
            implements StateStoreResult<T> {}

    /**
     * The request was not executed and will not be executed later.
     *
     * @param cause why it was not executed
     */
    record NotExecuted<T>(NotExecutedCause cause) implements StateStoreResult<T> {}

    /**
     * No usable response was received: the request may have been executed, or may be executed
     * later.
     */
    record OutcomeUnknown<T>() implements StateStoreResult<T> {}

    /** Returns whether the store rejected the request for this reason. */
    default boolean isRejectedFor(Reason reason) {
        return this instanceof Rejected<T> rejected && rejected.reason() == reason;
    }

    /** Returns whether the store processed the request, with a success or a rejection. */
    default boolean isProcessed() {
        return this instanceof Success<T> || this instanceof Rejected<T>;
    }
}
