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
 * @param doneTasks number of the job's tasks that are done, as the leader last reported it; 0 also
 *     if the leader has not reported it, and always 0 in a final event
 * @param runningTasks number of the job's tasks that are running, as the leader last reported it; 0
 *     also if the leader has not reported it, and always 0 in a final event
 * @param atMillis time of the event in ms since the epoch, by the wall clock. For the acceptance
 *     and for the end of a cancelled job, when the job was accepted; for the end of a done job,
 *     when the end was stored; 0 if the job's record has no timestamp
 */
public record JobEvent(
        String jobId,
        JobOwner owner,
        JobEventType type,
        boolean reportsCurrentState,
        int doneTasks,
        int runningTasks,
        long atMillis) {

    /**
     * Returns the final event of a job that is done or cancelled, without the numbers of its tasks,
     * as the stored record does not have them.
     */
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
     * @param latest the job's latest transient event, from which the numbers of tasks are taken;
     *     null if there is none
     * @param reportsCurrentState false if the acceptance is the only event of the job so far and
     *     follows the start of the subscription
     */
    static JobEvent accepted(JobRecord record, TransientEvent latest, boolean reportsCurrentState) {
        return new JobEvent(
                record.id(),
                record.owner(),
                new JobEventType.Accepted(),
                reportsCurrentState,
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
