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
 * Records what the scheduler requests, and acknowledges writes of starts and images at once unless
 * the scenario says otherwise.
 */
final class ScenarioOutput implements SchedulerOutput {
    private static final String NONE = "none";

    private SchedulerState schedulerState;
    private final Set<String> probedMachines = new TreeSet<>();
    private final Map<String, List<WorkerCommand>> commandsByMachine = new TreeMap<>();
    private final Map<String, Long> newestAttempts = new HashMap<>();
    private final Set<String> openWrites = new TreeSet<>();
    private final List<ScaleOutRequest> scaleOutRequests = new ArrayList<>();
    private final Set<String> scaledInMachines = new TreeSet<>();
    private final Map<Integer, List<TaskAttempt>> recordedStarts = new TreeMap<>();
    private final Map<String, String> recordedImages = new TreeMap<>();
    private final List<String> readJobs = new ArrayList<>();
    private int writes;
    private int maxImageBytes;
    private boolean acknowledgesStartWrites = true;
    private PageWriteOutcome imageWriteOutcome = PageWriteOutcome.STORED;

    /** A new term begins: requests of earlier terms are not open any more. */
    void onTermBegan(SchedulerState newState) {
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
        noteAttempts(commands);
    }

    void noteAttempts(List<WorkerCommand> commands) {
        for (WorkerCommand command : commands) {
            if (command instanceof WorkerCommand.Start) {
                newestAttempts.put(
                        command.jobId() + "/" + command.taskIndex(), command.attemptId());
            }
        }
    }

    long newestAttempt(String task) {
        return newestAttempts.get(task);
    }

    String commandsTo(String machine) {
        return describe(commandsByMachine.getOrDefault(machine, List.of()));
    }

    void removeCommandsTo(String machine) {
        commandsByMachine.remove(machine);
    }

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

    /** Returns false if the machine was not probed. */
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
        writes++;
        progress.forEach(
                job ->
                        openWrites.add(
                                "progress " + job.jobId() + " " + job.doneTasks().cardinality()));
    }

    @Override
    public void storeDone(JobSpec job, long version) {
        openWrites.add("done " + job.id());
    }

    @Override
    public void storeCancelled(JobRecord job) {
        openWrites.add("cancelled " + job.id());
    }

    /** Returns false if no such write is open. */
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
        return writes;
    }

    @Override
    public void readJob(String jobId) {
        readJobs.add(jobId);
    }

    String takeReadJobs() {
        String jobs = describe(readJobs);
        readJobs.clear();
        return jobs;
    }

    @Override
    public void storeStarts(int page, List<TaskAttempt> attempts) {
        writes++;
        recordedStarts.put(page, attempts);
        if (acknowledgesStartWrites) {
            schedulerState.onStartsStored(page, PageWriteOutcome.STORED);
        }
    }

    int recordedPageCount() {
        return recordedStarts.size();
    }

    String recordedStartsOf(int page) {
        return recordedStarts.getOrDefault(page, List.of()).stream()
                .map(ScenarioOutput::taskName)
                .collect(Collectors.joining(" "));
    }

    /** By machine, what may run there according to all pages. */
    String recordedStarts() {
        Map<String, Set<String>> tasksByMachine = new TreeMap<>();
        for (List<TaskAttempt> page : recordedStarts.values()) {
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
        writes++;
        if (machines.size() >= 2) {
            List<CachedImages> images = machines.stream().map(schedulerState::imagesOn).toList();
            byte[] value = MessageEncoding.encodeJson(RecordCodec.encodeImages(0, images).value());
            maxImageBytes = Math.max(maxImageBytes, value.length);
        }
        for (Machine machine : machines) {
            recordedImages.put(
                    machine.name(),
                    schedulerState.imagesOn(machine).images().stream()
                            .map(CachedImages.Image::name)
                            .collect(Collectors.joining(",")));
        }
        schedulerState.onImagesStored(page, imageWriteOutcome);
    }

    String recordedImagesOf(String machine) {
        return recordedImages.getOrDefault(machine, NONE);
    }

    int maxImageBytes() {
        return maxImageBytes;
    }

    // ---- the cloud ----

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
