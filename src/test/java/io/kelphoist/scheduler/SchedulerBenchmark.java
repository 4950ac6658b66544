package io.kelphoist.scheduler;

import io.kelphoist.model.DelegatedRenewals;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.Priority;
import io.kelphoist.model.RecordedStart;
import io.kelphoist.model.Resources;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.model.TaskRef;
import io.kelphoist.model.Team;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.records.PageWriteOutcome;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import io.kelphoist.scheduler.spi.PromotionGate;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import io.kelphoist.scheduler.spi.SentStarts;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Benchmark of the scheduler for different numbers of machines; a program, not a test. Emulated
 * workers and state store respond at once; cloud requests are ignored. {@code mvn -q test-compile
 * exec:java -Dexec.mainClass=io.kelphoist.scheduler.SchedulerBenchmark -Dexec.classpathScope=test}
 */
public final class SchedulerBenchmark implements SchedulerOutput {
    private static final int[] MACHINE_COUNTS = {250, 500, 1000, 2000, 4000};
    private static final int MACHINE_GPUS = 4;
    private static final double HEARTBEAT_INTERVAL_SECONDS = 4;
    private final int machineCount;
    private final List<Team> teams = new ArrayList<>();
    private final MachineType type =
            new MachineType( // cache 50 GB, fetch 0.6 GB/s, prices 8 and (spot) 3, boot 25 s
                    "m", new Resources(24, MACHINE_GPUS, 96), 50, 0.6, 8, 3, 25, List.of("a", "b"));
    private final BenchmarkWorkers workers = new BenchmarkWorkers();
    private final Deque<Runnable> outcomes = new ArrayDeque<>();
    private final Histogram heartbeatNanos = new Histogram(3);
    private final Histogram decisionNanos = new Histogram(3);
    private final List<JobRecord> jobRecords = new ArrayList<>();
    private final Map<Integer, List<RecordedStart>> startsByPage = new HashMap<>();
    private SchedulerState schedulerState;
    private double nowSeconds;
    private long recordVersion;

    private SchedulerBenchmark(int count) {
        this.machineCount = count;
        Resources quota = new Resources(Double.POSITIVE_INFINITY, count, Double.POSITIVE_INFINITY);
        for (int i = 0; i < 12; i++) {
            teams.add(new Team("team-" + i, quota, quota));
        }
    }

    public static void main(String[] args) {
        System.out.println(
                "machines   failover ms  heartbeat us p50 p99     decision ms p50 p99 max machines/decision heap MiB");
        new SchedulerBenchmark(MACHINE_COUNTS[0]).measureLoadAndFailover(/* print= */ false);
        for (int machineCount : MACHINE_COUNTS) {
            new SchedulerBenchmark(machineCount).measureLoadAndFailover(/* print= */ true);
        }
        System.out.println("machines  fill: decisions  sum s     decision ms p50 p99 max");
        for (int machineCount : MACHINE_COUNTS) {
            new SchedulerBenchmark(machineCount).measureFill();
        }
    }

    /**
     * Measures the decisions in the first minute of a new cluster: services, gangs and arrays wait
     * for machines, which come up one after the other within 40 s and have empty image caches.
     */
    private void measureFill() {
        startTerm(1);
        for (int i = 0; i < machineCount / 8; i++) {
            submit(i * 3, new int[] {3, 3, 4, 6}[i % 4], JobKind.SERVICE);
            submit(i * 3 + 1, new int[] {1, 2, 1, 4}[i % 4], JobKind.GANG);
            if (i % 2 == 0) {
                submit(i * 3 + 2, /* tasks= */ 12, JobKind.ARRAY);
            }
        }
        double start = nowSeconds;
        int up = 0;
        while (nowSeconds < start + 60) {
            nowSeconds += 0.02;
            for (; up < Math.min(machineCount, machineCount * (nowSeconds - start) / 40); up++) {
                sendHeartbeat(BenchmarkWorkers.NAME_PREFIX + up);
            }
            tick(/* measure= */ true);
        }
        System.out.printf(
                Locale.ROOT,
                "%8d  %15d  %5.1f  %8.2f %8.2f %8.2f%n",
                machineCount,
                decisionNanos.getTotalCount(),
                decisionNanos.getMean() * decisionNanos.getTotalCount() * 1e-9,
                decisionNanos.getValueAtPercentile(50) * 1e-6,
                decisionNanos.getValueAtPercentile(99) * 1e-6,
                decisionNanos.getMaxValue() * 1e-6);
    }

    private void startTerm(long term) {
        schedulerState =
                new SchedulerState(
                        createSchedulingPolicy(),
                        this,
                        DelegatedRenewals.NONE,
                        new OpenPromotionGate(),
                        term,
                        List.of(type));
    }

