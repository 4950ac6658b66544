package io.kelphoist.contract;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Resources;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Sample job specs, with every optional field and with none of them. */
final class SampleJobs {
    private SampleJobs() {}

    /** A gang with every optional field. */
    static JobSpec gangWithEveryField() {
        Set<String> types = new LinkedHashSet<>(List.of("g8", "g4"));
        return new JobSpec(
                "job-000412",
                "train",
                "vision",
                JobKind.GANG,
                Priority.HIGH,
                16,
                new Resources(8, 1, 64),
                types,
                "a",
                true,
                false,
                true,
                "img-07",
                6.2,
                240,
                30,
                4,
                900.0,
                List.of("job-000398", "job-000399"));
    }

    /** An array with no optional field. */
    static JobSpec arrayWithoutOptionalFields() {
        return new JobSpec(
                "job-7",
                "batch",
                "speech",
                JobKind.ARRAY,
                Priority.LOW,
                100_000,
                new Resources(0.5, 0, 1.25),
                null,
                null,
                false,
                true,
                false,
                "img-1",
                0,
                1,
                0,
                0,
                null,
                List.of());
    }

    static JobSpec arrayOfOneTask() {
        return new JobSpec(
                "job-7",
                "batch",
                "vision",
                JobKind.ARRAY,
                Priority.NORMAL,
                1,
                new Resources(0.5, 0, 1.25),
                null,
                null,
                false,
                false,
                true,
                "img-1",
                0,
                1,
                0,
                0,
                null,
                List.of());
    }

    static JobSpec service(Priority priority) {
        return new JobSpec(
                "job-8",
                "serve",
                "search",
                JobKind.SERVICE,
                priority,
                3,
                new Resources(2, 0, 8),
                null,
                "b",
                false,
                true,
                false,
                "img-2",
                1,
                0,
                0,
                0,
                null,
                List.of());
    }
}
