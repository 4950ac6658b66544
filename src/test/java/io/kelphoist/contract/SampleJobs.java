package io.kelphoist.contract;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Resources;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Sample job specs: with every optional field, with none of them, and others. */
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
                /* tasks= */ 16,
                new Resources(/* cpus= */ 8, /* gpus= */ 1, /* memoryGb= */ 64),
                types,
                "a",
                /* singleZone= */ true,
                /* spreadAcrossZones= */ false,
                /* spotAllowed= */ true,
                "img-07",
                /* imageSizeGb= */ 6.2,
                /* estimatedSeconds= */ 240,
                /* checkpointIntervalSeconds= */ 30,
                /* checkpointSaveSeconds= */ 4,
                /* deadlineSeconds= */ 900.0,
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
                /* tasks= */ 100_000,
                new Resources(/* cpus= */ 0.5, /* gpus= */ 0, /* memoryGb= */ 1.25),
                /* machineTypes= */ null,
                /* zone= */ null,
                /* singleZone= */ false,
                /* spreadAcrossZones= */ true,
                /* spotAllowed= */ false,
                "img-1",
                /* imageSizeGb= */ 0,
                /* estimatedSeconds= */ 1,
                /* checkpointIntervalSeconds= */ 0,
                /* checkpointSaveSeconds= */ 0,
                /* deadlineSeconds= */ null,
                List.of());
    }

    static JobSpec arrayOfOneTask() {
        return new JobSpec(
                "job-7",
                "batch",
                "vision",
                JobKind.ARRAY,
                Priority.NORMAL,
                /* tasks= */ 1,
                new Resources(/* cpus= */ 0.5, /* gpus= */ 0, /* memoryGb= */ 1.25),
                /* machineTypes= */ null,
                /* zone= */ null,
                /* singleZone= */ false,
                /* spreadAcrossZones= */ false,
                /* spotAllowed= */ true,
                "img-1",
                /* imageSizeGb= */ 0,
                /* estimatedSeconds= */ 1,
                /* checkpointIntervalSeconds= */ 0,
                /* checkpointSaveSeconds= */ 0,
                /* deadlineSeconds= */ null,
                List.of());
    }

    static JobSpec service(Priority priority) {
        return new JobSpec(
                "job-8",
                "serve",
                "search",
                JobKind.SERVICE,
                priority,
                /* tasks= */ 3,
                new Resources(/* cpus= */ 2, /* gpus= */ 0, /* memoryGb= */ 8),
                /* machineTypes= */ null,
                "b",
                /* singleZone= */ false,
                /* spreadAcrossZones= */ true,
                /* spotAllowed= */ false,
                "img-2",
                /* imageSizeGb= */ 1,
                /* estimatedSeconds= */ 0,
                /* checkpointIntervalSeconds= */ 0,
                /* checkpointSaveSeconds= */ 0,
                /* deadlineSeconds= */ null,
                List.of());
    }
}
