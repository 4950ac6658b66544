package io.kelphoist.scheduler;

import io.kelphoist.model.CachedImages;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.records.PageWriteOutcome;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.wire.MessageEncoding;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Records the scheduler's requests. Reports writes of starts as stored at once, unless the scenario
 * leaves them unacknowledged, and writes of images at once with the outcome that the scenario sets.
 */
final class ScenarioOutput implements SchedulerOutput {
    private static final String NONE = "none";

    private SchedulerState schedulerState;
    private final Set<String> probedMachines = new TreeSet<>();
    private final Map<String, List<WorkerCommand>> commandsByMachine = new TreeMap<>();
    private final Map<String, Long> newestAttemptIdsByTask = new HashMap<>();
    private final Set<String> openWrites = new TreeSet<>();
    private final List<ScaleOutRequest> scaleOutRequests = new ArrayList<>();
    private final Set<String> scaledInMachines = new TreeSet<>();
    private final Map<Integer, List<TaskAttempt>> recordedStartsByPage = new TreeMap<>();
    private final Map<String, String> recordedImagesByMachine = new TreeMap<>();
    private final List<String> readJobIds = new ArrayList<>();
    private int writeCount;
    private int maxImageRecordBytes;
    private boolean acknowledgesStartWrites = true;
    private PageWriteOutcome imageWriteOutcome = PageWriteOutcome.STORED;

    /**
     * Starts a new term, in which commands, writes and scale-outs of earlier terms are not open.
     */
    void onTermStarted(SchedulerState newState) {
        schedulerState = newState;
        commandsByMachine.clear();
        openWrites.clear();
        scaleOutRequests.clear();
    }

    void setAcknowledgesStartWrites(boolean acknowledges) {
        acknowledgesStartWrites = acknowledges;
    }

    void setImageWriteOutcome(PageWriteOutcome outcome) {
        imageWriteOutcome = outcome;
    }

    // ---- commands ----

    @Override
    public void sendCommands(Machine machine, long agentEpoch, List<WorkerCommand> commands) {
        commandsByMachine.put(machine.name(), commands);
    }

    /** The id of the attempt at a task that was started last, which must exist. */
    long newestAttemptId(String task) {
        return newestAttemptIdsByTask.get(task);
    }

    String commandsTo(String machine) {
        return describe(commandsByMachine.getOrDefault(machine, List.of()));
    }

    void removeCommandsTo(String machine) {
        commandsByMachine.remove(machine);
    }

    /** Describes commands in alphabetical order, with the stops last. */
    static String describe(List<WorkerCommand> commands) {
        return commands.isEmpty()
                ? NONE
                : commands.stream()
                        .map(ScenarioOutput::describe)
                        .sorted(
                                Comparator.comparing((String text) -> text.startsWith("stop"))
                                        .thenComparing(text -> text))
                        .collect(Collectors.joining(", "));
    }

    private static String describe(WorkerCommand command) {
        String verb = "forget";
        if (command instanceof WorkerCommand.Start) {
            verb = "start";
        } else if (command instanceof WorkerCommand.Stop stop) {
            verb = stop.graceSeconds() > 0 ? "stop-gracefully" : "stop";
        }
        return verb + " " + command.jobId() + "/" + command.taskIndex();
    }

    @Override
    public void probe(Machine machine) {
        probedMachines.add(machine.name());
    }

    /** Removes the open probe of a machine; returns whether there was one. */
    boolean removeProbe(String machine) {
        return probedMachines.remove(machine);
    }

    String probes() {
        return describe(probedMachines);
    }

    static String describe(Collection<String> names) {
        return names.isEmpty() ? NONE : String.join(" ", names);
    }

    // ---- records ----

    @Override
    public void storeProgress(int page, List<TaskProgress> progress) {
        writeCount++;
        progress.forEach(
                range ->
                        openWrites.add(
                                "progress "
                                        + range.jobId()
                                        + " "
                                        + range.doneTasks().cardinality()));
    }

    @Override
    public void storeDone(JobSpec job, long version) {
        openWrites.add("done " + job.id());
    }

    @Override
    public void storeCancelled(JobRecord job) {
        openWrites.add("cancelled " + job.id());
    }

