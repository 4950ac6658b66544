package io.kelphoist.scheduler;

import io.kelphoist.model.JobStatus;
import io.kelphoist.records.PageWriteOutcome;
import java.util.Map;
import java.util.function.Consumer;

/** Executes the commands of a scenario that set the outcomes of writes to the state store. */
final class ScenarioStore {
    private final Scenario scenario;
    private final ScenarioOutput output;
    private final ScenarioJobs jobs;

    ScenarioStore(Scenario scenario, ScenarioOutput output, ScenarioJobs jobs) {
        this.scenario = scenario;
        this.output = output;
        this.jobs = jobs;
    }

    void register(Map<String, Consumer<ScenarioLine>> commands) {
        commands.put(
                "start-writes",
                line ->
                        output.setAcknowledgesStartWrites(
                                line.isFirstOf(1, "acknowledged", "unacknowledged")));
        commands.put(
                "image-write-outcome",
                line ->
                        output.setImageWriteOutcome(
                                ScenarioValues.parse(PageWriteOutcome.class, line.word(1))));
        commands.put("start-write-outcome", this::onStartsWritten);
        commands.put("job-write-outcome", this::onJobWritten);
    }

    /** Syntax: {@code start-write-outcome PAGE OUTCOME}. */
    private void onStartsWritten(ScenarioLine line) {
        PageWriteOutcome outcome = ScenarioValues.parse(PageWriteOutcome.class, line.word(2));
        scenario.schedulerState().onStartsStored(line.intAt(1), outcome);
    }

    /**
     * Reports the outcome of a job's open write: of its end if that is being written, otherwise of
     * its done tasks, which are on page 0. Syntax: {@code job-write-outcome JOB stored|failed}.
     */
    private void onJobWritten(ScenarioLine line) {
        String jobId = line.word(1);
        if (line.isFirstOf(2, "stored", "failed")) {
            onJobStored(jobId, line);
        } else {
            onJobNotStored(jobId);
        }
    }

    private void onJobStored(String jobId, ScenarioLine line) {
        if (output.removeWrite("done", jobId)) {
            jobs.putEndedJob(jobId, JobStatus.DONE, line);
        } else if (output.removeWrite("cancelled", jobId)) {
            jobs.putEndedJob(jobId, JobStatus.CANCELLED, line);
        } else {
            output.removeWritesThatStartWith("progress " + jobId);
            scenario.schedulerState()
                    .onProgressStored(/* pageNumber= */ 0, PageWriteOutcome.STORED);
        }
    }

    private void onJobNotStored(String jobId) {
        if (output.removeWrite("done", jobId) || output.removeWrite("cancelled", jobId)) {
            scenario.schedulerState().onJobEndNotStored(jobId);
        } else {
            output.removeWritesThatContain(jobId);
            scenario.schedulerState()
                    .onProgressStored(/* pageNumber= */ 0, PageWriteOutcome.UNKNOWN);
        }
    }
}
