package io.kelphoist.model;

/** Job records for tests that do not depend on the spec of the job. */
public final class JobRecordFixtures {
    private JobRecordFixtures() {}

    /** Returns the record of {@code job-NUMBER}. As in the state store, a done job has no spec. */
    public static JobRecord jobRecord(int number, JobStatus status, long version) {
        JobSpec spec = new JobSpecBuilder("job-" + number).resourcesPerTask(Resources.NONE).build();
        return new JobRecord(
                spec.id(),
                status == JobStatus.DONE ? null : spec,
                status,
                /* timestampMillis= */ 0,
                version);
    }
}
