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
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.model.TaskRef;
import io.kelphoist.model.TaskStatus;
import io.kelphoist.model.Team;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.records.PageWriteOutcome;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import io.kelphoist.scheduler.spi.PromotionGate;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Measures the scheduler's cost by the number of machines; a program, not a test. Workers, cloud
 * and state service respond immediately. {@code mvn -q test-compile exec:java
 * -Dexec.mainClass=io.kelphoist.scheduler.SchedulerBenchmark -Dexec.classpathScope=test}
 */
public final class SchedulerBenchmark implements SchedulerOutput {
    private static final int[] SIZES = {250, 500, 1000, 2000, 4000};
    private static final int PER_MACHINE = 4;
    private static final double HEARTBEAT_SECONDS = 4;
    private final int size;
    private final List<Team> teams = new ArrayList<>();
    private final MachineType type =
            new MachineType(
                    "m", new Resources(24, PER_MACHINE, 96), 50, 0.6, 8, 3, 25, List.of("a", "b"));
    private final Map<String, Map<String, Long>> running = new HashMap<>();
    private final Deque<Runnable> answers = new ArrayDeque<>();
    private final Histogram heartbeatNanos = new Histogram(3);
    private final Histogram decisionNanos = new Histogram(3);
    private final List<JobRecord> jobs = new ArrayList<>();
    private final Map<Integer, List<RecordedStart>> pages = new HashMap<>();
    private SchedulerState schedulerState;
    private double now;
    private long sequenceNumber;
    private long version;

    private SchedulerBenchmark(int size) {
        this.size = size;
        Resources none = new Resources(Double.POSITIVE_INFINITY, size, Double.POSITIVE_INFINITY);
        for (int i = 0; i < 12; i++) {
            teams.add(new Team("team-" + i, none, none));
        }
    }

    public static void main(String[] args) {
        System.out.println(
                "machines  take-over ms  report us (p50, p99)  decision ms (p50, p99, max)  looks a decision  heap MB");
        new SchedulerBenchmark(SIZES[0]).run(false);
        for (int size : SIZES) {
            new SchedulerBenchmark(size).run(true);
        }
        System.out.println("machines  fill: decisions  all s  ms (p50, p99, max)");
        for (int size : SIZES) {
            new SchedulerBenchmark(size).fill();
        }
    }

    /**
     * The first minute of a fleet: services, gangs and arrays wait for as many machines as they
     * need, which come up one after the other, and no image is anywhere yet.
     */
    private void fill() {
        begin(1);
        for (int i = 0; i < size / 8; i++) {
            submit(i * 3, new int[] {3, 3, 4, 6}[i % 4], JobKind.SERVICE);
            submit(i * 3 + 1, new int[] {1, 2, 1, 4}[i % 4], JobKind.GANG);
            if (i % 2 == 0) {
                submit(i * 3 + 2, 12, JobKind.ARRAY);
            }
        }
        double from = now;
        int started = 0;
        while (now < from + 60) {
            now += 0.02;
            for (; started < Math.min(size, size * (now - from) / 40); started++) {
                schedulerState.onHeartbeat(createHeartbeat("vm-" + started, started, 1), "", now);
            }
            tick(true);
        }
        System.out.printf(
                Locale.ROOT,
                "%8d  %15d  %5.1f  %8.2f %8.2f %8.2f%n",
                size,
                decisionNanos.getTotalCount(),
                decisionNanos.getMean() * decisionNanos.getTotalCount() * 1e-9,
                decisionNanos.getValueAtPercentile(50) * 1e-6,
                decisionNanos.getValueAtPercentile(99) * 1e-6,
                decisionNanos.getMaxValue() * 1e-6);
    }

    private void begin(long term) {
        schedulerState =
                new SchedulerState(
                        newSchedulingPolicy(),
                        this,
                        DelegatedRenewals.NONE,
                        new OpenPromotionGate(),
                        term,
                        List.of(type));
    }

    private SchedulingPolicy newSchedulingPolicy() {
        return new SchedulingPolicy(
                List.of("a", "b"),
                teams,
                HEARTBEAT_SECONDS,
                22,
                8,
                5,
                3,
                20,
                15,
                0,
                40,
                4000,
                0.1,
                0.5,
                Map.of());
    }

