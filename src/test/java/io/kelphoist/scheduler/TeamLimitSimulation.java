package io.kelphoist.scheduler;

import io.kelphoist.model.DelegatedRenewals;
import io.kelphoist.model.ExitReason;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.MachineType;
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
import io.kelphoist.scheduler.spi.SentStarts;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One leader's scheduler in virtual time, with one team and machines for more than the team's
 * limit. Commands and writes succeed at once; tasks run as long as their jobs' estimate, services
 * for ever. Records when each job first began.
 */
final class TeamLimitSimulation implements SchedulerOutput {
    private static final double TICK_SECONDS = 0.5;
    private static final String TEAM = "t";
    private static final int MACHINE_GPUS = 4;

    /** A task on a machine. */
    private record RunningTask(
            TaskRef task, long attemptId, double endsAtSeconds, ExitReason exitReason) {
        TaskStatus status() {
            return new TaskStatus(
                    task.jobId(),
                    task.taskIndex(),
                    attemptId,
                    exitReason == null ? TaskPhase.RUNNING : TaskPhase.EXITED,
                    exitReason,
                    /* checkpointSaved= */ false);
        }

        RunningTask exited(ExitReason reason) {
            return new RunningTask(task, attemptId, endsAtSeconds, reason);
        }
    }

    private final int machineCount;
    private final SchedulerState scheduler;
    private final Map<String, JobSpec> specs = new HashMap<>();
    private final Map<String, Double> begunAtSeconds = new LinkedHashMap<>();
    private final Map<String, Map<TaskRef, RunningTask>> tasksByMachine = new LinkedHashMap<>();
    private final Deque<Runnable> outcomes = new ArrayDeque<>();
    private double nowSeconds;
    private long sequenceNumber;
    private long recordVersion;

    TeamLimitSimulation(int limitGpus) {
        this.machineCount = 2 * limitGpus / MACHINE_GPUS;
        MachineType type =
                new MachineType(
                        "m",
                        new Resources(100, MACHINE_GPUS, 100),
                        /* cacheGb= */ 50,
                        /* fetchGbPerSecond= */ 100,
                        /* pricePerHour= */ 8,
                        /* spotPricePerHour= */ 3,
                        /* bootSeconds= */ 25,
                        List.of("a"));
        Resources limit =
                new Resources(Double.POSITIVE_INFINITY, limitGpus, Double.POSITIVE_INFINITY);
        scheduler =
                new SchedulerState(
                        policy(new Team(TEAM, limit, limit)),
                        this,
                        DelegatedRenewals.NONE,
                        new OpenPromotionGate(),
                        /* term= */ 1,
                        List.of(type));
        for (int i = 0; i < machineCount; i++) {
            tasksByMachine.put("vm-" + i, new LinkedHashMap<>());
            sendHeartbeat("vm-" + i);
        }
        scheduler.onRecordsLoaded(nowSeconds);
    }

    private static SchedulingPolicy policy(Team team) {
        return new SchedulingPolicy(
                List.of("a"),
                List.of(team),
                /* heartbeatIntervalSeconds= */ 4,
                /* leaseSeconds= */ 22,
                /* gangPeerTimeoutSeconds= */ 8,
                /* machineHoldBackoffSeconds= */ 5,
                /* localityWaitSeconds= */ 3,
                /* machineHoldSeconds= */ 20,
                /* gangReservationSeconds= */ 15,
                /* headroom= */ 0,
                /* idleBeforeScaleInSeconds= */ 1e9,
                /* maxRecordBytes= */ 40_000,
                /* startWriteIntervalSeconds= */ 0,
                /* progressWriteIntervalSeconds= */ 0,
                /* startObjectiveSeconds= */ Map.of());
    }

    /** The gate of a leader that may decide and request machines. */
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

    double nowSeconds() {
        return nowSeconds;
    }

    /** When a task of the job was first started; null: never. */
    Double begunAtSeconds(String jobId) {
        return begunAtSeconds.get(jobId);
    }

