package io.kelphoist.scheduler;

import io.kelphoist.model.CloudInstance;
import io.kelphoist.model.ExitReason;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.InstanceListPage;
import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.Priority;
import io.kelphoist.model.ReplicatedMachine;
import io.kelphoist.model.Resources;
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.TaskRef;
import io.kelphoist.model.TaskStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToLongFunction;

/** Creates the jobs, heartbeats, machines and instance list pages that scenario lines describe. */
final class ScenarioValues {
    private final ScenarioSetup setup;

    ScenarioValues(ScenarioSetup setup) {
        this.setup = setup;
    }

    static <T extends Enum<T>> T parse(Class<T> type, String name) {
        return Enum.valueOf(type, name.toUpperCase(Locale.ROOT));
    }

    JobSpec job(String id, ScenarioLine line) {
        return new JobSpec(
                id,
                line.option("class", "class"),
                line.option("team", setup.teams().get(0).name()),
                parse(JobKind.class, line.option("kind", "array")),
                parse(Priority.class, line.option("priority", "normal")),
                (int) line.number("tasks", 1),
                new Resources(
                        line.number("cpus", 1), line.number("gpus", 1), line.number("memory", 1)),
                /* machineTypes= */ null,
                line.option("zone"),
                line.has("single-zone"),
                line.has("spread"),
                line.has("spot"),
                line.option("image", "img"),
                /* imageSizeGb= */ 1,
                line.number("estimated-run-time", 60),
                line.number("checkpoint-interval", 0),
                line.number("checkpoint-save-time", 0),
                line.has("deadline") ? Double.valueOf(line.option("deadline")) : null,
                line.has("needs") ? line.list("needs") : List.of());
    }

    CloudInstance instance(String name, String state, double ageSeconds) {
        return new CloudInstance(
                name,
                name + ":1",
                setup.machineType().name(),
                setup.zone(),
                /* spot= */ false,
                parse(CloudInstance.InstanceState.class, state),
                ageSeconds);
    }

    /** Syntax: {@code instance-list-page [after=MACHINE] [last] MACHINE@AGE...}. */
    InstanceListPage instanceListPage(ScenarioLine line) {
        List<CloudInstance> instances = new ArrayList<>();
        for (String word : line.wordsThat(word -> word.contains("@"))) {
            int atIndex = word.indexOf('@');
            double ageSeconds = Double.parseDouble(word.substring(atIndex + 1));
            instances.add(instance(word.substring(0, atIndex), "running", ageSeconds));
        }
        return new InstanceListPage(line.option("after", ""), line.has("last"), instances);
    }

    ReplicatedMachine replicatedMachine(ScenarioLine line, double nowSeconds) {
        String name = line.word(1);
        return new ReplicatedMachine(
                name,
                line.option("address", name + ":1"),
                setup.machineType().name(),
                line.option("zone", setup.zone()),
                line.has("spot"),
                (long) line.number("epoch", 1),
                /* hasReported= */ !line.has("booting"),
                line.has("faulty"),
                line.has("possibly-disconnected"),
                line.has("command-unanswered"),
                nowSeconds - line.number("age", 100),
                nowSeconds + line.number("termination-notice", Double.POSITIVE_INFINITY));
    }

    static TaskRef task(String name) {
        int slashIndex = name.indexOf('/');
        return new TaskRef(
                name.substring(0, slashIndex), Integer.parseInt(name.substring(slashIndex + 1)));
    }

    /**
     * Creates the heartbeat that a line describes by the options {@code epoch=N sequence=N token=N}
     * and the words {@code JOB/TASK=PHASE[:EXIT_REASON][@ATTEMPT]...}. ATTEMPT is an attempt id,
     * which contains the term that started the attempt, shifted left by 24 bits: 16777217 is the
     * first attempt of term 1.
     *
     * @param newestAttemptId returns the id of a task's newest attempt, for words without an id
     */
    Heartbeat heartbeat(String machine, ScenarioLine line, ToLongFunction<String> newestAttemptId) {
        List<TaskStatus> statuses = new ArrayList<>();
        for (String word : line.wordsThat(word -> word.startsWith("job-"))) {
            statuses.add(taskStatus(word, newestAttemptId));
        }
        return new Heartbeat(
                machine,
                machine + ":1",
                setup.machineType().name(),
                line.option("zone", setup.zone()),
                line.has("spot"),
                Long.parseLong(line.option("epoch")),
                Long.parseLong(line.option("sequence")),
                Long.parseLong(line.option("token")),
                line.has("termination-notice")
                        ? Double.valueOf(line.option("termination-notice"))
                        : null,
                statuses);
    }

    private static TaskStatus taskStatus(String word, ToLongFunction<String> newestAttemptId) {
        int equalsIndex = word.indexOf('=');
        String task = word.substring(0, equalsIndex);
        String[] parts = word.substring(equalsIndex + 1).split("[:@]", -1);
        int atIndex = word.indexOf('@');
        long attemptId =
                atIndex > 0
                        ? Long.parseLong(word.substring(atIndex + 1))
                        : newestAttemptId.applyAsLong(task);
        TaskPhase phase = parse(TaskPhase.class, parts[0]);
        ExitReason exitReason =
                phase == TaskPhase.EXITED ? parse(ExitReason.class, parts[1]) : null;
        TaskRef taskRef = task(task);
        return new TaskStatus(
                taskRef.jobId(),
                taskRef.taskIndex(),
                attemptId,
                phase,
                exitReason,
                /* checkpointSaved= */ false);
    }
}
