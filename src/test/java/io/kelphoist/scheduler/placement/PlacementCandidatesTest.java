package io.kelphoist.scheduler.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.model.ExitReason;
import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.NameIndex;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Resources;
import io.kelphoist.model.Team;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineIdentity;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.cluster.TeamUsage;
import io.kelphoist.scheduler.images.ImageLocations;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;

/**
 * Guards against choosing another machine than a search over all machines would. {@link
 * PlacementCandidates} evaluates equivalent machines only once and, between two tasks of a job,
 * only the machines that changed. If an attribute is missing in the equivalence, or a change does
 * not update the ranking, it chooses a machine that is not the cheapest or not allowed.
 */
class PlacementCandidatesTest {
    private static final List<String> ZONES = List.of("a", "b", "c");

    /** Machines with random types, cached images, attempts and holds. */
    private static final class RandomCluster {
        private final MachineType large =
                new MachineType(
                        "large",
                        new Resources(/* cpus= */ 24, /* gpus= */ 4, /* memoryGb= */ 96),
                        /* cacheGb= */ 20,
                        /* fetchGbPerSecond= */ 0.5,
                        /* price= */ 8,
                        /* spotPrice= */ 3,
                        /* bootSeconds= */ 25,
                        ZONES);
        private final MachineType small =
                new MachineType(
                        "small",
                        new Resources(/* cpus= */ 8, /* gpus= */ 1, /* memoryGb= */ 32),
                        /* cacheGb= */ 8,
                        /* fetchGbPerSecond= */ 1.0,
                        /* price= */ 3,
                        /* spotPrice= */ 1,
                        /* bootSeconds= */ 25,
                        ZONES);
        private final ImageLocations<Machine> imageLocations = new ImageLocations<>();
        private final NameIndex zones = new NameIndex();
        private final List<Machine> machines = new ArrayList<>();
        private final List<Job> jobs = new ArrayList<>();
        private final TeamUsage team =
                new TeamUsage(
                        new Team(
                                "t",
                                /* guarantee= */ new Resources(1e6, 1e6, 1e6),
                                /* limit= */ new Resources(1e6, 1e6, 1e6)));

        /**
         * The last number that was assigned to a record as its version or to an attempt as its id.
         */
        private long lastNumber;

        private JobSpec randomSpec(Random random, int image) {
            JobKind kind = List.of(JobKind.values()).get(random.nextInt(3));
            Resources resources =
                    random.nextInt(3) == 0
                            ? new Resources(/* cpus= */ 21, /* gpus= */ 4, /* memoryGb= */ 77)
                            : new Resources(
                                    /* cpus= */ 4 + random.nextInt(2),
                                    /* gpus= */ 1,
                                    /* memoryGb= */ 14);
            return new JobSpec(
                    "job-" + jobs.size(),
                    /* jobClass= */ "c",
                    /* team= */ "t",
                    kind,
                    List.of(Priority.values()).get(random.nextInt(4)),
                    /* tasks= */ 1 + random.nextInt(6),
                    resources,
                    /* machineTypes= */ null,
                    /* zone= */ random.nextInt(8) == 0 ? "b" : null,
                    /* singleZone= */ random.nextInt(3) == 0,
                    /* spreadAcrossZones= */ kind != JobKind.GANG && random.nextBoolean(),
                    /* spotAllowed= */ random.nextBoolean(),
                    "img-" + image,
                    /* imageSizeGb= */ 1 + image,
                    /* estimatedSeconds= */ 60,
                    /* checkpointIntervalSeconds= */ 15,
                    /* checkpointSaveSeconds= */ 3,
                    /* deadlineSeconds= */ null,
                    /* dependencies= */ List.of());
        }

        private Job addJob(Random random, int image) {
            JobSpec spec = randomSpec(random, image);
            Job job =
                    new Job(
                            new JobRecord(
                                    spec.id(),
                                    spec,
                                    JobStatus.ACTIVE,
                                    /* timestampMillis= */ 0,
                                    /* version= */ ++lastNumber),
                            team,
                            image,
                            zones,
                            /* acceptedAtSeconds= */ 0,
                            /* nowSeconds= */ 0);
            job.transitionTo(Job.State.ACTIVE);
            jobs.add(job);
            return job;
        }

        private TaskAttempt place(Job job, int task, Machine machine) {
            TaskAttempt attempt =
                    new TaskAttempt(
                            job,
                            task,
                            /* attemptId= */ ++lastNumber,
                            machine,
                            /* agentEpoch= */ 1,
                            /* nowSeconds= */ 0);
            machine.addAttempt(attempt);
            machine.resources().allocate(job.spec().resourcesPerTask());
            job.addAttempt(attempt);
            return attempt;
        }

