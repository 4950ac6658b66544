package io.kelphoist.events;

import io.kelphoist.model.JobOwner;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;

/**
 * One event of a job as it is delivered to a subscriber.
 *
 * @param owner null if the job's record has no owner
 * @param reportsCurrentState whether the event reports the job's current state in place of events
 *     that were merged or may have been missed
 * @param doneTasks number of the job's tasks that were done at the time of the event, 0 if unknown
 * @param runningTasks number of the job's tasks that ran at the time of the event, 0 if unknown
 * @param atMillis time of the event in ms since the epoch
 */
public record JobEvent(
        String jobId,
        JobOwner owner,
        JobEventType type,
        boolean reportsCurrentState,
        int doneTasks,
        int runningTasks,
        long atMillis) {

    /** Returns the final event of a job that is done or cancelled. */
    static JobEvent ended(JobRecord record) {
        JobEventType type =
                record.status() == JobStatus.DONE
                        ? new JobEventType.Done()
                        : new JobEventType.Cancelled();
        return new JobEvent(
                record.id(),
                record.owner(),
                type,
                /* reportsCurrentState= */ false,
                /* doneTasks= */ 0,
                /* runningTasks= */ 0,
                record.timestampMillis());
    }

    /**
     * Returns the event of a job's acceptance.
     *
     * @param latest the job's latest transient event, null if there is none
     */
    static JobEvent accepted(JobRecord record, TransientEvent latest, boolean isSnapshot) {
        return new JobEvent(
                record.id(),
                record.owner(),
                new JobEventType.Accepted(),
                isSnapshot,
                latest == null ? 0 : latest.doneTasks(),
                latest == null ? 0 : latest.runningTasks(),
                record.timestampMillis());
    }

    /** Returns a transient event together with the owner from the job's record. */
    static JobEvent of(JobRecord record, TransientEvent event) {
        return new JobEvent(
                event.jobId(),
                record.owner(),
                event.type(),
                /* reportsCurrentState= */ false,
                event.doneTasks(),
                event.runningTasks(),
                event.atMillis());
    }

    /** Returns this event marked as the state that replaces the job's earlier events. */
    JobEvent asCurrentState() {
        return new JobEvent(
                jobId,
                owner,
                type,
                /* reportsCurrentState= */ true,
                doneTasks,
                runningTasks,
                atMillis);
    }
}