    void submit(JobSpec spec) {
        specs.put(spec.id(), spec);
        scheduler.onJobRecord(
                new JobRecord(spec.id(), spec, JobStatus.ACTIVE, 0, ++recordVersion),
                /* ageSeconds= */ 0,
                nowSeconds);
    }

    /** Lets time pass by one tick of the scheduler. */
    void step() {
        nowSeconds += TICK_SECONDS;
        for (String machine : tasksByMachine.keySet()) {
            endFinishedTasks(machine);
            sendHeartbeat(machine);
        }
        scheduler.tick(nowSeconds);
        while (!outcomes.isEmpty()) {
            outcomes.poll().run();
        }
    }

    private void endFinishedTasks(String machine) {
        tasksByMachine
                .get(machine)
                .replaceAll(
                        (task, running) ->
                                running.exitReason() == null
                                                && nowSeconds >= running.endsAtSeconds()
                                        ? running.exited(ExitReason.DONE)
                                        : running);
    }

    private void sendHeartbeat(String machine) {
        execute(
                machine,
                scheduler
                        .onHeartbeat(heartbeat(machine), "", nowSeconds)
                        .takeCommands(new SentStarts(), nowSeconds));
    }

    private Heartbeat heartbeat(String machine) {
        List<TaskStatus> statuses = new ArrayList<>();
        tasksByMachine.get(machine).values().forEach(task -> statuses.add(task.status()));
        return new Heartbeat(
                machine,
                "10.0.0.1:9000",
                "m",
                "a",
                /* spot= */ false,
                /* agentEpoch= */ 1,
                ++sequenceNumber,
                /* fencingToken= */ 1,
                /* terminationNoticeSeconds= */ null,
                statuses);
    }

    private void execute(String machine, List<WorkerCommand> commands) {
        Map<TaskRef, RunningTask> tasks = tasksByMachine.get(machine);
        for (WorkerCommand command : commands) {
            TaskRef task = new TaskRef(command.jobId(), command.taskIndex());
            if (command instanceof WorkerCommand.Start) {
                start(tasks, task, command.attemptId());
            } else if (command instanceof WorkerCommand.Stop) {
                tasks.computeIfPresent(task, (ref, running) -> running.exited(ExitReason.STOPPED));
            } else {
                tasks.remove(task);
            }
        }
    }

    private void start(Map<TaskRef, RunningTask> tasks, TaskRef task, long attemptId) {
        begunAtSeconds.putIfAbsent(task.jobId(), nowSeconds);
        double endsAtSeconds = nowSeconds + specs.get(task.jobId()).estimatedSeconds();
        tasks.put(task, new RunningTask(task, attemptId, endsAtSeconds, /* exitReason= */ null));
    }

    @Override
    public void sendCommands(Machine machine, long agentEpoch, List<WorkerCommand> commands) {
        execute(machine.name(), commands);
        outcomes.add(
                () ->
                        scheduler.onCommandOutcome(
                                machine.name(),
                                DeliveryOutcome.EXECUTED,
                                heartbeat(machine.name()),
                                nowSeconds));
    }

    @Override
    public void storeStarts(int page, List<TaskAttempt> attempts) {
        outcomes.add(() -> scheduler.onStartsStored(page, PageWriteOutcome.STORED));
    }

    @Override
    public void storeProgress(int page, List<TaskProgress> progress) {
        outcomes.add(() -> scheduler.onProgressStored(page, PageWriteOutcome.STORED));
    }

    @Override
    public void storeImages(int page, List<Machine> machines) {
        outcomes.add(() -> scheduler.onImagesStored(page, PageWriteOutcome.STORED));
    }

    @Override
    public void storeDone(JobSpec job, long version) {
        JobRecord done = new JobRecord(job.id(), null, JobStatus.DONE, 0, ++recordVersion);
        outcomes.add(() -> scheduler.onJobRecord(done, /* ageSeconds= */ 0, nowSeconds));
    }

    @Override
    public void storeCancelled(JobRecord job) {}

    @Override
    public void readJob(String jobId) {}

    @Override
    public void probe(Machine machine) {}

    @Override
    public void scaleOut(ScaleOutRequest request) {}

    @Override
    public void scaleIn(List<String> machineNames) {}
}
