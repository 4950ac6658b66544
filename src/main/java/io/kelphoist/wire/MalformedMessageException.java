package io.kelphoist.wire;

/**
 * Thrown if a received message or a stored value does not follow its protocol. Has no stack trace,
 * since the fault is the sender's.
 *
 * <p>The exception's message may be sent back to the sender.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception.
     *
     * @param reason description of the error, which begins with the field's name if a field of a
     *     submission is missing or invalid
     */
    public MalformedMessageException(String reason) {
        super(
                reason,
                /* cause= */ null,
                /* enableSuppression= */ false,
                /* writableStackTrace= */ false);
    }
}
