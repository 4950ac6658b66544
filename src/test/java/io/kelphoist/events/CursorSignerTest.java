package io.kelphoist.events;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Cursors stay valid while keys are rotated. Guards against accepting altered or truncated cursors,
 * and cursors that were issued for another filter, which would resume a stream at a wrong position.
 */
class CursorSignerTest {
    private static final SubscriptionFilter ONE_JOB =
            new SubscriptionFilter.ByJobIds(ImmutableSortedSet.of("job-1"));
    private static final Cursor CURSOR =
            new Cursor(ONE_JOB.fingerprint(), 5, new LogPosition(77, "job-1"));

    static CursorSigner signer(int... keyIds) {
        return new CursorSigner(
                Arrays.stream(keyIds)
                        .mapToObj(id -> new CursorSigner.Key(id, new byte[] {(byte) id, 2, 3, 4}))
                        .toList());
    }

    @Test
    void decodesAnEncodedCursor() throws CursorSigner.InvalidCursorException {
        assertEquals(CURSOR, signer(1).decode(signer(1).encode(CURSOR), ONE_JOB));
        int length = signer(1).encode(CURSOR).length;
        assertTrue(length < 64, () -> "expected a cursor of fewer than 64 bytes, found " + length);
    }

    @Test
    void acceptsTheOldKeyUntilItIsRemoved() throws CursorSigner.InvalidCursorException {
        assertEquals(CURSOR, signer(2, 1).decode(signer(1).encode(CURSOR), ONE_JOB));
        byte[] signedWithOldKey = signer(1).encode(CURSOR);
        assertThrows(
                CursorSigner.InvalidCursorException.class,
                () -> signer(3, 2).decode(signedWithOldKey, ONE_JOB));
    }

    @Test
    void rejectsAlteredCursorsAndThoseOfOtherFilters() {
        byte[] valid = signer(1).encode(CURSOR);
        for (int i = 0; i < valid.length; i++) {
            byte[] altered = valid.clone();
            altered[i] ^= 1;
            assertThrows(
                    CursorSigner.InvalidCursorException.class,
                    () -> signer(1).decode(altered, ONE_JOB),
                    "expected rejection of a cursor with altered byte " + i);
            byte[] truncated = Arrays.copyOf(valid, i);
            assertThrows(
                    CursorSigner.InvalidCursorException.class,
                    () -> signer(1).decode(truncated, ONE_JOB),
                    "expected rejection of a cursor truncated to bytes=" + i);
        }
        assertThrows(
                CursorSigner.InvalidCursorException.class,
                () ->
                        signer(1)
                                .decode(
                                        valid,
                                        new SubscriptionFilter.ByJobIds(
                                                ImmutableSortedSet.of("job-2"))));
        assertThrows(
                CursorSigner.InvalidCursorException.class,
                () ->
                        signer(1)
                                .decode(
                                        valid,
                                        new SubscriptionFilter.ByOwner(
                                                /* teams= */ null, /* jobClass= */ null)));
        assertThrows(
                CursorSigner.InvalidCursorException.class,
                () -> signer(1).decode(new byte[300], ONE_JOB),
                "expected rejection of a cursor of 300 bytes, more than a valid one can have");
    }
}
