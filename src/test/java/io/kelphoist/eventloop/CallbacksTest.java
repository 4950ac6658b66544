package io.kelphoist.eventloop;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a callback that throws and thereby keeps others from being called. */
class CallbacksTest {
    @Test
    void eachElementIsHandledAndTheFirstThrowableIsThrown() {
        List<Integer> handled = new ArrayList<>();
        Error first = new StackOverflowError();
        RuntimeException second = new IllegalStateException();
        Error thrown =
                assertThrows(
                        Error.class,
                        () ->
                                Callbacks.forEach(
                                        List.of(1, 2, 3, 4),
                                        element -> {
                                            handled.add(element);
                                            if (element == 2) {
                                                throw first;
                                            }
                                            if (element == 3) {
                                                throw second;
                                            }
                                        }));
        assertEquals(List.of(1, 2, 3, 4), handled);
        assertSame(first, thrown);
        assertArrayEquals(new Throwable[] {second}, thrown.getSuppressed());
    }

    @Test
    void sameThrowableMayBeThrownTwice() {
        RuntimeException repeated = new IllegalStateException();
        RuntimeException thrown =
                assertThrows(
                        RuntimeException.class,
                        () ->
                                Callbacks.forEach(
                                        List.of(1, 2),
                                        element -> {
                                            throw repeated;
                                        }));
        assertSame(repeated, thrown);
    }
}
