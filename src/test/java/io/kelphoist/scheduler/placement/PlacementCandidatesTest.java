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
                new MachineType("large", new Resources(24, 4, 96), 20, 0.5, 8, 3, 25, ZONES);
        private final MachineType small =
                new MachineType("small", new Resources(8, 1, 32), 8, 1.0, 3, 1, 25, ZONES);
        private final ImageLocations<Machine> imageLocations = new ImageLocations<>();
        private final NameIndex zones = new NameIndex();
        private final List<Machine> machines = new ArrayList<>();
        private final List<Job> jobs = new ArrayList<>();
        private final TeamUsage team =
                new TeamUsage(
                        new Team("t", new Resources(1e6, 1e6, 1e6), new Resources(1e6, 1e6, 1e6)));
        private long version;

        private Job addJob(Random random, int image) {
            JobKind kind = List.of(JobKind.values()).get(random.nextInt(3));
            Resources resources =
                    random.nextInt(3) == 0
                            ? new Resources(21, 4, 77)
                            : new Resources(4 + random.nextInt(2), 1, 14);
            JobSpec spec =
                    new JobSpec(
                            "job-" + jobs.size(),
                            "c",
                            "t",
                            kind,
                            List.of(Priority.values()).get(random.nextInt(4)),
                            1 + random.nextInt(6),
                            resources,
                            null,
                            random.nextInt(8) == 0 ? "b" : null,
                            random.nextInt(3) == 0,
                            kind != JobKind.GANG && random.nextBoolean(),
                            random.nextBoolean(),
                            "img-" + image,
                            1 + image,
                            60,
                            15,
                            3,
                            null,
                            List.of());
            Job job =
                    new Job(
                            new JobRecord(spec.id(), spec, JobStatus.ACTIVE, 0, ++version),
                            team,
                            image,
                            zones,
                            0,
                            0);
            job.transitionTo(Job.State.ACTIVE);
            jobs.add(job);
            return job;
        }

        private TaskAttempt place(Job job, int task, Machine machine) {
            TaskAttempt attempt = new TaskAttempt(job, task, ++version, machine, 1, 0);
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
                                        random.nextInt(3),
                                        random.nextBoolean()),
                                null,
                                Machine.State.UP,
                                0);
                machine.images().setLocations(imageLocations);
                machines.add(machine);
                for (int image = random.nextInt(4); image > 0; image--) {
                    machine.images().recordUse(random.nextInt(5), 1 + image, number -> 1 + number);
                }
            }
            for (int i = random.nextInt(30); i > 0; i--) {
                Job otherJob = addJob(random, random.nextInt(6));
                Machine machine = machines.get(random.nextInt(machineCount));
                if (otherJob.spec().resourcesPerTask().fitsIn(machine.free())) {
                    TaskAttempt attempt = place(otherJob, 0, machine);
                    attempt.transitionTo(
                            List.of(TaskAttempt.State.values()).get(random.nextInt(6)),
                            ExitReason.ERROR,
                            0);
                    if (attempt.state() == TaskAttempt.State.EXITED) {
                        machine.resources().deallocate(otherJob.spec().resourcesPerTask());
                    }
                }
            }
            holdRandomMachines(random);
        }

        private void holdRandomMachines(Random random) {
            for (int i = random.nextInt(4); i > 0; i--) {
                Machine heldMachine = machines.get(random.nextInt(machines.size()));
                Job holder =
                        jobs.isEmpty() ? addJob(random, 0) : jobs.get(random.nextInt(jobs.size()));
                heldMachine.hold().addTask(holder, random.nextInt(3));
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
                new PlacementCandidates(cluster.machines, cluster.imageLocations, 1);
        ResourceOffer offer = new ResourceOffer(candidates, 1);
        List<Job> waiting = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            waiting.add(cluster.addJob(random, random.nextInt(6)));
        }
        for (int step = 0; step < 25; step++) {
            Job job = waiting.get(random.nextInt(5));
            int task = job.tasks().attemptCount();
            int zone = random.nextInt(4) - 1;
            assertEquals(
                    cluster.placeGangByFullSearch(offer, job, zone),
                    candidates.placeGang(offer, job, zone));
            Machine best = cluster.findBestByFullSearch(offer, job);
            assertSame(best, candidates.findBest(offer, job));
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
