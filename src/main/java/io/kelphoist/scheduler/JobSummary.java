package io.kelphoist.scheduler;

import io.kelphoist.scheduler.cluster.Job;
import java.util.Collection;
import org.slf4j.Logger;

/** Numbers of jobs by state, for the log line about the jobs that a new leader restored. */
final class JobSummary {
    private int waiting;
    private int active;
    private int withAllTasksDone;

    private JobSummary() {}

    static JobSummary of(Collection<Job> jobs) {
        JobSummary summary = new JobSummary();
        jobs.forEach(summary::add);
        return summary;
    }

    private void add(Job job) {
        switch (job.state()) {
            case WAITING -> waiting++;
            case ACTIVE -> active++;
            default -> {}
        }
        if (job.tasks().areAllDone()) {
            withAllTasksDone++;
        }
    }

    void log(Logger logger, long term) {
        logger.info(
                "jobs restored: term={} waitingJobs={} activeJobs={} jobsWithAllTasksDone={}",
                term,
                waiting,
                active,
                withAllTasksDone);
    }
}