        RandomCluster(Random random) {
            ZONES.forEach(zones::getOrAssign);
            int machineCount = 1 + random.nextInt(60);
            for (int i = 0; i < machineCount; i++) {
                Machine machine =
                        new Machine(
                                new MachineIdentity(
                                        "vm-" + i,
                                        random.nextInt(4) == 0 ? small : large,
                                        /* zone= */ random.nextInt(3),
                                        /* spot= */ random.nextBoolean()),
                                /* address= */ null,
                                Machine.State.UP,
                                /* launchedAtSeconds= */ 0);
                machine.images().setLocations(imageLocations);
                machines.add(machine);
                cacheRandomImages(random, machine);
            }
            for (int i = random.nextInt(30); i > 0; i--) {
                Job otherJob = addJob(random, random.nextInt(6));
                Machine machine = machines.get(random.nextInt(machineCount));
                if (otherJob.spec().resourcesPerTask().fitsIn(machine.free())) {
                    TaskAttempt attempt = place(otherJob, /* task= */ 0, machine);
                    attempt.transitionTo(
                            // Any state except REMOVED, which is the last of them.
                            List.of(TaskAttempt.State.values()).get(random.nextInt(6)),
                            ExitReason.ERROR,
                            /* nowSeconds= */ 0);
                    if (attempt.state() == TaskAttempt.State.EXITED) {
                        machine.resources().deallocate(otherJob.spec().resourcesPerTask());
                    }
                }
            }
            holdRandomMachines(random);
        }

        private static void cacheRandomImages(Random random, Machine machine) {
            for (int image = random.nextInt(4); image > 0; image--) {
                machine.images()
                        .recordUse(
                                random.nextInt(5),
                                /* sizeGb= */ 1 + image,
                                imageIndex -> 1 + imageIndex);
            }
        }

        private void holdRandomMachines(Random random) {
            for (int i = random.nextInt(4); i > 0; i--) {
                Machine heldMachine = machines.get(random.nextInt(machines.size()));
                Job holder =
                        jobs.isEmpty() ? addJob(random, 0) : jobs.get(random.nextInt(jobs.size()));
                // The test runs at 1 s, so that some holds have expired.
                heldMachine.hold().addTask(holder, /* newExpiresAtSeconds= */ random.nextInt(3));
            }
        }

        private Machine findBestByFullSearch(ResourceOffer offer, Job job) {
            Machine best = null;
            for (Machine machine : machines) {
                if (offer.allows(job, machine)
                        && (best == null
                                || PlacementScorer.cost(job, machine)
                                        < PlacementScorer.cost(job, best))) {
                    best = machine;
                }
            }
            return best;
        }

        private List<Machine> placeGangByFullSearch(ResourceOffer offer, Job job, int zone) {
            GangPlacement placement = new GangPlacement(job);
            machines.stream()
                    .filter(
                            machine ->
                                    (zone < 0 || machine.zone() == zone)
                                            && offer.allows(job, machine))
                    .sorted(
                            Comparator.comparingDouble(
                                    machine -> PlacementScorer.cost(job, machine)))
                    .forEach(placement::fill);
            return placement.taskMachines();
        }
    }

    @Property(tries = 1500, seed = "20261202")
    void choosesTheSameMachinesAsAFullSearch(@ForAll long seed) {
        Random random = new Random(seed);
        RandomCluster cluster = new RandomCluster(random);
        PlacementCandidates candidates =
                new PlacementCandidates(
                        cluster.machines, cluster.imageLocations, /* nowSeconds= */ 1);
        ResourceOffer offer = new ResourceOffer(candidates, /* nowSeconds= */ 1);
        List<Job> waiting = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            waiting.add(cluster.addJob(random, random.nextInt(6)));
        }
        for (int step = 0; step < 25; step++) {
            Job job = waiting.get(random.nextInt(5));
            int task = job.tasks().attemptCount();
            // GangPlacement.ANY_ZONE, which is -1, or the index of a zone.
            int zone = random.nextInt(4) - 1;
            assertEquals(
                    cluster.placeGangByFullSearch(offer, job, zone),
                    candidates.placeGang(offer, job, zone),
                    () -> "machines of the tasks of " + job.spec() + " as a gang, zone " + zone);
            Machine best = cluster.findBestByFullSearch(offer, job);
            assertSame(
                    best,
                    candidates.findBest(offer, job),
                    () -> "machine of one more task of " + job.spec());
            if (best != null && task < job.spec().tasks()) {
                cluster.place(job, task, best);
                candidates.onMachineChanged(best);
                chosenMachines++;
            }
        }
    }

    private static int chosenMachines;

    /** Without this check, the property would also pass if no task ever fitted on a machine. */
    @AfterContainer
    static void checksThatManyMachinesWereChosen() {
        assertTrue(
                chosenMachines > 5_000,
                chosenMachines + " machines were chosen, expected more than 5,000");
    }
}