    private SchedulingPolicy createSchedulingPolicy() {
        return new SchedulingPolicy(
                List.of("a", "b"),
                teams,
                HEARTBEAT_INTERVAL_SECONDS,
                /* leaseSeconds= */ 22,
                /* gangPeerTimeoutSeconds= */ 8,
                /* machineHoldBackoffSeconds= */ 5,
                /* localityWaitSeconds= */ 3,
                /* machineHoldSeconds= */ 20,
                /* gangReservationSeconds= */ 15,
                /* headroom= */ 0,
                /* idleBeforeScaleInSeconds= */ 40,
                /* maxRecordBytes= */ 4000,
                /* startWriteIntervalSeconds= */ 0.1,
                /* progressWriteIntervalSeconds= */ 0.5,
                /* startObjectiveSeconds= */ Map.of());
    }

    /** The gate of a leader whose conditions for decisions and scale-out all hold. */
    private static final class OpenPromotionGate implements PromotionGate {
        @Override
        public boolean maySchedule(double atSeconds) {
            return true;
        }

        @Override
        public boolean mayScaleOut(double atSeconds) {
            return true;
        }

        @Override
        public void onInstancesListed(double atSeconds) {}
    }

    private JobRecord createJobRecord(int number, int tasks, JobKind kind) {
        boolean isGang = kind == JobKind.GANG;
        Priority priority =
                isGang
                        ? Priority.HIGH
                        : kind == JobKind.SERVICE ? Priority.PRODUCTION : Priority.NORMAL;
        Resources needs = isGang ? new Resources(21, MACHINE_GPUS, 77) : new Resources(5, 1, 18);
        JobSpec spec =
                new JobSpec(
                        "job-" + number,
                        "c" + number % 3,
                        "team-" + number % 12,
                        kind,
                        priority,
                        tasks,
                        needs,
                        /* machineTypes= */ null,
                        /* zone= */ null,
                        /* singleZone= */ isGang,
                        /* spreadAcrossZones= */ kind == JobKind.SERVICE,
                        /* spotAllowed= */ kind != JobKind.SERVICE,
                        "img-" + number % 40,
                        /* imageSizeGb= */ 5,
                        /* estimatedSeconds= */ 60,
                        /* checkpointIntervalSeconds= */ 15,
                        /* checkpointSaveSeconds= */ 3,
                        /* deadlineSeconds= */ null,
                        /* dependencies= */ List.of());
        return new JobRecord(spec.id(), spec, JobStatus.ACTIVE, 0, ++recordVersion);
    }

    private void submit(int number, int tasks, JobKind kind) {
        JobRecord record = createJobRecord(number, tasks, kind);
        jobRecords.add(record);
        schedulerState.onJobRecord(record, 0, nowSeconds);
    }

    private void sendHeartbeatRound(long fencingToken, boolean measure) {
        for (int i = 0; i < machineCount; i++) {
            String machineName = BenchmarkWorkers.NAME_PREFIX + i;
            Heartbeat heartbeat = workers.createHeartbeat(machineName, fencingToken);
            long startNanos = System.nanoTime();
            List<WorkerCommand> commands = respond(heartbeat);
            if (measure) {
                heartbeatNanos.recordValue(System.nanoTime() - startNanos);
            }
            workers.execute(machineName, commands);
            if (i % (machineCount / 40) == 0) {
                tick(measure);
                nowSeconds += HEARTBEAT_INTERVAL_SECONDS / 40;
            }
        }
    }

    private List<WorkerCommand> respond(Heartbeat heartbeat) {
        return schedulerState
                .onHeartbeat(heartbeat, "", nowSeconds)
                .takeCommands(new SentStarts(), nowSeconds);
    }

    private void sendHeartbeat(String machineName) {
        Heartbeat heartbeat = workers.createHeartbeat(machineName, schedulerState.term());
        workers.execute(machineName, respond(heartbeat));
    }

    private void tick(boolean measure) {
        long startNanos = System.nanoTime();
        schedulerState.tick(nowSeconds);
        if (measure) {
            decisionNanos.recordValue(System.nanoTime() - startNanos);
        }
        for (Runnable outcome = outcomes.poll(); outcome != null; outcome = outcomes.poll()) {
            outcome.run();
        }
    }

    /** Fills three quarters of the GPUs, then measures steady load and, last, a failover. */
    private void measureLoadAndFailover(boolean print) {
        startTerm(1);
        sendHeartbeats(/* fencingToken= */ 1);
        int submittedCount = fillThreeQuarters();
        sendHeartbeatRound(/* fencingToken= */ 1, /* measure= */ false);
        long consideredBefore = schedulerState.consideredMachineCount();
        measureSteadyLoad(submittedCount);
        long consideredPerDecision =
                (schedulerState.consideredMachineCount() - consideredBefore)
                        / Math.max(1, decisionNanos.getTotalCount());
        System.gc();
        long heapMib = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() >> 20;
        double failoverMillis = measureFailover();
        if (print) {
            printResult(failoverMillis, consideredPerDecision, heapMib);
        }
    }

