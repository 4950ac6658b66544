package io.kelphoist.admission;

import io.kelphoist.model.Team;
import java.util.List;

/**
 * Settings for the admission of jobs.
 *
 * @param teams teams that may submit jobs, with their limits
 * @param zones names of all zones
 * @param maxValueKilobytes the state store's limit on the size of one value, in units of 1024 bytes
 * @param cancellationTimeoutSeconds time after a job's cancellation within which the jobs that
 *     depend on it must be reported as cancelled too
 */
public record AdmissionSettings(
        List<Team> teams,
        List<String> zones,
        double maxValueKilobytes,
        double cancellationTimeoutSeconds) {}
