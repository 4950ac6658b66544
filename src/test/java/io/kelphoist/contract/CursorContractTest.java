package io.kelphoist.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableSortedSet;
import io.kelphoist.events.Cursor;
import io.kelphoist.events.CursorSigner;
import io.kelphoist.events.LogPosition;
import io.kelphoist.events.SubscriptionFilter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The encoding of cursors with fixed keys. Guards against a change after which controllers can't
 * read the cursors that clients keep while controllers are upgraded to another version.
 */
class CursorContractTest {
    private static final CursorSigner.Key FIRST_KEY =
            new CursorSigner.Key(
                    7, "the first secret of 28 bytes".getBytes(StandardCharsets.UTF_8));
    private static final CursorSigner.Key SECOND_KEY =
            new CursorSigner.Key(
                    200, "the other secret of 28 bytes".getBytes(StandardCharsets.UTF_8));

    static Stream<Arguments> cursors() {
        SubscriptionFilter named =
                new SubscriptionFilter.ByJobIds(ImmutableSortedSet.of("job-7", "job-000412"));
        SubscriptionFilter allJobs =
                new SubscriptionFilter.ByOwner(/* teams= */ null, /* jobClass= */ null);
        SubscriptionFilter ofClass = new SubscriptionFilter.ByOwner(/* teams= */ null, "train");
        SubscriptionFilter ofTeams =
                new SubscriptionFilter.ByOwner(ImmutableSortedSet.of("vision", "speech"), "train");
        return Stream.of(
                Arguments.of("cursor/named-jobs", named, new LogPosition(412, "job-000412")),
                Arguments.of("cursor/all-jobs", allJobs, LogPosition.START),
                Arguments.of(
                        "cursor/jobs-of-class", ofClass, new LogPosition(Long.MAX_VALUE, "job-7")),
                Arguments.of("cursor/jobs-of-teams", ofTeams, LogPosition.endOf(431)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cursors")
    void cursorIsEncodedToTheSameBytesAndDecoded(
            String name, SubscriptionFilter filter, LogPosition position)
            throws CursorSigner.InvalidCursorException {
        // given
        Cursor cursor = new Cursor(filter.fingerprint(), /* startRevision= */ 400, position);
        // when
        byte[] encoded = new CursorSigner(List.of(FIRST_KEY, SECOND_KEY)).encode(cursor);
        // then
        GoldenFiles.assertSameText(name + ".hex", GoldenFiles.hex(encoded));
        assertEquals(
                cursor,
                new CursorSigner(List.of(SECOND_KEY, FIRST_KEY))
                        .decode(GoldenFiles.bytes(name), filter));
    }

    @Test
    void cursorSignedWithTheSecondKeyIsEncodedToTheSameBytes() {
        SubscriptionFilter filter =
                new SubscriptionFilter.ByOwner(/* teams= */ null, /* jobClass= */ null);
        Cursor cursor =
                new Cursor(
                        filter.fingerprint(), /* startRevision= */ 0, new LogPosition(1, "job-1"));
        GoldenFiles.assertSameText(
                "cursor/second-key.hex",
                GoldenFiles.hex(new CursorSigner(List.of(SECOND_KEY, FIRST_KEY)).encode(cursor)));
    }
}