    /** Removes the open write of a kind for a job; returns whether there was one. */
    boolean removeWrite(String kind, String jobId) {
        return openWrites.remove(kind + " " + jobId);
    }

    void removeWritesThatStartWith(String prefix) {
        openWrites.removeIf(write -> write.startsWith(prefix));
    }

    void removeWritesThatContain(String jobId) {
        openWrites.removeIf(write -> write.contains(jobId));
    }

    String openWrites() {
        return describe(openWrites);
    }

    int openWriteCount() {
        return openWrites.size();
    }

    int writeCount() {
        return writeCount;
    }

    @Override
    public void readJob(String jobId) {
        readJobIds.add(jobId);
    }

    /** Returns the ids of the jobs whose records were read since the last call. */
    String takeReadJobIds() {
        String jobs = describe(readJobIds);
        readJobIds.clear();
        return jobs;
    }

    @Override
    public void storeStarts(int page, List<TaskAttempt> attempts) {
        writeCount++;
        recordedStartsByPage.put(page, attempts);
        attempts.stream()
                .filter(attempt -> !attempt.isPresumed())
                .forEach(
                        attempt ->
                                newestAttemptIdsByTask.merge(
                                        taskName(attempt), attempt.attemptId(), Math::max));
        if (acknowledgesStartWrites) {
            schedulerState.onStartsStored(page, PageWriteOutcome.STORED);
        }
    }

    int recordedPageCount() {
        return recordedStartsByPage.size();
    }

    String recordedStartsOf(int page) {
        return recordedStartsByPage.getOrDefault(page, List.of()).stream()
                .map(ScenarioOutput::taskName)
                .collect(Collectors.joining(" "));
    }

    /**
     * The tasks that may run on each machine, according to the last requested write of each page.
     */
    String recordedStarts() {
        Map<String, Set<String>> tasksByMachine = new TreeMap<>();
        for (List<TaskAttempt> page : recordedStartsByPage.values()) {
            for (TaskAttempt attempt : page) {
                tasksByMachine
                        .computeIfAbsent(attempt.machine().name(), machine -> new TreeSet<>())
                        .add(taskName(attempt));
            }
        }
        return describe(
                tasksByMachine.entrySet().stream()
                        .map(entry -> entry.getKey() + ":" + String.join(",", entry.getValue()))
                        .toList());
    }

    private static String taskName(TaskAttempt attempt) {
        return attempt.job().spec().id() + "/" + attempt.taskIndex();
    }

    @Override
    public void storeImages(int page, List<Machine> machines) {
        writeCount++;
        // A record of one machine cannot be split, so it may exceed the limit.
        if (machines.size() >= 2) {
            List<CachedImages> images =
                    machines.stream().map(schedulerState::cachedImages).toList();
            byte[] value =
                    MessageEncoding.encodeJson(
                            RecordCodec.encodeImages(/* pageNumber= */ 0, images).value());
            maxImageRecordBytes = Math.max(maxImageRecordBytes, value.length);
        }
        for (Machine machine : machines) {
            recordedImagesByMachine.put(
                    machine.name(),
                    schedulerState.cachedImages(machine).images().stream()
                            .map(CachedImages.Image::name)
                            .collect(Collectors.joining(",")));
        }
        schedulerState.onImagesStored(page, imageWriteOutcome);
    }

    String recordedImagesOf(String machine) {
        return recordedImagesByMachine.getOrDefault(machine, NONE);
    }

    int maxImageRecordBytes() {
        return maxImageRecordBytes;
    }

    // ---- cloud ----

    @Override
    public void scaleOut(ScaleOutRequest request) {
        scaleOutRequests.add(request);
    }

    ScaleOutRequest takeOldestScaleOutRequest() {
        return scaleOutRequests.remove(0);
    }

    String scaleOutRequests() {
        return scaleOutRequests.isEmpty()
                ? NONE
                : scaleOutRequests.stream()
                        .map(ScenarioOutput::describe)
                        .sorted()
                        .collect(Collectors.joining(", "));
    }

    private static String describe(ScaleOutRequest request) {
        return request.machineCount() + " " + request.zone() + (request.spot() ? " spot" : "");
    }

    @Override
    public void scaleIn(List<String> machineNames) {
        scaledInMachines.addAll(machineNames);
    }

    String scaledInMachines() {
        return describe(scaledInMachines);
    }
}
