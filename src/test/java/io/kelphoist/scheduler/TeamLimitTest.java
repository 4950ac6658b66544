package io.kelphoist.scheduler;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobSpecBuilder;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * A team at its limit with services, gangs and arrays. Guards against jobs of one kind that wait
 * without a bound because jobs of another kind keep taking the limit.
 */
class TeamLimitTest {
    private static final int SEEDS = 40;
    private static final int LIMIT_GPUS = 16;
    private static final int SERVICE_GPUS = 4;
    private static final int MAX_GANG_GPUS = 4;
    private static final double MAX_TASK_SECONDS = 60;
    private static final double SUBMISSION_SECONDS = 500;
    private static final int MAX_STEPS = 10_000;

    /** From docs/DESIGN.md, "Waiting at a team's limit". */
    private static final double MAX_WAIT_SECONDS = 90;

    /** Reporting an end, releasing it and sending the next start. */
    private static final double TURN_OVERHEAD_SECONDS = 3;

    private record Submission(double atSeconds, JobSpec spec) {
        int gpusPerTurn() {
            return spec.kind() == JobKind.GANG ? spec.tasks() : 1;
        }
    }

    private int overdueJobCount;

    /** Each job begins within the bound that follows from the jobs that have waited longer. */
    @Test
    void eachJobBeginsWithinTheBoundOfItsTurn() {
        for (int seed = 0; seed < SEEDS; seed++) {
            checkBounds(seed, createWorkload(new Random(seed)));
        }
        assertTrue(overdueJobCount > 100, "too few jobs were overdue: " + overdueJobCount);
    }

    private void checkBounds(int seed, List<Submission> workload) {
        TeamLimitSimulation simulation = new TeamLimitSimulation(LIMIT_GPUS);
        run(simulation, workload);
        for (Submission submission : workload) {
            Double begunAtSeconds = simulation.begunAtSeconds(submission.spec().id());
            assertNotNull(begunAtSeconds, () -> describe(seed, submission) + " never began");
            double waitSeconds = begunAtSeconds - submission.atSeconds();
            double boundSeconds = boundSeconds(submission, workload);
            assertTrue(
                    waitSeconds <= boundSeconds,
                    () ->
                            describe(seed, submission)
                                    + " waited "
                                    + waitSeconds
                                    + " s, bound "
                                    + boundSeconds);
            overdueJobCount += waitSeconds > MAX_WAIT_SECONDS ? 1 : 0;
        }
    }

    private static String describe(int seed, Submission submission) {
        return "seed " + seed + ": " + submission.spec().kind() + " " + submission.spec().id();
    }

    /**
     * Once overdue, a job follows one turn of each job that was submitted before and is waiting
     * still. All GPUs that services leave are free once within the longest run time, and a gang may
     * leave all but one of its GPUs unused while it waits for the last.
     */
    private static double boundSeconds(Submission submission, List<Submission> workload) {
        int gpusInTurn = submission.gpusPerTurn();
        for (Submission other : workload) {
            if (other.spec().kind() != JobKind.SERVICE
                    && other.atSeconds() < submission.atSeconds()) {
                gpusInTurn += other.gpusPerTurn();
            }
        }
        int gpusPerRound = LIMIT_GPUS - SERVICE_GPUS - (MAX_GANG_GPUS - 1);
        int rounds = (gpusInTurn + gpusPerRound - 1) / gpusPerRound;
        return MAX_WAIT_SECONDS + rounds * (MAX_TASK_SECONDS + TURN_OVERHEAD_SECONDS);
    }

    private static void run(TeamLimitSimulation simulation, List<Submission> workload) {
        int submitted = 0;
        for (int step = 0; step < MAX_STEPS; step++) {
            while (submitted < workload.size()
                    && workload.get(submitted).atSeconds() <= simulation.nowSeconds()) {
                simulation.submit(workload.get(submitted++).spec());
            }
            simulation.step();
        }
    }

    /** Returns jobs for two to three times what the limit can hold, by the time of submission. */
    private static List<Submission> createWorkload(Random random) {
        List<Submission> workload = new ArrayList<>();
        workload.add(
                new Submission(
                        0,
                        job(0, JobKind.SERVICE, SERVICE_GPUS, Priority.PRODUCTION)
                                .estimatedSeconds(1e9)
                                .build()));
        double atSeconds = 1;
        for (int number = 1; atSeconds < SUBMISSION_SECONDS; number++) {
            workload.add(new Submission(atSeconds, createJob(number, random)));
            atSeconds += random.nextDouble(10);
        }
        return workload;
    }

    private static JobSpec createJob(int number, Random random) {
        boolean isGang = random.nextInt(4) > 0;
        int tasks = isGang ? 2 + random.nextInt(MAX_GANG_GPUS - 1) : 1 + random.nextInt(15);

        Priority priority =
                isGang ? Priority.HIGH : random.nextBoolean() ? Priority.NORMAL : Priority.LOW;
        return job(number, isGang ? JobKind.GANG : JobKind.ARRAY, tasks, priority)
                .estimatedSeconds(20 + random.nextDouble(MAX_TASK_SECONDS - 20))
                .build();
    }

    private static JobSpecBuilder job(int number, JobKind kind, int tasks, Priority priority) {
        return new JobSpecBuilder("job-" + number)
                .kind(kind)
                .priority(priority)
                .tasks(tasks)
                .resourcesPerTask(new Resources(1, 1, 1));
    }
}
