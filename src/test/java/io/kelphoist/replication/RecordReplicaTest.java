package io.kelphoist.replication;

import static io.kelphoist.model.JobRecordFixtures.jobRecord;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kelphoist.model.JobStatus;
import org.junit.jupiter.api.Test;

/** Bounds of the number of job records in a controller's replica. */
class RecordReplicaTest {
    /**
     * Guards against a replica that grows with every job that ends, and against one that evicts a
     * cancelled job whose tasks may still run on a machine.
     */
    @Test
    void keepsBoundedNumberOfEndedJobs() {
        RecordReplica replica = new RecordReplica();
        for (int i = 0; i < 3 * RecordReplica.MAX_DONE_JOBS; i++) {
            replica.applyJob(jobRecord(i, JobStatus.ACTIVE, 2L * i), i * 0.01);
            replica.applyJob(
                    jobRecord(i, i % 2 == 0 ? JobStatus.DONE : JobStatus.CANCELLED, 2L * i + 1),
                    i * 0.01);
        }
        replica.applyJob(jobRecord(-1, JobStatus.ACTIVE, 1), 600);
        // A version that is older than the replicated one is ignored.
        replica.applyJob(jobRecord(3 * RecordReplica.MAX_DONE_JOBS - 1, JobStatus.ACTIVE, 1), 600);
        assertEquals(1, replica.unfinishedJobCount());
        // The active job, the newest done jobs and all cancelled jobs, which are recent, are kept.
        assertEquals(
                1 + RecordReplica.MAX_DONE_JOBS + 3 * RecordReplica.MAX_DONE_JOBS / 2,
                replica.allJobs().size());
        // Of cancelled jobs whose tasks can no longer be running, only the newest are kept.
        for (int i = 0; i < 2 * RecordReplica.MAX_DONE_JOBS; i++) {
            replica.applyJob(
                    jobRecord(1_000_000 + i, JobStatus.CANCELLED, 1_000_000 + i), 5000 + i);
        }
        assertEquals(
                1 + RecordReplica.MAX_DONE_JOBS + RecordReplica.MIN_CANCELLED_JOBS,
                replica.allJobs().size());
    }
}
