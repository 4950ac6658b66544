package io.kelphoist.scheduler;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.NameIndex;
import io.kelphoist.model.Resources;
import io.kelphoist.model.Team;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineIdentity;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.cluster.TeamUsage;
import java.util.List;

/** Creates machines and task attempts on them, for tests in other packages. */
public final class TaskAttemptFixture {
    private static final MachineType MACHINE_TYPE =
            new MachineType(
                    "g8",
                    new Resources(/* cpus= */ 96, /* gpus= */ 8, /* memoryGb= */ 768),
                    /* cacheGb= */ 200,
                    /* fetchGbPerSecond= */ 1,
                    /* price= */ 12,
                    /* spotPrice= */ 4.5,
                    /* bootSeconds= */ 45,
                    List.of("a", "b"));

    private TaskAttemptFixture() {}

    public static Machine createMachine(String name, int zone, boolean spot) {
        return new Machine(
                new MachineIdentity(name, MACHINE_TYPE, zone, spot),
                "10.0.0.1:9000",
                Machine.State.UP,
                /* nowSeconds= */ 0);
    }

    public static TaskAttempt createAttempt(JobSpec spec, int taskIndex, Machine machine) {
        NameIndex zones = new NameIndex();
        zones.getOrAssign("a");
        zones.getOrAssign("b");
        JobRecord record =
                new JobRecord(
                        spec.id(),
                        spec,
                        JobStatus.ACTIVE,
                        /* timestampMillis= */ 1,
                        /* version= */ 1);
        TeamUsage team = new TeamUsage(new Team(spec.team(), Resources.NONE, Resources.NONE));
        return new TaskAttempt(
                new Job(
                        record,
                        team,
                        /* imageIndex= */ 0,
                        zones,
                        /* acceptedAtSeconds= */ 0,
                        /* nowSeconds= */ 0),
                taskIndex,
                /* attemptId= */ 1,
                machine,
                /* agentEpoch= */ 1,
                /* nowSeconds= */ 0);
    }
}