    private void sendHeartbeats(long fencingToken) {
        for (int i = 0; i < machineCount; i++) {
            respond(workers.createHeartbeat(BenchmarkWorkers.NAME_PREFIX + i, fencingToken));
        }
    }

    /** Starts tasks on three quarters of all GPUs; returns the number of jobs submitted. */
    private int fillThreeQuarters() {
        int submittedCount = 0;
        for (int tasks = 0; tasks < machineCount * MACHINE_GPUS * 3 / 4; tasks += 12) {
            submit(submittedCount++, /* tasks= */ 12, JobKind.ARRAY);
        }
        for (int i = 0; i < 200; i++) {
            nowSeconds += 0.02;
            tick(/* measure= */ false);
        }
        return submittedCount;
    }

    /** Submits jobs and sends heartbeats in ten rounds; measures heartbeats and decisions. */
    private void measureSteadyLoad(int firstNumber) {
        int number = firstNumber;
        for (int round = 0; round < 10; round++) {
            for (int i = 0; i < machineCount / 60; i++) {
                submit(number++, 12, i % 3 == 0 ? JobKind.SERVICE : JobKind.ARRAY);
            }
            sendHeartbeatRound(/* fencingToken= */ 1, /* measure= */ true);
        }
    }

    /** Returns how many ms a new leader takes to load all records and handle a heartbeat round. */
    private double measureFailover() {
        long startNanos = System.nanoTime();
        startTerm(/* term= */ 2);
        jobRecords.forEach(job -> schedulerState.onJobRecord(job, 0, nowSeconds));
        startsByPage.forEach(
                (page, starts) ->
                        starts.forEach(
                                start -> schedulerState.onStartLoaded(page, start, nowSeconds)));
        schedulerState.onRecordsLoaded(/* nowSeconds= */ 0);
        sendHeartbeats(/* fencingToken= */ 2);
        nowSeconds += 1.3 * HEARTBEAT_INTERVAL_SECONDS;
        schedulerState.tick(nowSeconds);
        return (System.nanoTime() - startNanos) * 1e-6;
    }

    private void printResult(double failoverMillis, long consideredPerDecision, long heapMib) {
        System.out.printf(
                Locale.ROOT,
                "%8d  %12.0f  %9.0f %10.0f  %8.2f %8.2f %8.2f  %16d  %7d%n",
                machineCount,
                failoverMillis,
                heartbeatNanos.getValueAtPercentile(50) * 1e-3,
                heartbeatNanos.getValueAtPercentile(99) * 1e-3,
                decisionNanos.getValueAtPercentile(50) * 1e-6,
                decisionNanos.getValueAtPercentile(99) * 1e-6,
                decisionNanos.getMaxValue() * 1e-6,
                consideredPerDecision,
                heapMib);
    }

    @Override
    public void sendCommands(Machine machine, long agentEpoch, List<WorkerCommand> commands) {
        workers.execute(machine.name(), commands);
        outcomes.add(
                () ->
                        schedulerState.onCommandOutcome(
                                machine.name(),
                                DeliveryOutcome.EXECUTED,
                                workers.createHeartbeat(machine.name(), schedulerState.term()),
                                nowSeconds));
    }

    @Override
    public void storeStarts(int page, List<TaskAttempt> attempts) {
        startsByPage.put(
                page,
                attempts.stream()
                        .map(
                                attempt ->
                                        new RecordedStart(
                                                attempt.machine().name(),
                                                /* machineType= */ "m",
                                                attempt.machine().zone() == 0 ? "a" : "b",
                                                /* spot= */ false,
                                                new TaskRef(
                                                        attempt.job().spec().id(),
                                                        attempt.taskIndex())))
                        .toList());
        outcomes.add(() -> schedulerState.onStartsStored(page, PageWriteOutcome.STORED));
        // The leader holds the responses of machines with free resources until starts are stored.
        attempts.stream()
                .map(attempt -> attempt.machine().name())
                .distinct()
                .forEach(machineName -> outcomes.add(() -> sendHeartbeat(machineName)));
    }

    @Override
    public void probe(Machine machine) {}

    @Override
    public void storeProgress(int page, List<TaskProgress> progress) {
        outcomes.add(() -> schedulerState.onProgressStored(page, PageWriteOutcome.STORED));
    }

    @Override
    public void storeImages(int page, List<Machine> machines) {
        outcomes.add(() -> schedulerState.onImagesStored(page, PageWriteOutcome.STORED));
    }

    @Override
    public void storeDone(JobSpec job, long version) {}

    @Override
    public void storeCancelled(JobRecord job) {}

    @Override
    public void readJob(String jobId) {}

    @Override
    public void scaleOut(ScaleOutRequest request) {}

    @Override
    public void scaleIn(List<String> machineNames) {}
}