    /** The gate of a leader whose promotion checks have all passed. */
    private static final class OpenPromotionGate implements PromotionGate {
        @Override
        public boolean mayDecide(double atSeconds) {
            return true;
        }

        @Override
        public boolean mayScaleOut(double atSeconds) {
            return true;
        }

        @Override
        public void onInstancesListed(double atSeconds) {}
    }

    private JobRecord job(int number, int tasks, JobKind kind) {
        boolean gang = kind == JobKind.GANG;
        Priority priority =
                gang
                        ? Priority.HIGH
                        : kind == JobKind.SERVICE ? Priority.PRODUCTION : Priority.NORMAL;
        Resources needs = gang ? new Resources(21, PER_MACHINE, 77) : new Resources(5, 1, 18);
        JobSpec spec =
                new JobSpec(
                        "job-" + number,
                        "c" + number % 3,
                        "team-" + number % 12,
                        kind,
                        priority,
                        tasks,
                        needs,
                        null,
                        null,
                        gang,
                        kind == JobKind.SERVICE,
                        kind != JobKind.SERVICE,
                        "img-" + number % 40,
                        5,
                        60,
                        15,
                        3,
                        null,
                        List.of());
        return new JobRecord(spec.id(), spec, JobStatus.ACTIVE, 0, ++version);
    }

    private void submit(int number, int tasks, JobKind kind) {
        JobRecord record = job(number, tasks, kind);
        jobs.add(record);
        schedulerState.onJobRecord(record, 0, now);
    }

    private Heartbeat createHeartbeat(String machine, int number, long token) {
        List<TaskStatus> tasks = new ArrayList<>();
        running.getOrDefault(machine, Map.of())
                .forEach(
                        (task, attempt) ->
                                tasks.add(
                                        new TaskStatus(
                                                task.substring(0, task.indexOf('/')),
                                                Integer.parseInt(
                                                        task.substring(task.indexOf('/') + 1)),
                                                attempt,
                                                TaskPhase.RUNNING,
                                                null,
                                                false)));
        return new Heartbeat(
                machine,
                "10.0.0.1:9000",
                "m",
                number % 2 == 0 ? "a" : "b",
                false,
                1,
                ++sequenceNumber,
                token,
                null,
                tasks);
    }

    private void sendHeartbeatRound(long token, boolean measured) {
        for (int i = 0; i < size; i++) {
            Heartbeat heartbeat = createHeartbeat("vm-" + i, i, token);
            long from = System.nanoTime();
            schedulerState.onHeartbeat(heartbeat, "", now);
            if (measured) {
                heartbeatNanos.recordValue(System.nanoTime() - from);
            }
            if (i % (size / 40) == 0) {
                tick(measured);
                now += HEARTBEAT_SECONDS / 40;
            }
        }
    }

    private void tick(boolean measured) {
        long from = System.nanoTime();
        schedulerState.tick(now);
        if (measured) {
            decisionNanos.recordValue(System.nanoTime() - from);
        }
        for (Runnable answer = answers.poll(); answer != null; answer = answers.poll()) {
            answer.run();
        }
    }

    /** Fills three quarters of the cluster, measures a minute of load, and then a failover. */
    private void run(boolean printed) {
        begin(1);
        sendHeartbeats(1);
        int submitted = fillThreeQuarters();
        sendHeartbeatRound(1, false);
        long consideredBefore = schedulerState.consideredMachineCount();
        measureSteadyLoad(submitted);
        long consideredPerDecision =
                (schedulerState.consideredMachineCount() - consideredBefore)
                        / Math.max(1, decisionNanos.getTotalCount());
        System.gc();
        long heapMegabytes =
                ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() >> 20;
        double failoverMillis = measureFailover();
        if (printed) {
            printResult(failoverMillis, consideredPerDecision, heapMegabytes);
        }
    }

    private void sendHeartbeats(long token) {
        for (int i = 0; i < size; i++) {
            schedulerState.onHeartbeat(createHeartbeat("vm-" + i, i, token), "", now);
        }
    }

