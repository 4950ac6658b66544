package io.kelphoist.scheduler;

import io.kelphoist.model.CachedImages;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.RecordedStart;
import io.kelphoist.model.TaskProgress;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Executes the commands of a scenario that pass job records, and other records of an earlier term,
 * to the scheduler.
 */
final class ScenarioJobs {
    private final Scenario scenario;
    private final ScenarioSetup setup;
    private final ScenarioValues values;
    private final List<String> missingJobIds = new ArrayList<>();
    private long recordVersion = 100;

    ScenarioJobs(Scenario scenario, ScenarioSetup setup, ScenarioValues values) {
        this.scenario = scenario;
        this.setup = setup;
        this.values = values;
    }

    /**
     * Ids of the jobs that the last reconciliation found to be lost and whose records it applied.
     */
    List<String> missingJobIds() {
        return Collections.unmodifiableList(missingJobIds);
    }

    void register(Map<String, Consumer<ScenarioLine>> commands) {
        commands.put("job", line -> putJob(line, JobStatus.ACTIVE));
        commands.put("cancelled-job", line -> putJob(line, JobStatus.CANCELLED));
        commands.put("done-job", line -> putEndedJob(line.word(1), JobStatus.DONE, line));
        commands.put("cancel", this::cancelJob);
        commands.put(
                "job-not-found",
                line ->
                        scenario.schedulerState()
                                .onJobNotFound(line.word(1), scenario.nowSeconds()));
        commands.put("loaded-starts", this::loadStarts);
        commands.put(
                "records-loaded",
                line -> scenario.schedulerState().onRecordsLoaded(scenario.nowSeconds()));
        commands.put("loaded-images", this::loadImages);
        commands.put("loaded-progress", this::loadProgress);
        commands.put("reconcile-jobs", this::reconcileJobs);
        commands.put(
                "lose-pending-tasks",
                line ->
                        scenario.schedulerState()
                                .jobRegistry()
                                .get(line.word(1))
                                .tasks()
                                .clearPending());
    }

    private void putJob(ScenarioLine line, JobStatus status) {
        String id = line.word(1);
        JobRecord job =
                new JobRecord(
                        id,
                        values.job(id, line),
                        status,
                        /* timestampMillis= */ 0,
                        ++recordVersion);
        double ageSeconds = status == JobStatus.ACTIVE ? line.number("age", 0) : 0;
        scenario.schedulerState().onJobRecord(job, ageSeconds, scenario.nowSeconds());
    }

    void putEndedJob(String id, JobStatus status, ScenarioLine line) {
        JobRecord job =
                new JobRecord(
                        id, /* spec= */ null, status, /* timestampMillis= */ 0, ++recordVersion);
        scenario.schedulerState().onJobRecord(job, line.number("age", 0), scenario.nowSeconds());
    }

    /**
     * Cancels a job. With the option {@code acknowledged} another controller has acknowledged the
     * cancellation to a user, and its record has not been read yet.
     */
    private void cancelJob(ScenarioLine line) {
        long version = line.has("acknowledged") ? Long.MAX_VALUE : ++recordVersion;
        JobRecord job =
                new JobRecord(
                        line.word(1),
                        /* spec= */ null,
                        JobStatus.CANCELLED,
                        /* timestampMillis= */ 0,
                        version);
        scenario.schedulerState().onJobRecord(job, /* ageSeconds= */ 0, scenario.nowSeconds());
    }

    private void loadStarts(ScenarioLine line) {
        for (String task : line.list("tasks")) {
            RecordedStart start =
                    new RecordedStart(
                            line.word(1),
                            line.option("type", setup.machineType().name()),
                            line.option("zone", setup.zone()),
                            line.has("spot"),
                            ScenarioValues.task(task));
            scenario.schedulerState()
                    .onStartLoaded((int) line.number("page", 0), start, scenario.nowSeconds());
        }
    }

    private void loadImages(ScenarioLine line) {
        List<CachedImages.Image> images =
                line.list("images").stream()
                        .map(name -> new CachedImages.Image(name, /* sizeGb= */ 1))
                        .toList();
        scenario.schedulerState()
                .onImagesLoaded(
                        (int) line.number("page", 0), new CachedImages(line.word(1), images));
    }

    private void loadProgress(ScenarioLine line) {
        BitSet done = new BitSet();
        line.wordsFrom(2).forEach(task -> done.set(Integer.parseInt(task)));
        scenario.schedulerState()
                .onProgressLoaded(
                        /* pageNumber= */ 0,
                        new TaskProgress(line.word(1), /* firstTask= */ 0, done));
    }

    /**
     * Reconciles the jobs with stored records, and applies the records of lost jobs again. Syntax:
     * {@code reconcile-jobs CHANGES_READ_UNTIL_SECONDS JOB...}, with the jobs that are stored as
     * unfinished.
     */
    private void reconcileJobs(ScenarioLine line) {
        ScenarioLine lineWithoutOptions = new ScenarioLine("");
        List<JobRecord> stored = new ArrayList<>();
        for (String id : line.wordsFrom(2)) {
            stored.add(
                    new JobRecord(
                            id,
                            values.job(id, lineWithoutOptions),
                            JobStatus.ACTIVE,
                            /* timestampMillis= */ 0,
                            recordVersion));
        }
        missingJobIds.clear();
        for (JobRecord job :
                scenario.schedulerState()
                        .reconcileJobs(stored, line.doubleAt(1), scenario.nowSeconds())) {
            missingJobIds.add(job.id());
            scenario.schedulerState().onJobRecord(job, /* ageSeconds= */ 0, scenario.nowSeconds());
        }
    }
}
