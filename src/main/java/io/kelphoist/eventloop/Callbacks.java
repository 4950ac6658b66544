package io.kelphoist.eventloop;

import java.util.function.Consumer;

/**
 * Calls callbacks of several owners that wait for the same event. Each of them is called, whatever
 * another one throws, since an owner whose callback is never called would wait for ever.
 */
public final class Callbacks {
    private Callbacks() {}

    /**
     * Performs an action for each element, also after the action has thrown. Then throws what was
     * thrown first, with what was thrown later as suppressed, so that the event loop reports it.
     *
     * @param elements must not change during the call
     */
    public static <T> void forEach(Iterable<T> elements, Consumer<? super T> action) {
        Throwable firstThrown = null;
        for (T element : elements) {
            try {
                action.accept(element);
            } catch (RuntimeException | Error e) {
                firstThrown = withSuppressed(firstThrown, e);
            }
        }
        if (firstThrown instanceof RuntimeException exception) {
            throw exception;
        }
        if (firstThrown instanceof Error error) {
            throw error;
        }
    }

    private static Throwable withSuppressed(Throwable first, Throwable next) {
        if (first == null) {
            return next;
        }
        // A throwable can't suppress itself; callbacks may throw the same one.
        if (first != next) {
            first.addSuppressed(next);
        }
        return first;
    }
}
