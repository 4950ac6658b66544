package io.kelphoist.admission;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.Resources;
import io.kelphoist.model.Team;
import io.kelphoist.statestore.GroupCommitter;
import io.kelphoist.statestore.StateStoreReader;
import io.kelphoist.statestore.StateStoreWriter;
import java.util.List;
import java.util.function.Consumer;

/** Admission of one controller for tests: one team, one zone, and one machine type with room. */
final class AdmissionFixtures {
    private static final Team TEAM =
            new Team("t", new Resources(1e6, 4, 1e6), /* limit= */ new Resources(1e6, 8, 1e6));
    private static final MachineType TYPE =
            new MachineType("m", new Resources(8, 2, 64), 50, 1, 8, 3, 25, List.of("a"));
    private static final int MAX_VALUE_KILOBYTES = 4;
    private static final double MUTATIONS_PER_SECOND = 1e6;
    private static final int MAX_MUTATIONS = 48;

    private AdmissionFixtures() {}

    /** Returns admission with a group committer of its own. */
    static Admission create(
            StateStoreReader reader,
            StateStoreWriter writer,
            EventLoop loop,
            double cancellationTimeoutSeconds,
            Consumer<JobRecord> beforeResponse) {
        GroupCommitter committer =
                new GroupCommitter(writer, loop, MUTATIONS_PER_SECOND, MAX_MUTATIONS);
        return Admission.create(
                new Admission.StoreAccess(reader, committer::submit),
                loop,
                /* wallClockMillis= */ () -> 1,
                new FixedMachineTypes(List.of(TYPE)),
                new AdmissionSettings(
                        List.of(TEAM),
                        /* zones= */ List.of("a"),
                        MAX_VALUE_KILOBYTES,
                        cancellationTimeoutSeconds),
                beforeResponse);
    }
}