    /** Returns the number of jobs that were submitted. */
    private int fillThreeQuarters() {
        int submitted = 0;
        for (int tasks = 0; tasks < size * PER_MACHINE * 3 / 4; tasks += 12) {
            submit(submitted++, 12, JobKind.ARRAY);
        }
        for (int i = 0; i < 200; i++) {
            now += 0.02;
            tick(false);
        }
        return submitted;
    }

    /** For a minute, submits as many new tasks as end. */
    private void measureSteadyLoad(int firstNumber) {
        int number = firstNumber;
        for (int round = 0; round < 10; round++) {
            for (int i = 0; i < size / 60; i++) {
                submit(number++, 12, i % 3 == 0 ? JobKind.SERVICE : JobKind.ARRAY);
            }
            sendHeartbeatRound(1, true);
        }
    }

    /** The next leader loads the stored records and receives one heartbeat of each machine. */
    private double measureFailover() {
        long from = System.nanoTime();
        begin(2);
        jobs.forEach(job -> schedulerState.onJobRecord(job, 0, now));
        pages.forEach(
                (page, starts) ->
                        starts.forEach(start -> schedulerState.onStartLoaded(page, start, now)));
        schedulerState.onRecordsLoaded(0);
        sendHeartbeats(2);
        now += 1.3 * HEARTBEAT_SECONDS;
        schedulerState.tick(now);
        return (System.nanoTime() - from) * 1e-6;
    }

    private void printResult(
            double failoverMillis, long consideredPerDecision, long heapMegabytes) {
        System.out.printf(
                Locale.ROOT,
                "%8d  %12.0f  %9.0f %10.0f  %8.2f %8.2f %8.2f  %16d  %7d%n",
                size,
                failoverMillis,
                heartbeatNanos.getValueAtPercentile(50) * 1e-3,
                heartbeatNanos.getValueAtPercentile(99) * 1e-3,
                decisionNanos.getValueAtPercentile(50) * 1e-6,
                decisionNanos.getValueAtPercentile(99) * 1e-6,
                decisionNanos.getMaxValue() * 1e-6,
                consideredPerDecision,
                heapMegabytes);
    }

    @Override
    public void sendCommands(Machine machine, long session, List<WorkerCommand> commands) {
        Map<String, Long> attempts =
                running.computeIfAbsent(machine.name(), name -> new LinkedHashMap<>());
        for (WorkerCommand command : commands) {
            if (command instanceof WorkerCommand.Start) {
                attempts.put(command.jobId() + "/" + command.taskIndex(), command.attemptId());
            } else {
                attempts.remove(command.jobId() + "/" + command.taskIndex());
            }
        }
        int number = Integer.parseInt(machine.name().substring(3));
        answers.add(
                () ->
                        schedulerState.onCommandOutcome(
                                machine.name(),
                                DeliveryOutcome.EXECUTED,
                                createHeartbeat(machine.name(), number, schedulerState.term()),
                                now));
    }

    @Override
    public void storeStarts(int page, List<TaskAttempt> starts) {
        pages.put(
                page,
                starts.stream()
                        .map(
                                p ->
                                        new RecordedStart(
                                                p.machine().name(),
                                                "m",
                                                p.machine().zone() == 0 ? "a" : "b",
                                                false,
                                                new TaskRef(p.job().spec().id(), p.taskIndex())))
                        .toList());
        answers.add(() -> schedulerState.onStartsStored(page, PageWriteOutcome.STORED));
    }

    @Override
    public void probe(Machine machine) {}

    @Override
    public void storeProgress(int page, List<TaskProgress> progress) {
        answers.add(() -> schedulerState.onProgressStored(page, PageWriteOutcome.STORED));
    }

    @Override
    public void storeImages(int page, List<Machine> machines) {
        answers.add(() -> schedulerState.onImagesStored(page, PageWriteOutcome.STORED));
    }

    @Override
    public void storeDone(JobSpec job, long jobVersion) {}

    @Override
    public void storeCancelled(JobRecord job) {}

    @Override
    public void readJob(String job) {}

    @Override
    public void scaleOut(ScaleOutRequest rental) {}

    @Override
    public void scaleIn(List<String> machines) {}
}
